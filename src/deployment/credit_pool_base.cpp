/** @file credit_pool_base.cpp  Grants credit from one token bucket per customer. */
#include "deployment/credit_pool_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chestnuthook
{

void CreditPool::beginTerm(Instant now, bool followedPredecessor)
{
    this->termStart = now;
    this->startsWithTokens = followedPredecessor;
    this->buckets.clear();
}

void CreditPool::setGateways(std::vector<std::string> known, std::set<std::string> silent)
{
    if (known != this->gateways || silent != this->silentGateways) {
        this->gateways = std::move(known);
        this->silentGateways = std::move(silent);
        ++this->gatewaysVersion;
    }
}

CreditPool::Bucket &CreditPool::bucketOf(const RateLimit &limit, const RateBudget &budget)
{
    const auto [entry, isNew] = this->buckets.try_emplace(limit.name);
    Bucket &bucket = entry->second;
    if (isNew) {
        bucket.tokens = this->startsWithTokens ? budget.initialTokens : 0;
        bucket.refilledAt = this->termStart;
        if (this->onAccountOpened) {
            this->onAccountOpened(limit.name, bucket.tokens);
        }
    }
    if (bucket.silentVersion != this->gatewaysVersion || bucket.silentOfRate != limit.ratePerSecond
        || bucket.silentOfBurst != limit.burst) {
        bucket.silentOfBurst = limit.burst;
        bucket.silentOfRate = limit.ratePerSecond;
        bucket.silentRate = silentShareRate(limit, this->gateways, this->silentGateways);
        bucket.silentVersion = this->gatewaysVersion;
    }
    return bucket;
}

std::uint32_t CreditPool::grant(Instant now, const RateLimit &limit, const CreditRequest &request)
{
    return this->grant(now, limit, this->tolerance, request);
}

std::uint32_t CreditPool::grant(
    Instant now, const RateLimit &limit, const RateTolerance &excess, const CreditRequest &request)
{
    if (limit.ratePerSecond <= 0) {
        return request.sum();
    }
    const RateBudget budget = rateBudget(limit, excess);
    Bucket &bucket = this->bucketOf(limit, budget);
    const auto secondsSince = [now](Instant start) {
        return std::chrono::duration<double>(now - start).count();
    };
    const double rate = std::max(limit.ratePerSecond - bucket.silentRate, 0.0);
    bucket.tokens =
        std::min(budget.capacity, bucket.tokens + secondsSince(bucket.refilledAt) * rate + request.returned);
    bucket.refilledAt = now;
    // At the start of a term the bucket can't be full yet, so less is held back.
    const double initial = this->startsWithTokens ? budget.initialTokens : 0;
    const double reachable = std::min(budget.capacity, initial + secondsSince(this->termStart) * rate);
    const auto affordable = [](std::uint32_t wanted, double tokens) {
        return std::min(wanted, static_cast<std::uint32_t>(std::floor(std::max(tokens, 0.0))));
    };
    const std::uint32_t forRunning = affordable(request.requests, bucket.tokens);
    bucket.tokens -= forRunning;
    const std::uint32_t forNew = affordable(request.ahead, bucket.tokens - reachable * ReserveFraction);
    bucket.tokens -= forNew;
    const std::uint32_t forLate = affordable(request.late, bucket.tokens - reachable * LateReserveFraction);
    bucket.tokens -= forLate;
    Counts &count = this->counts[limit.name];
    count.wanted += request.sum();
    count.granted += forRunning + forNew + forLate;
    return forRunning + forNew + forLate;
}

std::map<std::string, CreditPool::Counts> CreditPool::takeCounts()
{
    return std::exchange(this->counts, {});
}

} // namespace Chestnuthook
