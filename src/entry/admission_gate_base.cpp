/** @file admission_gate_base.cpp  Admission of requests by tenant. */
#include "entry/admission_gate_base.h"

#include "core/timer_base.h"

namespace Chestnuthook
{

AdmissionGate::AdmissionGate(const FleetViewHolder &views, const TimerService &timers)
    : views(views)
    , timers(timers)
{
}

Result<void> AdmissionGate::admit(const Caller &caller)
{
    const auto view = this->views.get();
    const auto tenant = view->tenants.find(caller.tenant);
    if (tenant == view->tenants.end()) {
        return fail(ErrorKind::UnknownKey, "the tenant is not declared");
    }
    const Instant now = this->timers.now();
    const std::lock_guard lock(this->mutex);
    const auto [bucket, added] = this->buckets.try_emplace(caller.tenant, now);
    bucket->second.declare(tenant->second.ratePerSecond, tenant->second.burst, now);
    if (added) {
        bucket->second.fill();
    }
    if (bucket->second.take(now)) {
        return {};
    }
    Error error{ErrorKind::RateExceeded, caller.tenant.text, Ran::No, 0};
    error.retryAfterMs = bucket->second.waitFor(now).count() / 1000 + 1;
    return tl::unexpected(error);
}

} // namespace Chestnuthook
