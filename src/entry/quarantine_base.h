/** @file quarantine_base.h  Requests that were in flight where endpoints died: strikes in the fleet state, by
 * fingerprint of tenant and content, whatever program or entry they come through. */
#pragma once

#include <map>
#include <string>

#include <kj/async.h>

#include "client/control_client_base.h"
#include "core/id_type.h"
#include "entry/fleet_follower_base.h"
#include "entry/peer_links_base.h"
#include "program/call_request_type.h"

namespace Chestnuthook
{

/** From this many strikes on a request is refused; with fewer it runs alone at an endpoint. */
constexpr std::uint32_t MinStrikesToRefuse = 2;

/** Names a request by its tenant and content. */
[[nodiscard]] std::string fingerprintOf(const TenantId &tenant, const CallRequest &request);

/** For the control thread. */
class Quarantine
{
public:
    Quarantine(FleetFollower &follower, ControlClient &client, PeerLinks &peers, kj::Timer &timer)
        : follower(follower)
        , client(client)
        , peers(peers)
        , timer(timer)
    {
    }

    /** Takes in a strike that the fleet state's copy may not hold yet. */
    void addRecentStrike(const std::string &fingerprint, const EndpointId &endpoint);

    /** Strikes that count now. */
    [[nodiscard]] std::uint32_t countStrikes(const std::string &fingerprint) const;

    /** When a refusal of @p fingerprint ends, in milliseconds from now. */
    [[nodiscard]] std::int64_t remainingRefusalMs(const std::string &fingerprint) const;

    /** Records that @p endpoint died with the request in flight. @return its strikes then. */
    [[nodiscard]] kj::Promise<std::uint32_t> recordStrike(std::string fingerprint, EndpointId endpoint);

    /** A suspect has run well, alone at an endpoint. */
    [[nodiscard]] kj::Promise<void> clearStrikes(std::string fingerprint);

private:
    /** Tells the other entries, and waits for those that answer within TellTimeout. */
    [[nodiscard]] kj::Promise<void> notifyPeers(const std::string &fingerprint, const EndpointId &endpoint);

    FleetFollower &follower; ///< Outlives this.
    ControlClient &client; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    kj::Timer &timer; ///< Outlives this.
    std::map<std::string, std::map<EndpointId, std::int64_t>> recent; ///< When each was told, in wall milliseconds.
};

} // namespace Chestnuthook
