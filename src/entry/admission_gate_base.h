/** @file admission_gate_base.h  Counts each request against its customer's rate and burst. */
#pragma once

#include "core/error_type.h"
#include "entry/admission_client_base.h"

namespace Chestnuthook
{

/** The way of traffic threads to the customers' buckets, which are fleet-wide. */
class AdmissionGate
{
public:
    AdmissionGate(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Takes one request out of the customer's bucket, and holds it for a bounded time until it is inside the rate. For
     * traffic threads. Errors, all at once when it is given up: RateExceeded and NotReady, with when to come back;
     * UnknownKey where the key was withdrawn meanwhile. */
    Result<void> admit(const Caller &caller);

    AdmissionClient client; ///< For the control thread only.

private:
    Result<void> hold(const Caller &caller, Duration delay, Instant usableUntil, bool &late);
    [[nodiscard]] bool isCurrent(const Caller &caller) const;

    ControlLoop &loop; ///< Outlives this.
    FleetFollower &follower; ///< Outlives this; only its views are read.
};

} // namespace Chestnuthook
