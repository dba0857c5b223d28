/** @file bucket_owner_base.cpp  Granting at the owner of a tenant's slot. */
#include "admission/bucket_owner_base.h"

#include <algorithm>

#include "fleet/fleet_base.h"

namespace Chestnuthook
{

void BucketOwner::update(const SlotFacts &facts, Instant now)
{
    this->tenures.update(facts, now);
}

TokenBucket &BucketOwner::bucketOf(const TenantDeclaration &tenant, SlotId slot, Instant now)
{
    const SlotTenure &tenure = this->tenures.at(slot);
    auto found = this->buckets.find(tenant.id);
    if (found == this->buckets.end() || found->second.epoch != tenure.epoch) {
        const Instant begin = tenure.grantsFrom.value_or(now);
        OwnedBucket owned{tenure.epoch, TokenBucket(begin)};
        owned.bucket.declare(tenant.ratePerSecond, tenant.burst, begin);
        if (tenure.start == TenureStart::Full) {
            owned.bucket.fill();
        }
        const auto level = this->adopted.find(tenant.id);
        if (level != this->adopted.end() && level->second.first == tenure.epoch) {
            owned.bucket.adopt(level->second.second, begin);
        }
        found = this->buckets.insert_or_assign(tenant.id, owned).first;
    }
    found->second.bucket.declare(tenant.ratePerSecond, tenant.burst, now);
    return found->second.bucket;
}

AdmitVerdict BucketOwner::admit(const TenantDeclaration &tenant, std::uint32_t count, Instant now, Instant leaseEnd)
{
    const SlotId slot = slotOf(tenant.id.text);
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
    TokenBucket &bucket = this->bucketOf(tenant, slot, now);
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
    SlotId slot, Epoch epoch, const std::vector<TenantDeclaration> &tenantsOfSlot, Instant now)
{
    const bool present = this->tenures.at(slot).epoch == epoch;
    if (!this->tenures.giveUp(slot, epoch, now)) {
        return std::nullopt;
    }
    std::vector<BucketLevel> levels;
    for (const TenantDeclaration &tenant : tenantsOfSlot) {
        const auto found = this->buckets.find(tenant.id);
        if (found != this->buckets.end() && found->second.epoch == epoch) {
            levels.push_back({tenant.id, found->second.bucket.levelAt(now)});
        } else if (present) {
            levels.push_back({tenant.id, this->bucketOf(tenant, slot, now).levelAt(now)});
        } else {
            levels.push_back({tenant.id, 0});
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
        this->adopted[level.tenant] = {handover.epoch, level.level};
    }
}

} // namespace Chestnuthook
