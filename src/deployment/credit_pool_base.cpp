/** @file credit_pool_base.cpp  Token buckets of the deployment. */
#include "deployment/credit_pool_base.h"

#include <algorithm>
#include <cmath>

namespace Chestnuthook
{

namespace
{

/** A leader that has just begun doesn't know what the one before it granted; it begins with this part of a second's
 * rate. */
constexpr double FirstFillSeconds = 0.2;

/** Part of the rate by which isolated gateways and the leader may exceed it together; most silent gateways are down and
 * use nothing. */
constexpr double IsolatedMargin = 0.2;

} // namespace

void CreditPool::setGateways(std::size_t gateways, std::size_t silent)
{
    const double silentPart = gateways == 0 ? 0 : static_cast<double>(silent) / static_cast<double>(gateways);
    this->heardShare = std::clamp(1 + IsolatedMargin - silentPart, 0.0, 1.0);
}

std::uint32_t CreditPool::take(Instant now, const CustomerConfig &customer, const CreditRequest &wish)
{
    if (customer.ratePerSecond <= 0) {
        return wish.sum();
    }
    const double most = std::max(customer.burst, 1.0);
    const auto [entry, isNew] = this->buckets.try_emplace(customer.name);
    Bucket &bucket = entry->second;
    if (isNew) {
        bucket = Bucket{std::min(most, most * ReservePart + customer.ratePerSecond * FirstFillSeconds), now};
    }
    const double seconds = std::chrono::duration<double>(now - bucket.filled).count();
    bucket.tokens = std::min(most, bucket.tokens + seconds * customer.ratePerSecond * this->heardShare);
    bucket.filled = now;
    const auto upTo = [](std::uint32_t wanted, double tokens) {
        return std::min(wanted, static_cast<std::uint32_t>(std::floor(std::max(tokens, 0.0))));
    };
    const std::uint32_t granted = upTo(wish.requests, bucket.tokens);
    bucket.tokens -= granted;
    const std::uint32_t ahead = upTo(wish.ahead, bucket.tokens - most * ReservePart);
    bucket.tokens -= ahead;
    const std::uint32_t late = upTo(wish.late, bucket.tokens - most * LateReservePart);
    bucket.tokens -= late;
    return granted + ahead + late;
}

} // namespace Chestnuthook
