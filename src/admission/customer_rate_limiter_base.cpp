/** @file customer_rate_limiter_base.cpp  Granting at the owner of a customer's slot. */
#include "admission/customer_rate_limiter_base.h"

#include <algorithm>

#include "fleet/fleet_base.h"

namespace Chestnuthook
{

void CustomerRateLimiter::update(const SlotFacts &facts, Instant now)
{
    this->slotOwnerships.update(facts, now);
}

TokenBucket &CustomerRateLimiter::bucketOf(const CustomerDeclaration &customer, SlotId slot, Instant now)
{
    const SlotOwnership &ownership = this->slotOwnerships.at(slot);
    auto found = this->buckets.find(customer.id);
    if (found == this->buckets.end() || found->second.epoch != ownership.epoch) {
        const Instant begin = ownership.grantsStartAt.value_or(now);
        OwnedBucket owned{ownership.epoch, TokenBucket(begin)};
        owned.bucket.declare(customer.ratePerSecond, customer.burst, begin);
        if (ownership.start == InitialBucketLevel::Full) {
            owned.bucket.fill();
        }
        const auto level = this->adopted.find(customer.id);
        if (level != this->adopted.end() && level->second.first == ownership.epoch) {
            owned.bucket.adopt(level->second.second, begin);
        }
        found = this->buckets.insert_or_assign(customer.id, owned).first;
    }
    found->second.bucket.declare(customer.ratePerSecond, customer.burst, now);
    return found->second.bucket;
}

AdmissionDecision CustomerRateLimiter::admit(
    const CustomerDeclaration &customer, std::uint32_t count, Instant now, Instant leaseEnd)
{
    const SlotId slot = slotOf(customer.id.text);
    AdmissionDecision verdict;
    const std::optional<Duration> timeUntilGrants = this->slotOwnerships.timeUntilGrants(slot, now);
    if (!timeUntilGrants) {
        verdict.state = AdmissionState::NotOwner;
        return verdict;
    }
    if (*timeUntilGrants > Duration(0) || leaseEnd <= now) {
        verdict.state = AdmissionState::NotYet;
        verdict.retryAfter = *timeUntilGrants;
        return verdict;
    }
    TokenBucket &bucket = this->bucketOf(customer, slot, now);
    const Duration maxDelay = std::min(MaxAdmissionDelay, leaseEnd - now);
    while (verdict.delays.size() < count) {
        const std::optional<Duration> delay = bucket.reserve(now, maxDelay);
        if (!delay) {
            const SlotOwnership &ownership = this->slotOwnerships.at(slot);
            verdict.retryAfter = std::max(Duration(1000), bucket.waitFor(now) - maxDelay);
            verdict.recovering =
                ownership.start == InitialBucketLevel::Empty && now < *ownership.grantsStartAt + RecoveryPeriod;
            break;
        }
        verdict.delays.push_back(*delay);
    }
    return verdict;
}

std::optional<std::vector<BucketLevel>> CustomerRateLimiter::giveUp(
    SlotId slot, Epoch epoch, const std::vector<CustomerDeclaration> &customersOfSlot, Instant now)
{
    const bool present = this->slotOwnerships.at(slot).epoch == epoch;
    if (!this->slotOwnerships.giveUp(slot, epoch, now)) {
        return std::nullopt;
    }
    std::vector<BucketLevel> levels;
    for (const CustomerDeclaration &customer : customersOfSlot) {
        const auto found = this->buckets.find(customer.id);
        if (found != this->buckets.end() && found->second.epoch == epoch) {
            levels.push_back({customer.id, found->second.bucket.levelAt(now)});
        } else if (present) {
            levels.push_back({customer.id, this->bucketOf(customer, slot, now).levelAt(now)});
        } else {
            levels.push_back({customer.id, 0});
        }
    }
    return levels;
}

void CustomerRateLimiter::adopt(const HandoverRequest &handover, const std::vector<BucketLevel> &levels, Instant now)
{
    if (!this->slotOwnerships.adopt(handover, now)) {
        return;
    }
    for (const BucketLevel &level : levels) {
        this->adopted[level.customer] = {handover.epoch, level.level};
    }
}

} // namespace Chestnuthook
