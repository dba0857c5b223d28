/** @file credit_pool_base.h  Rate limits over the whole deployment, of customers or of endpoints, granted by the leader
 * to gateways as small amounts of credit. No I/O, no clock. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/configuration_type.h"
#include "deployment/rate_budget_type.h"

namespace Chestnuthook
{

/** Credit that a gateway requests within one limit, in requests. */
struct CreditRequest
{
    std::uint32_t requests = 0; ///< For running programs and for requests without a program.
    std::uint32_t ahead = 0; ///< For new programs, and to be held in advance.
    std::uint32_t late = 0; ///< For new programs that are unlikely to meet their deadline.
    std::uint32_t returned = 0; ///< Credit that the gateway hasn't used and gives back.
    /** Requests for which credit is wanted. */
    [[nodiscard]] std::uint32_t sum() const
    {
        return this->requests + this->ahead + this->late;
    }
};

/** Token buckets at the leader; see rate_budget_type.h for the sum over leaders and gateways. */
class CreditPool
{
public:
    explicit CreditPool(const RateTolerance &tolerance)
        : tolerance(tolerance)
    {
    }

    /** Begins the term of this leader with empty buckets. A leader that has @p followedPredecessor, the leader of the
     * term before, for at least a window starts with some tokens; no other leader has started with tokens in that
     * window. */
    void beginTerm(Instant now, bool followedPredecessor);
    /** Sets the known gateways, and those of them that may use their own share of the rate because they haven't
     * reported to this leader lately. The leader doesn't grant these shares. */
    void setGateways(std::vector<std::string> known, std::set<std::string> silent);

    /** @return how many of the requests in @p request may be admitted, those of running programs first. A program makes
     * many requests after its first one, so no new program starts while less than ReserveFraction of the burst is left
     * for the running ones. A program that is unlikely to meet its deadline starts only if others don't need the
     * credit. */
    std::uint32_t grant(Instant now, const RateLimit &limit, const CreditRequest &request);
    /** As above for a limit with a tolerance of its own. */
    std::uint32_t grant(Instant now, const RateLimit &limit, const RateTolerance &excess, const CreditRequest &request);

    /** Requests within one limit since the counts were last taken. */
    struct Counts
    {
        std::uint64_t wanted = 0; ///< Requests for which gateways wanted credit.
        std::uint64_t granted = 0; ///< Requests for which they got it.
    };
    /** Returns and clears the counts, by the name of the limit. */
    [[nodiscard]] std::map<std::string, Counts> takeCounts();
    /** Called when the bucket of a limit is made, with the tokens that it starts with. May be empty. */
    std::function<void(const std::string &limit, double tokens)> onAccountOpened;

    static constexpr double ReserveFraction = 0.4; ///< Part of the burst that new programs leave untouched.
    static constexpr double LateReserveFraction = 0.9; ///< Part of the burst that late new programs leave untouched.

private:
    struct Bucket
    {
        double tokens = 0; ///< Requests that may be granted; at most the capacity.
        Instant refilledAt{0}; ///< Time of the last refill of `tokens`.
        double silentRate = 0; ///< Part of the rate that silent gateways may use, in requests per second.
        double silentOfRate = 0; ///< Rate for which `silentRate` was computed.
        double silentOfBurst = 0; ///< Burst for which `silentRate` was computed.
        std::uint64_t silentVersion = 0; ///< Value of `gatewaysVersion` for which `silentRate` was computed.
    };

    Bucket &bucketOf(const RateLimit &limit, const RateBudget &budget);

    RateTolerance tolerance; ///< Tolerated excess over the rates.
    Instant termStart{0}; ///< When this leader's term began.
    bool startsWithTokens = false; ///< Buckets start with `RateBudget::initialTokens`.
    std::vector<std::string> gateways; ///< Names of the known gateways.
    std::set<std::string> silentGateways; ///< Names of those that may use their own share.
    std::uint64_t gatewaysVersion = 1; ///< Increases when `gateways` or `silentGateways` changes.
    std::map<std::string, Bucket> buckets; ///< By the name of the limit.
    std::map<std::string, Counts> counts; ///< By the name of the limit.
};

} // namespace Chestnuthook
