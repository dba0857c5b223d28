/** @file slot_ownership_base.cpp  Change of a slot's owner. */
#include "admission/slot_ownership_base.h"

#include <algorithm>

namespace Chestnuthook
{

SlotOwnershipTable::SlotOwnershipTable()
    : slotOwnerships(SlotCount)
{
}

void SlotOwnershipTable::startOwnership(SlotOwnership &ownership, Instant now) const
{
    const bool first = ownership.formerEpoch.value == 0;
    ownership.initialLevel = first ? InitialBucketLevel::Full : InitialBucketLevel::Empty;
    ownership.grantsStartAt = first ? now : now + FormerOwnerTimeout;
}

std::vector<SlotId> SlotOwnershipTable::update(const SlotSnapshot &snapshot, Instant now)
{
    std::vector<SlotId> gained;
    for (std::uint16_t number = 0; number < SlotCount && number < snapshot.slots->size(); ++number) {
        const SlotRecord &record = (*snapshot.slots)[number];
        SlotOwnership &ownership = this->slotOwnerships[number];
        if (record.epoch > ownership.epoch) {
            if (ownership.grantsStartAt && *ownership.grantsStartAt <= now) {
                ownership.lastGrantingEpoch = ownership.epoch;
                ownership.lastGrantingEpochEndedAt = now;
            }
            ownership.previousEpoch = ownership.epoch;
            ownership.previousEpochSeenAt = ownership.seenAt;
            ownership.owner = record.owner;
            ownership.epoch = record.epoch;
            ownership.seenAt = now;
            ownership.former = record.former;
            ownership.formerEpoch = record.formerEpoch;
            ownership.grantsStartAt.reset();
            if (record.owner == snapshot.self) {
                this->startOwnership(ownership, now);
                gained.push_back(SlotId{number});
            }
        }
        // The leader ends a lease only after the view of its holder has expired, so the former owner no longer grants.
        // Earlier owners had lost the slot by the time when this entry first saw the former epoch.
        const bool isWaiting = ownership.grantsStartAt && *ownership.grantsStartAt > now;
        const bool formerExpired = ownership.former.empty() || !snapshot.leased.contains(ownership.former);
        if (isWaiting && formerExpired && ownership.previousEpoch == ownership.formerEpoch) {
            ownership.grantsStartAt =
                std::min(*ownership.grantsStartAt, std::max(now, ownership.previousEpochSeenAt + FormerOwnerTimeout));
        }
    }
    return gained;
}

std::vector<HandoverRequest> SlotOwnershipTable::pendingHandovers(const SlotSnapshot &snapshot, Instant now) const
{
    std::vector<HandoverRequest> requests;
    for (std::uint16_t number = 0; number < SlotCount; ++number) {
        const SlotOwnership &ownership = this->slotOwnerships[number];
        const bool isWaiting = ownership.grantsStartAt && *ownership.grantsStartAt > now;
        if (isWaiting && ownership.former != snapshot.self && snapshot.leased.contains(ownership.former)) {
            requests.push_back({SlotId{number}, ownership.epoch, ownership.former, ownership.formerEpoch});
        }
    }
    return requests;
}

bool SlotOwnershipTable::adopt(const HandoverRequest &handover, Instant now)
{
    SlotOwnership &ownership = this->slotOwnerships[handover.slot.value];
    const bool isWaiting =
        ownership.epoch == handover.epoch && ownership.grantsStartAt && *ownership.grantsStartAt > now;
    if (!isWaiting) {
        return false;
    }
    ownership.initialLevel = InitialBucketLevel::Adopted;
    ownership.grantsStartAt = now;
    return true;
}

bool SlotOwnershipTable::releaseSlot(SlotId slot, Epoch epoch, Instant now)
{
    SlotOwnership &ownership = this->slotOwnerships[slot.value];
    if (ownership.epoch == epoch) {
        if (!ownership.grantsStartAt || *ownership.grantsStartAt > now) {
            return false;
        }
        ownership.releasedEpoch = std::max(ownership.releasedEpoch, epoch);
        return true;
    }
    return ownership.lastGrantingEpoch == epoch;
}

std::optional<Duration> SlotOwnershipTable::timeUntilGrants(SlotId slot, Instant now) const
{
    const SlotOwnership &ownership = this->slotOwnerships[slot.value];
    if (!ownership.grantsStartAt || ownership.releasedEpoch >= ownership.epoch) {
        return std::nullopt;
    }
    return std::max(Duration(0), *ownership.grantsStartAt - now);
}

} // namespace Chestnuthook
