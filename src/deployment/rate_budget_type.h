/** @file rate_budget_type.h  Who may admit how many requests of a customer, or to an endpoint that names a limit, so
 * that the sum over all gateways and leaders stays within the tolerated excess of its rate.
 *
 * In any window, a leader grants at most the burst and the rate times the window. Added to that are, at most:
 * - credit that was granted within CreditTtl before the window: the rate times CreditTtl;
 * - the tokens with which one new leader starts: `RateBudget::initialTokens`;
 * - requests that gateways admit while a leader doesn't answer: `RateBudget::isolatedRequests`.
 * Their sum is the tolerated excess. A gateway that has lost its leader uses its share of the rate as well, which the
 * next leader doesn't grant while that gateway is silent. */
#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>

#include "core/timer_type.h"
#include "deployment/configuration_type.h"

namespace Chestnuthook
{

/** Credit expires this long after a gateway requested it. */
inline constexpr Duration CreditTtl = std::chrono::milliseconds(350);

/** By how much the requests of a customer may exceed its rate and burst. */
struct RateTolerance
{
    Duration window = std::chrono::seconds(5); ///< Length of the windows in which requests are counted.
    double fraction = 0; ///< Tolerated excess as a part of what rate and burst allow in a window.
    double requests = 0; ///< Tolerated excess beyond that, in requests.
};

/** How a customer's rate and the tolerated excess are divided. */
struct RateBudget
{
    double capacity = 0; ///< Size of the leader's token bucket, in requests; at least 1.
    double initialTokens = 0; ///< Tokens of a new leader that doesn't know what its predecessor granted.
    std::uint32_t isolatedRequests = 0; ///< For all gateways without an answer of the leader, in each window.
};
[[nodiscard]] RateBudget rateBudget(const RateLimit &limit, const RateTolerance &tolerance);

/** What one gateway may admit without credit. */
struct IsolatedShare
{
    std::uint32_t requestsPerWindow = 0; ///< Its part of `RateBudget::isolatedRequests`.
    double ratePerSecond = 0; ///< Its part of the rate while it has no leader.
    double burst = 0; ///< Size of the bucket for that; 0 or at least 1.
};
/** Share of @p gateway, one of @p gateways. A small rate isn't divided among all of them, because a gateway can't admit
 * less than one request; which ones have a part is different for each customer. */
[[nodiscard]] IsolatedShare isolatedShare(const RateLimit &limit, const RateTolerance &tolerance,
    const std::string &gateway, std::span<const std::string> gateways);

/** Sum of the rates that @p silent of @p gateways may use while they have no leader, in requests per second. */
[[nodiscard]] double silentShareRate(
    const RateLimit &limit, std::span<const std::string> gateways, const std::set<std::string> &silent);

} // namespace Chestnuthook
