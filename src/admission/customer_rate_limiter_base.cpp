/** @file customer_rate_limiter_base.cpp  Admission decisions at the owner of a customer's slot. */
#include "admission/customer_rate_limiter_base.h"

#include <algorithm>

#include "fleet/fleet_base.h"

namespace Chestnuthook
{

void CustomerRateLimiter::update(const SlotSnapshot &snapshot, Instant now)
{
    this->slotOwnerships.update(snapshot, now);
}

TokenBucket &CustomerRateLimiter::bucketOf(const CustomerDeclaration &customer, SlotId slot, Instant now)
{
    const SlotOwnership &ownership = this->slotOwnerships.at(slot);
    auto found = this->buckets.find(customer.id);
    if (found == this->buckets.end() || found->second.epoch != ownership.epoch) {
        const Instant bucketStart = ownership.grantsStartAt.value_or(now);
        OwnedBucket owned{ownership.epoch, TokenBucket(bucketStart)};
        owned.bucket.declare(customer.ratePerSecond, customer.burst, bucketStart);
        if (ownership.initialLevel == InitialBucketLevel::Full) {
            owned.bucket.fill();
        }
        const auto level = this->transferredLevels.find(customer.id);
        if (level != this->transferredLevels.end() && level->second.first == ownership.epoch) {
            owned.bucket.restore(level->second.second, bucketStart);
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
    AdmissionDecision decision;
    const std::optional<Duration> timeUntilGrants = this->slotOwnerships.timeUntilGrants(slot, now);
    if (!timeUntilGrants) {
        decision.state = AdmissionState::NotOwner;
        return decision;
    }
    if (*timeUntilGrants > Duration(0) || leaseEnd <= now) {
        decision.state = AdmissionState::NotYet;
        decision.retryAfter = *timeUntilGrants;
        return decision;
    }
    TokenBucket &bucket = this->bucketOf(customer, slot, now);
    const Duration maxDelay = std::min(MaxAdmissionDelay, leaseEnd - now);
    while (decision.delays.size() < count) {
        const std::optional<Duration> delay = bucket.reserve(now, maxDelay);
        if (!delay) {
            const SlotOwnership &ownership = this->slotOwnerships.at(slot);
            decision.retryAfter = std::max(Duration(1000), bucket.waitFor(now) - maxDelay);
            decision.recovering =
                ownership.initialLevel == InitialBucketLevel::Empty && now < *ownership.grantsStartAt + RecoveryPeriod;
            break;
        }
        decision.delays.push_back(*delay);
    }
    return decision;
}

std::optional<std::vector<BucketLevel>> CustomerRateLimiter::releaseSlot(
    SlotId slot, Epoch epoch, const std::vector<CustomerDeclaration> &customersOfSlot, Instant now)
{
    const bool isCurrentEpoch = this->slotOwnerships.at(slot).epoch == epoch;
    if (!this->slotOwnerships.releaseSlot(slot, epoch, now)) {
        return std::nullopt;
    }
    std::vector<BucketLevel> levels;
    for (const CustomerDeclaration &customer : customersOfSlot) {
        const auto found = this->buckets.find(customer.id);
        if (found != this->buckets.end() && found->second.epoch == epoch) {
            levels.push_back({customer.id, found->second.bucket.levelAt(now)});
        } else if (isCurrentEpoch) {
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
        this->transferredLevels[level.customer] = {handover.epoch, level.level};
    }
}

} // namespace Chestnuthook
