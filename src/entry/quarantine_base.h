/** @file quarantine_base.h  Requests that were in flight where endpoints died: strikes in the fleet state, by
 * fingerprint of tenant and content, whatever program or entry they come through. */
#pragma once

#include <map>
#include <set>
#include <string>

#include <kj/async.h>

#include "client/control_client_base.h"
#include "core/id_type.h"
#include "entry/fleet_follower_base.h"
#include "program/call_request_type.h"

namespace Chestnuthook
{

/** From this many strikes on a request is refused; with fewer it runs alone at an endpoint. */
constexpr std::uint32_t StrikesToRefuse = 2;

/** Names a request by its tenant and content. */
[[nodiscard]] std::string fingerprintOf(const TenantId &tenant, const CallRequest &request);

/** For the control thread. */
class Quarantine
{
public:
    Quarantine(FleetFollower &follower, ControlClient &client)
        : follower(follower)
        , client(client)
    {
    }

    /** Strikes that count now. */
    [[nodiscard]] std::uint32_t strikesOf(const std::string &fingerprint) const;

    /** When a refusal of @p fingerprint ends, in milliseconds from now. */
    [[nodiscard]] std::int64_t refusedForMs(const std::string &fingerprint) const;

    /** Records that @p endpoint died with the request in flight. @return its strikes then. */
    [[nodiscard]] kj::Promise<std::uint32_t> strike(std::string fingerprint, EndpointId endpoint);

    /** A suspect has run well, alone at an endpoint. */
    [[nodiscard]] kj::Promise<void> clear(std::string fingerprint);

private:
    FleetFollower &follower; ///< Outlives this.
    ControlClient &client; ///< Outlives this.
    std::map<std::string, std::set<EndpointId>> recent; ///< Recorded here; the fleet state's copy lags behind.
};

} // namespace Chestnuthook
