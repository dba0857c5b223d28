/** @file admission_gate_base.h  Counts each request against its tenant's rate and burst. */
#pragma once

#include <map>
#include <mutex>

#include "admission/token_bucket_type.h"
#include "core/error_type.h"
#include "entry/fleet_view_type.h"

namespace Chestnuthook
{

class TimerService;

/** The way of traffic threads to the tenants' buckets. */
class AdmissionGate
{
public:
    AdmissionGate(const FleetViewHolder &views, const TimerService &timers);

    /** Takes one request out of the tenant's bucket. For traffic threads. Errors: RateExceeded, with when to come back.
     */
    Result<void> admit(const Caller &caller);

private:
    const FleetViewHolder &views; ///< Outlives this.
    const TimerService &timers; ///< Outlives this; only its clock is read.
    std::mutex mutex; ///< Guards `buckets`; held for arithmetic only.
    std::map<TenantId, TokenBucket> buckets; ///< By tenant.
};

} // namespace Chestnuthook
