/** @file gateway_credit.cpp  Rate limits of customers: credit from the leader, and how requests wait for it. */
#include <algorithm>

#include "core/boot_clock_func.h"
#include "gateway/gateway_base.h"
#include "gateway/gateway_call_internal.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

/** After this long without a reply to a credit request the leader is considered unreachable, in a small fleet. */
constexpr Duration CreditReplyTimeout = std::chrono::milliseconds(80);
/** After a failed credit request the gateway uses its own share of the rate for this long. */
constexpr Duration CreditFailureBackoff = std::chrono::milliseconds(100);
/** Requests that don't start a program wait this long for the rate limit before they are rejected. */
constexpr Duration MaxRateWait = std::chrono::milliseconds(500);
/** While no leader answers, all requests wait this much longer than the contact to it takes to count as lost: until
 * then another one is elected and found, or the gateway may use its own share of the rate. */
constexpr Duration LeaderWaitMargin = std::chrono::milliseconds(200);
/** A new program whose time left is less than this many target latencies of its route is unlikely to meet its deadline.
 */
constexpr int MinTargetLatenciesLeft = 2;
constexpr auto PollInterval = 20 * kj::MILLISECONDS;

} // namespace

void Gateway::startCreditRequest()
{
    if (this->pendingCreditRequest != nullptr || !this->watcher.hasLeaderContact()) {
        return;
    }
    const Instant sentAt = bootClockNow();
    auto customers = this->rateLimiter.creditRequests(sentAt);
    auto endpoints = this->endpointLimiter.creditRequests(sentAt);
    if (customers.empty() && endpoints.empty()) {
        return;
    }
    std::vector<EndpointCreditRequest> endpointRequests;
    endpointRequests.reserve(endpoints.size());
    for (const auto &[endpoint, wanted] : endpoints) {
        endpointRequests.push_back({this->endpointLimits.reportOf(this->now(), endpoint), wanted,
            this->endpointRates(endpoint).coldPerSecond});
    }
    auto reply = kj::evalNow([&]() {
        return this->watcher.requestCredit(customers, endpointRequests);
    });
    auto fetch = reply
                     .then(
                         [this, customers, endpoints, sentAt](CreditReply &&granted) {
                             const Instant now = bootClockNow();
                             this->leaderLimitsEndpoints = granted.limitsEndpoints || endpoints.empty();
                             this->rateLimiter.grant(now, sentAt, customers, granted.customers);
                             if (this->leaderLimitsEndpoints) {
                                 this->endpointLimiter.grant(now, sentAt, endpoints, granted.endpoints);
                             } else {
                                 this->endpointLimiter.requestFailed(endpoints);
                             }
                         },
                         [this, customers, endpoints](kj::Exception &&exception) {
                             this->rateLimiter.requestFailed(customers);
                             this->endpointLimiter.requestFailed(endpoints);
                             this->creditRetryAt = this->now() + CreditFailureBackoff;
                             this->watcher.verifyLeader();
                             logEvent(EventKind::FreshnessLost,
                                 {{"what", "credit"}, {"error", exception.getDescription().cStr()}});
                         })
                     .then([this]() {
                         this->pendingCreditRequest = nullptr;
                     })
                     .fork();
    this->loop.detach(fetch.addBranch());
    this->pendingCreditRequest = kj::mv(fetch);
}

void Gateway::awaitCredit(kj::WaitScope &scope)
{
    kj::Promise<void> fetched = this->loop.kjTimer().afterDelay(PollInterval);
    KJ_IF_MAYBE (fetch, this->pendingCreditRequest) {
        // The leader of a large fleet may take longer at times; without it a gateway admits next to nothing.
        const Duration extra = extraSilenceOf(this->watcher.currentWatchWait()) / 2;
        const Duration timeout = std::min(CreditReplyTimeout + extra, CreditTtl);
        fetched = fetch->addBranch().exclusiveJoin(this->loop.kjTimer().afterDelay(kjDuration(timeout)).then([this]() {
            this->creditRetryAt = this->now() + CreditFailureBackoff;
        }));
    }
    fetched.wait(scope);
}

LeaderState Gateway::leaderState() const
{
    LeaderState state;
    state.gateways = this->gatewayNames;
    if (!this->watcher.hasLeaderContact()) {
        state.contact = LeaderContact::Lost;
        const Duration age = this->now() - this->watcher.lastLeaderAnswer();
        state.lostSince = bootClockNow() - age + this->watcher.leaderContactTimeout();
    } else if (this->now() < this->creditRetryAt) {
        state.contact = LeaderContact::Slow;
    }
    return state;
}

bool Gateway::applyRateLimit(kj::WaitScope &scope, Call &call)
{
    if (call.customer == nullptr) {
        return true;
    }
    const std::optional<std::string_view> refusal = this->takeCustomerCredit(scope, call);
    if (refusal) {
        this->reject(
            scope, call, HttpStatus::TooManyRequests, *refusal, RateLimiter::retryAfterSeconds(*call.customer));
    }
    return !refusal;
}

std::optional<std::string_view> Gateway::takeCustomerCredit(kj::WaitScope &scope, Call &call)
{
    const RequestWaits::Scope wait(this->waits, call.waits, WaitCause::Credit);
    this->rateLimiter.recordRequest(bootClockNow(), *call.customer);
    CreditClass creditClass = CreditClass::Ongoing;
    if (call.isNewProgram) {
        const bool isLate = this->programTimeLeft(call).value_or(Milliseconds::max())
            < call.route->targetLatency * MinTargetLatenciesLeft;
        creditClass = isLate ? CreditClass::LateNewProgram : CreditClass::NewProgram;
    }
    Duration maxWait = MaxRateWait;
    bool isAsked = false;
    while (true) {
        const LeaderState leader = this->leaderState();
        const bool isReachable = leader.contact == LeaderContact::Reachable;
        if (!isReachable) {
            maxWait = this->watcher.leaderContactTimeout() + LeaderWaitMargin;
        }
        switch (this->rateLimiter.take(bootClockNow(), *call.customer, creditClass, leader, isAsked)) {
        case CreditDecision::Admitted:
            this->startCreditRequest();
            return std::nullopt;
        case CreditDecision::AdmittedIsolated:
            call.isAdmittedIsolated = true;
            metrics().add(MetricKind::RequestsAdmittedIsolated, 1, call.customer->name);
            this->startCreditRequest();
            return std::nullopt;
        case CreditDecision::Refused:
            if ((!isReachable || !call.isNewProgram)
                && this->now() < std::min(call.exchange.received + maxWait, call.deadline)) {
                this->loop.kjTimer().afterDelay(PollInterval).wait(scope);
                continue;
            }
            return isReachable ? "over the rate" : "over the rate, out of touch";
        case CreditDecision::AwaitCredit:
            break;
        }
        this->startCreditRequest();
        this->awaitCredit(scope);
    }
}

} // namespace Chestnuthook
