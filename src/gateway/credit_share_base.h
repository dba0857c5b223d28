/** @file credit_share_base.h  What one gateway may admit of each customer's rate: credit fetched from the leader, or a
 * fixed share while the leader can't be reached. Pure. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/timer_type.h"
#include "deployment/configuration_type.h"
#include "deployment/credit_pool_base.h"

namespace Chestnuthook
{

/** What credit is taken for; under scarcity the first kinds go before the later ones. */
enum class CreditUse : std::uint8_t {
    Continue, ///< A request of a program under way, or one without a program.
    Begin, ///< The first request of a program.
    BeginLate, ///< The first request of a program that can hardly end in time any more.
};

enum class CreditAnswer : std::uint8_t {
    Admitted, ///< The request is within the rate.
    Wait, ///< Credit has been asked for; ask again when it has come.
    Refused, ///< The leader has none left for this customer.
};

class CreditShare
{
public:
    /** Takes credit for one request. While @p inTouch is false, this gateway's part of the rate counts, as one of
     * @p gateways. */
    [[nodiscard]] CreditAnswer take(
        Instant now, const CustomerConfig &customer, CreditUse use, bool inTouch, std::size_t gateways);

    /** What to ask the leader for now, by customer; empty where all have enough. */
    [[nodiscard]] std::map<std::string, CreditRequest> wanted(Instant now);
    /** Takes the leader's answer to @p asked. */
    void grant(Instant now, const std::map<std::string, CreditRequest> &asked,
        const std::map<std::string, std::uint32_t> &granted);
    /** The question was lost. */
    void lost(const std::map<std::string, CreditRequest> &asked);

    /** When to come back after a refusal, in seconds: when the rate of @p customer allows the next request. */
    [[nodiscard]] static double retryAfterSeconds(const CustomerConfig &customer);

private:
    /** Credit that isn't used in this time is dropped, so that all gateways together stay close to the rate. */
    static constexpr Duration CreditLife = std::chrono::milliseconds(1000);
    /** Credit that is fetched ahead covers this much of the demand. */
    static constexpr double AheadSeconds = 0.25;
    /** Where fewer requests are expected in that time, none are fetched ahead: most would be lost unused. */
    static constexpr double LeastExpected = 0.5;
    /** A refusal by the leader holds for this long before it is asked again. */
    static constexpr Duration RefusalLife = std::chrono::milliseconds(80);
    /** Bounds of Retry-After: less only adds load, more lets credit of small customers go unused. */
    static constexpr double LeastRetrySeconds = 0.1;
    static constexpr double MostRetrySeconds = 0.5;
    /** Weight of the latest sample in the estimate of demand. */
    static constexpr double DemandWeight = 0.3;
    static constexpr Duration DemandPeriod = std::chrono::milliseconds(250);
    /** Seconds of its share of the rate that an isolated gateway may admit at once. */
    static constexpr double IsolatedBurstSeconds = 0.4;

    struct Account
    {
        std::uint32_t credit = 0; ///< Requests that may be admitted.
        std::uint32_t lateCredit = 0; ///< The same for CreditUse::BeginLate, which takes nothing of `credit`.
        Instant granted{0}; ///< When credit came last.
        CreditRequest waiting; ///< Requests that asked and were told to wait, since the last question.
        bool asked = false; ///< A question is under way.
        Instant refusedAt{0}; ///< When the leader had none left.
        /** The last answer gave less than was asked: this use and later ones of CreditUse are refused. */
        std::optional<CreditUse> refusedFrom;
        double perSecond = 0; ///< Estimate of the demand here.
        std::uint32_t seen = 0; ///< Requests since `seenFrom`.
        Instant seenFrom{0}; ///< Start of the current sample.
        double isolatedTokens = 0; ///< Of the share while out of touch.
        Instant isolatedFilled{0}; ///< When `isolatedTokens` was worked out.
    };

    void noteDemand(Instant now, Account &account);
    static void dropOldCredit(Instant now, Account &account);

    std::map<std::string, Account> accounts; ///< By customer.
};

} // namespace Chestnuthook
