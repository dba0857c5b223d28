/** @file rate_budget_type.cpp  Division of a customer's rate among the leader and the gateways. */
#include "deployment/rate_budget_type.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

/** Part of the remaining excess that a new leader gets; the gateways get the rest. */
constexpr double InitialTokensFraction = 1.0 / 3;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Key of the order in which gateways hold shares of @p limit. */
std::pair<std::uint64_t, std::string_view> orderKey(std::uint64_t seed, const std::string &gateway)
{
    return {hash64(gateway, seed), gateway};
}

/** Number of gateways that hold a share of the rate. */
std::size_t holderCount(const RateLimit &limit, std::size_t gateways)
{
    return std::min(gateways, static_cast<std::size_t>(std::max(limit.burst, 1.0)));
}

/** Number of @p gateways before @p gateway in the order of @p customer, and whether it is one of them. */
std::pair<std::size_t, bool> rankOf(
    const std::string &customer, const std::string &gateway, std::span<const std::string> gateways)
{
    const std::uint64_t seed = hash64(customer);
    const auto own = orderKey(seed, gateway);
    std::size_t rank = 0;
    bool isListed = false;
    for (const std::string &other : gateways) {
        isListed = isListed || other == gateway;
        rank += orderKey(seed, other) < own ? 1 : 0;
    }
    return {rank, isListed};
}

} // namespace

RateBudget rateBudget(const RateLimit &limit, const RateTolerance &tolerance)
{
    const double allowed = limit.ratePerSecond * seconds(tolerance.window) + limit.burst;
    const double left = allowed * tolerance.fraction + tolerance.requests - limit.ratePerSecond * seconds(CreditTtl);
    RateBudget budget;
    budget.capacity = std::max(limit.burst + std::min(left, 0.0), 1.0);
    budget.initialTokens = std::clamp(left * InitialTokensFraction, 0.0, budget.capacity);
    budget.isolatedRequests = static_cast<std::uint32_t>(std::max(left - budget.initialTokens, 0.0));
    return budget;
}

IsolatedShare isolatedShare(const RateLimit &limit, const RateTolerance &tolerance, const std::string &gateway,
    std::span<const std::string> gateways)
{
    const auto [rank, isListed] = rankOf(limit.name, gateway, gateways);
    IsolatedShare share;
    if (!isListed) {
        return share;
    }
    const std::uint64_t requests = rateBudget(limit, tolerance).isolatedRequests;
    share.requestsPerWindow =
        static_cast<std::uint32_t>(requests / gateways.size() + (rank < requests % gateways.size() ? 1 : 0));
    const std::size_t holders = holderCount(limit, gateways.size());
    if (rank < holders) {
        share.ratePerSecond = limit.ratePerSecond / static_cast<double>(holders);
        share.burst = std::max(limit.burst, 1.0) / static_cast<double>(holders);
    }
    return share;
}

double silentShareRate(
    const RateLimit &limit, std::span<const std::string> gateways, const std::set<std::string> &silent)
{
    if (silent.empty() || gateways.empty()) {
        return 0;
    }
    const std::uint64_t seed = hash64(limit.name);
    std::vector<std::pair<std::uint64_t, std::string_view>> keys;
    keys.reserve(gateways.size());
    for (const std::string &gateway : gateways) {
        keys.push_back(orderKey(seed, gateway));
    }
    const auto holders = static_cast<std::ptrdiff_t>(holderCount(limit, gateways.size()));
    std::nth_element(keys.begin(), keys.begin() + holders, keys.end());
    const auto silentHolders = std::count_if(keys.begin(), keys.begin() + holders, [&silent](const auto &key) {
        return silent.contains(std::string(key.second));
    });
    return limit.ratePerSecond * static_cast<double>(silentHolders) / static_cast<double>(holders);
}

} // namespace Chestnuthook
