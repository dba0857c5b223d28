/** @file admission_gate_base.cpp  Admission of requests by customer. */
#include "entry/admission_gate_base.h"

#include <algorithm>
#include <thread>

#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

/** How long a request may wait for a bucket that has no owner: until the lease of an owner that died has run out, the
 * slot has moved, and what came meanwhile has been let through. */
constexpr Duration OwnerWaitBound = std::chrono::milliseconds(8000);

/** Between two questions to an owner that can't grant yet. */
constexpr Duration AskAgainPeriod = std::chrono::milliseconds(150);

/** When a caller is told to come back where no owner could be asked. */
constexpr std::int64_t NotReadyRetryMs = 1000;

std::int64_t millisecondsOf(Duration duration)
{
    return duration.count() / 1000 + 1;
}

} // namespace

AdmissionGate::AdmissionGate(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers)
    : client(loop, follower, peers)
    , loop(loop)
    , follower(follower)
{
}

bool AdmissionGate::isCurrent(const Caller &caller) const
{
    const auto view = this->follower.views.get();
    return std::any_of(view->callers.begin(), view->callers.end(), [&](const auto &known) {
        return known.second.key == caller.key;
    });
}

Result<void> AdmissionGate::hold(const Caller &caller, Duration delay, Instant usableUntil, bool &late)
{
    if (delay > Duration(0)) {
        std::this_thread::sleep_for(delay);
        if (!this->isCurrent(caller)) {
            return fail(ErrorKind::UnknownKey, "the key was withdrawn");
        }
    }
    late = this->loop.timers().now() > usableUntil;
    return {};
}

Result<void> AdmissionGate::admit(const Caller &caller)
{
    if (!this->follower.views.get()->customers.contains(caller.customer)) {
        return fail(ErrorKind::UnknownKey, "the tenant is not declared");
    }
    const Instant begin = this->loop.timers().now();
    for (;;) {
        const Instant askedAt = this->loop.timers().now();
        const AdmissionDecision verdict = this->loop.call([&]() {
            return this->client.ask(caller.customer);
        });
        const bool granted = verdict.state == AdmissionState::Decided && !verdict.delays.empty();
        if (granted) {
            bool late = false;
            // The owner granted after it was asked, so counted from then the grant is used in time by its clock too.
            const Duration delay = verdict.delays.front();
            Result<void> held = this->hold(caller, delay, askedAt + delay + GrantTtl, late);
            if (!held || !late) {
                metrics().record(MetricKind::AdmissionHoldMs,
                    static_cast<double>((this->loop.timers().now() - begin).count()) / 1e3, caller.customer.text);
                return held;
            }
        }
        const bool overRate = verdict.state == AdmissionState::Decided && !granted;
        const Duration pause = std::clamp(verdict.retryAfter, AskAgainPeriod / 10, AskAgainPeriod);
        const Duration waited = this->loop.timers().now() + pause - begin;
        if (overRate && (!verdict.recovering || waited > OwnerWaitBound)) {
            return tl::unexpected(
                Error{ErrorKind::RateExceeded, caller.customer.text, Ran::No, millisecondsOf(verdict.retryAfter)});
        }
        if (waited > OwnerWaitBound || !this->follower.isFresh()) {
            return tl::unexpected(Error{ErrorKind::NotReady, "the tenant's bucket has no owner that can be reached",
                Ran::No, std::max(NotReadyRetryMs, millisecondsOf(verdict.retryAfter))});
        }
        if (!granted) {
            std::this_thread::sleep_for(verdict.state == AdmissionState::NotOwner ? AskAgainPeriod : pause);
        }
    }
}

} // namespace Chestnuthook
