/** @file admission_gate_base.h  Enforces the rate and burst of each customer. */
#pragma once

#include "core/error_type.h"
#include "entry/admission_client_base.h"

namespace Chestnuthook
{

/** Admits requests on traffic threads by token buckets that hold for the whole fleet. */
class AdmissionGate
{
public:
    AdmissionGate(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Takes one token from the customer's bucket and blocks, for a bounded time, until the request is within the rate.
     * For traffic threads. Errors: RateExceeded and NotReady, with a retry delay; UnknownKey if the key was withdrawn
     * meanwhile. */
    Result<void> admit(const ClientIdentity &client);

    AdmissionClient client; ///< Gets the decisions; for the control thread only.

private:
    /** Sleeps for @p delay, then sets @p expired if the grant is no longer usable. Errors: UnknownKey. */
    Result<void> waitForGrant(const ClientIdentity &client, Duration delay, Instant usableUntil, bool &expired);
    [[nodiscard]] bool isKeyActive(const ClientIdentity &client) const;

    ControlLoop &loop; ///< Outlives this.
    FleetFollower &follower; ///< Outlives this; only its views are used.
};

} // namespace Chestnuthook
