/** @file rate_limiter_base.h  Rate limiting at one gateway: of customers, and of the requests to endpoints that name a
 * limit. A gateway admits requests with credit that it fetches from the leader. While no leader answers, it admits a
 * few requests of its own; once it has lost the leader, it uses its share of each rate. See rate_budget_type.h for the
 * sum over all gateways. Does no I/O. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "core/timer_type.h"
#include "deployment/configuration_type.h"
#include "deployment/credit_pool_base.h"
#include "deployment/rate_budget_type.h"

namespace Chestnuthook
{

/** Class of a request. When credit is scarce, earlier classes are served before later ones. */
enum class CreditClass : std::uint8_t {
    Ongoing, ///< Request of a program that has already started, or request without a program.
    NewProgram, ///< First request of a program.
    LateNewProgram, ///< First request of a program that is unlikely to meet its deadline.
};

enum class CreditDecision : std::uint8_t {
    Admitted, ///< The request is within the rate, by credit of the leader or because there is no limit.
    AdmittedIsolated, ///< The request is within what this gateway may admit without credit.
    AwaitCredit, ///< Credit must be requested from the leader; try again when the reply has arrived.
    Refused, ///< The rate is exceeded.
};

/** How well a gateway reaches the leader of the control members. */
enum class LeaderContact : std::uint8_t {
    Reachable, ///< It answers.
    Slow, ///< It didn't answer a credit request in time.
    Lost, ///< No leader has answered anything for a time after which leaders count this gateway as silent.
};

/** What a gateway knows of the leader and of the other gateways. */
struct LeaderState
{
    LeaderContact contact = LeaderContact::Reachable; ///< How well the leader is reached.
    Instant lostSince{0}; ///< When the contact was lost; valid if it is.
    std::span<const std::string> gateways; ///< Names of the live gateways, as last received; includes this one.
};

class RateLimiter
{
public:
    /** @p name is that of this gateway, which has started at @p startedAt. */
    RateLimiter(std::string name, const RateTolerance &tolerance, Instant startedAt)
        : name(std::move(name))
        , tolerance(tolerance)
        , startedAt(startedAt)
    {
    }

    /** Records a request for the forecast of the demand, once however often `take` is called for it. */
    void recordRequest(Instant now, const RateLimit &limit);
    /** Takes credit for one request. @p isAsked belongs to the request, false at first: whether credit for it is part
     * of a credit request that hasn't been answered. */
    [[nodiscard]] CreditDecision take(
        Instant now, const RateLimit &limit, CreditClass creditClass, const LeaderState &leader, bool &isAsked);

    /** As above for a limit with a tolerance of its own. */
    [[nodiscard]] CreditDecision take(Instant now, const RateLimit &limit, const RateTolerance &excess,
        CreditClass creditClass, const LeaderState &leader, bool &isAsked);

    /** Credit to request from the leader now, by the name of the limit; empty if there is enough of each. */
    [[nodiscard]] std::map<std::string, CreditRequest> creditRequests(Instant now);
    /** Applies the leader's reply to the credit request @p requested, which was sent at @p sentAt. */
    void grant(Instant now, Instant sentAt, const std::map<std::string, CreditRequest> &requested,
        const std::map<std::string, std::uint32_t> &granted);
    /** Records that the credit request @p requested got no reply. */
    void requestFailed(const std::map<std::string, CreditRequest> &requested);

    /** Drops what is known of all limits but those whose name @p isUsed accepts. */
    void retain(const std::function<bool(const std::string &)> &isUsed);

    /** Seconds after which a refused client should retry: the interval between two requests at the rate of @p customer,
     * within MinRetryAfterSeconds and MaxRetryAfterSeconds. */
    [[nodiscard]] static double retryAfterSeconds(const RateLimit &limit);

private:
    /** Credit that isn't used within this time goes back to the leader with the next credit request. */
    static constexpr Duration CreditReturnAge = std::chrono::milliseconds(250);
    /** Credit is prefetched for the expected demand of this time. */
    static constexpr double PrefetchSeconds = 0.25;
    /** No credit is prefetched if fewer requests are expected, because much of it would expire unused. */
    static constexpr double MinPrefetchRequests = 1.5;
    /** A refusal by the leader applies for this long; only then is credit requested for such requests again. */
    static constexpr Duration RefusalTtl = std::chrono::milliseconds(80);
    /** Limits of Retry-After: a shorter time only adds load, a longer one leaves credit of small customers unused. */
    static constexpr double MinRetryAfterSeconds = 0.1;
    static constexpr double MaxRetryAfterSeconds = 0.5;
    /** Weight of the latest sample in the moving average of the demand. */
    static constexpr double DemandSampleWeight = 0.3;
    static constexpr Duration DemandSampleInterval = std::chrono::milliseconds(250);

    /** Credit of one reply. */
    struct Grant
    {
        std::uint32_t credit = 0; ///< Requests that may be admitted.
        std::uint32_t lateCredit = 0; ///< Separate credit for CreditClass::LateNewProgram, which never uses `credit`.
        Instant requestedAt{0}; ///< When it was requested; it expires CreditTtl later.
    };

    struct Account
    {
        std::deque<Grant> grants; ///< Unused credit, oldest first.
        CreditRequest unsentRequests; ///< Requests that await credit and aren't part of a credit request yet.
        bool requestPending = false; ///< A credit request is in flight.
        Instant refusedAt{0}; ///< Time of the last reply, which applies to `firstRefusedClass`.
        /** Set if the last reply granted less than was requested: this class and all later ones are refused. */
        std::optional<CreditClass> firstRefusedClass;
        double demandPerSecond = 0; ///< Moving average of the requests per second at this gateway.
        std::uint32_t sampleRequests = 0; ///< Requests since `sampleStart`.
        Instant sampleStart{0}; ///< Start of the current sample.
        std::deque<Instant> isolatedAdmissions; ///< Those out of `IsolatedShare::requestsPerWindow`, oldest first.
        double shareTokens = 0; ///< Bucket of the own share of the rate; empty when the contact is lost.
        Instant shareRefilledAt{0}; ///< When `shareTokens` was last refilled.

        [[nodiscard]] std::uint32_t credit() const;
    };

    static void dropExpiredCredit(Instant now, Account &account);
    [[nodiscard]] static bool takeCredit(Account &account, CreditClass creditClass);
    [[nodiscard]] bool takeIsolated(Instant now, Account &account, const RateLimit &limit, const RateTolerance &excess,
        const LeaderState &leader) const;
    /** Removes credit that is older than CreditReturnAge. @return how much. */
    static std::uint32_t takeUnusedCredit(Instant now, Account &account);

    std::string name; ///< Name of this gateway.
    RateTolerance tolerance; ///< Tolerated excess over the rates.
    Instant startedAt; ///< A former process of this gateway may have admitted requests until then.
    std::map<std::string, Account> accounts; ///< By the name of the limit.
};

} // namespace Chestnuthook
