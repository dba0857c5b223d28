/** @file admission_gate_base.h  Counts each request against its tenant's rate and burst. */
#pragma once

#include "core/error_type.h"
#include "entry/admission_client_base.h"

namespace Chestnuthook
{

/** The way of traffic threads to the tenants' buckets, which are fleet-wide. */
class AdmissionGate
{
public:
    AdmissionGate(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Takes one request out of the tenant's bucket, and holds it for a bounded time until it is inside the rate. For
     * traffic threads. Errors, all at once when it is given up: RateExceeded and NotReady, with when to come back;
     * UnknownKey where the key was withdrawn meanwhile. */
    Result<void> admit(const ClientIdentity &client);

    AdmissionClient client; ///< For the control thread only.

private:
    Result<void> waitForGrant(const ClientIdentity &client, Duration delay, Instant usableUntil, bool &expired);
    [[nodiscard]] bool isKeyActive(const ClientIdentity &client) const;

    ControlLoop &loop; ///< Outlives this.
    FleetFollower &follower; ///< Outlives this; only its views are read.
};

} // namespace Chestnuthook
