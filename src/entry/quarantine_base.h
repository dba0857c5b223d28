/** @file quarantine_base.h  Quarantine of requests that are suspected of crashing endpoints. Each death of an endpoint
 * is a strike in the fleet state against the request in flight. A request is identified by the fingerprint of its
 * customer and content, so that strikes count whatever program or entry it comes through. */
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

/** A request with this many strikes is rejected; with fewer, but at least one, it runs in isolation at an endpoint. */
constexpr std::uint32_t MinStrikesToRefuse = 2;

/** Hash of the customer and content of a request. */
[[nodiscard]] std::string fingerprintOf(const CustomerId &customer, const CallRequest &request);

/** Tracks strikes; for the control thread only. */
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

    /** Caches a strike that may not be in the copy of the fleet state yet. */
    void addRecentStrike(const std::string &fingerprint, const EndpointId &endpoint);

    /** Number of strikes against the request that have not expired. */
    [[nodiscard]] std::uint32_t countStrikes(const std::string &fingerprint) const;

    /** Time until the strikes against @p fingerprint expire, in milliseconds. */
    [[nodiscard]] std::int64_t remainingRefusalMs(const std::string &fingerprint) const;

    /** Records that @p endpoint died with the request in flight. @return its number of strikes, this one included. */
    [[nodiscard]] kj::Promise<std::uint32_t> recordStrike(std::string fingerprint, EndpointId endpoint);

    /** Removes the strikes against a request, after it has run successfully in isolation. */
    [[nodiscard]] kj::Promise<void> clearStrikes(std::string fingerprint);

private:
    /** Reports a strike to the other entries and waits for their replies, at most for PeerNotifyTimeout. */
    [[nodiscard]] kj::Promise<void> notifyPeers(const std::string &fingerprint, const EndpointId &endpoint);

    FleetFollower &follower; ///< Outlives this.
    ControlClient &client; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    kj::Timer &timer; ///< Outlives this.
    std::map<std::string, std::map<EndpointId, std::int64_t>>
        recent; ///< Wall time at which each strike was cached, in milliseconds, by fingerprint and endpoint.
};

} // namespace Chestnuthook
