/** @file bucket_owner_base.cpp  Granting at the owner of a customer's slot. */
#include "admission/bucket_owner_base.h"

#include <algorithm>

#include "fleet/fleet_base.h"

namespace Chestnuthook
{

void BucketOwner::update(const SlotFacts &facts, Instant now)
{
    this->tenures.update(facts, now);
}

TokenBucket &BucketOwner::bucketOf(const CustomerDeclaration &customer, SlotId slot, Instant now)
{
    const SlotTenure &tenure = this->tenures.at(slot);
    auto found = this->buckets.find(customer.id);
    if (found == this->buckets.end() || found->second.epoch != tenure.epoch) {
        const Instant begin = tenure.grantsFrom.value_or(now);
        OwnedBucket owned{tenure.epoch, TokenBucket(begin)};
        owned.bucket.declare(customer.ratePerSecond, customer.burst, begin);
        if (tenure.start == TenureStart::Full) {
            owned.bucket.fill();
        }
        const auto level = this->adopted.find(customer.id);
        if (level != this->adopted.end() && level->second.first == tenure.epoch) {
            owned.bucket.adopt(level->second.second, begin);
        }
        found = this->buckets.insert_or_assign(customer.id, owned).first;
    }
    found->second.bucket.declare(customer.ratePerSecond, customer.burst, now);
    return found->second.bucket;
}

AdmitVerdict BucketOwner::admit(const CustomerDeclaration &customer, std::uint32_t count, Instant now, Instant leaseEnd)
{
    const SlotId slot = slotOf(customer.id.text);
    AdmitVerdict verdict;
    const std::optional<Duration> startsIn = this->tenures.startsIn(slot, now);
    if (!startsIn) {
        verdict.state = AdmitState::NotOwner;
        return verdict;
    }
    if (*startsIn > Duration(0) || leaseEnd <= now) {
        verdict.state = AdmitState::NotYet;
        verdict.retryAfter = *startsIn;
        return verdict;
    }
    TokenBucket &bucket = this->bucketOf(customer, slot, now);
    const Duration maxDelay = std::min(RateHoldBound, leaseEnd - now);
    while (verdict.delays.size() < count) {
        const std::optional<Duration> delay = bucket.reserve(now, maxDelay);
        if (!delay) {
            const SlotTenure &tenure = this->tenures.at(slot);
            verdict.retryAfter = std::max(Duration(1000), bucket.waitFor(now) - maxDelay);
            verdict.recovering = tenure.start == TenureStart::Empty && now < *tenure.grantsFrom + RecoveryPeriod;
            break;
        }
        verdict.delays.push_back(*delay);
    }
    return verdict;
}

std::optional<std::vector<BucketLevel>> BucketOwner::giveUp(
    SlotId slot, Epoch epoch, const std::vector<CustomerDeclaration> &customersOfSlot, Instant now)
{
    const bool present = this->tenures.at(slot).epoch == epoch;
    if (!this->tenures.giveUp(slot, epoch, now)) {
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

void BucketOwner::adopt(const WantedHandover &handover, const std::vector<BucketLevel> &levels, Instant now)
{
    if (!this->tenures.adopt(handover, now)) {
        return;
    }
    for (const BucketLevel &level : levels) {
        this->adopted[level.customer] = {handover.epoch, level.level};
    }
}

} // namespace Chestnuthook
