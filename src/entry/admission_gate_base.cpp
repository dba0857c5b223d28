/** @file admission_gate_base.cpp  Admission control by customer. */
#include "entry/admission_gate_base.h"

#include <algorithm>
#include <thread>

#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

/** How long a request may wait for a token bucket without an owner. Covers the time until the lease of a failed owner
 * expires, the slot moves, and the requests that queued up meanwhile are admitted. */
constexpr Duration MaxOwnerWait = std::chrono::milliseconds(8000);

/** Delay before an owner that can't grant yet is asked again. */
constexpr Duration RetryInterval = std::chrono::milliseconds(150);

/** Minimum Retry-After for a client if no owner could be reached, in milliseconds. */
constexpr std::int64_t NotReadyRetryAfterMs = 1000;

std::int64_t toMsRoundedUp(Duration duration)
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

bool AdmissionGate::isKeyActive(const ClientIdentity &client) const
{
    const auto view = this->follower.views.get();
    return std::any_of(view->clients.begin(), view->clients.end(), [&](const auto &known) {
        return known.second.key == client.key;
    });
}

Result<void> AdmissionGate::waitForGrant(
    const ClientIdentity &client, Duration delay, Instant usableUntil, bool &expired)
{
    if (delay > Duration(0)) {
        std::this_thread::sleep_for(delay);
        if (!this->isKeyActive(client)) {
            return fail(ErrorKind::UnknownKey, "the key was withdrawn");
        }
    }
    expired = this->loop.timers().now() > usableUntil;
    return {};
}

Result<void> AdmissionGate::admit(const ClientIdentity &client)
{
    if (!this->follower.views.get()->customers.contains(client.customer)) {
        return fail(ErrorKind::UnknownKey, "the tenant is not declared");
    }
    const Instant begin = this->loop.timers().now();
    for (;;) {
        const Instant requestedAt = this->loop.timers().now();
        const AdmissionDecision verdict = this->loop.call([&]() {
            return this->client.requestAdmission(client.customer);
        });
        const bool granted = verdict.state == AdmissionState::Decided && !verdict.delays.empty();
        if (granted) {
            bool expired = false;
            // The owner granted after requestedAt. A grant that is used within GrantTtl of that time is valid at the
            // owner too.
            const Duration delay = verdict.delays.front();
            Result<void> grantResult = this->waitForGrant(client, delay, requestedAt + delay + GrantTtl, expired);
            if (!grantResult || !expired) {
                metrics().record(MetricKind::AdmissionHoldMs,
                    static_cast<double>((this->loop.timers().now() - begin).count()) / 1e3, client.customer.text);
                return grantResult;
            }
        }
        const bool overRate = verdict.state == AdmissionState::Decided && !granted;
        const Duration retryDelay = std::clamp(verdict.retryAfter, RetryInterval / 10, RetryInterval);
        const Duration waited = this->loop.timers().now() + retryDelay - begin;
        if (overRate && (!verdict.recovering || waited > MaxOwnerWait)) {
            return tl::unexpected(
                Error{ErrorKind::RateExceeded, client.customer.text, Ran::No, toMsRoundedUp(verdict.retryAfter)});
        }
        if (waited > MaxOwnerWait || !this->follower.isFresh()) {
            return tl::unexpected(Error{ErrorKind::NotReady, "the owner of the tenant's rate limit can't be reached",
                Ran::No, std::max(NotReadyRetryAfterMs, toMsRoundedUp(verdict.retryAfter))});
        }
        if (!granted) {
            std::this_thread::sleep_for(verdict.state == AdmissionState::NotOwner ? RetryInterval : retryDelay);
        }
    }
}

} // namespace Chestnuthook
