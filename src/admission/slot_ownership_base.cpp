/** @file slot_ownership_base.cpp  Rules of the change of a slot's owner. */
#include "admission/slot_ownership_base.h"

#include <algorithm>

namespace Chestnuthook
{

SlotOwnershipTable::SlotOwnershipTable()
    : slotOwnerships(SlotCount)
{
}

void SlotOwnershipTable::gain(SlotOwnership &ownership, Instant now) const
{
    const bool first = ownership.formerEpoch.value == 0;
    ownership.start = first ? InitialBucketLevel::Full : InitialBucketLevel::Empty;
    ownership.grantsStartAt = first ? now : now + FormerOwnerTimeout;
}

std::vector<SlotId> SlotOwnershipTable::update(const SlotFacts &facts, Instant now)
{
    std::vector<SlotId> gained;
    for (std::uint16_t number = 0; number < SlotCount && number < facts.slots->size(); ++number) {
        const SlotRecord &record = (*facts.slots)[number];
        SlotOwnership &ownership = this->slotOwnerships[number];
        if (record.epoch > ownership.epoch) {
            if (ownership.grantsStartAt && *ownership.grantsStartAt <= now) {
                ownership.stopped = ownership.epoch;
                ownership.stoppedAt = now;
            }
            ownership.earlierEpoch = ownership.epoch;
            ownership.earlierSeenAt = ownership.seenAt;
            ownership.owner = record.owner;
            ownership.epoch = record.epoch;
            ownership.seenAt = now;
            ownership.former = record.former;
            ownership.formerEpoch = record.formerEpoch;
            ownership.grantsStartAt.reset();
            if (record.owner == facts.self) {
                this->gain(ownership, now);
                gained.push_back(SlotId{number});
            }
        }
        // The leader ends a lease only after its holder's view has run out, so nothing is granted under it any more.
        // Owners before that one had lost the slot when this entry first saw the former epoch.
        const bool waits = ownership.grantsStartAt && *ownership.grantsStartAt > now;
        const bool formerGone = ownership.former.empty() || !facts.leased.contains(ownership.former);
        if (waits && formerGone && ownership.earlierEpoch == ownership.formerEpoch) {
            ownership.grantsStartAt =
                std::min(*ownership.grantsStartAt, std::max(now, ownership.earlierSeenAt + FormerOwnerTimeout));
        }
    }
    return gained;
}

std::vector<HandoverRequest> SlotOwnershipTable::wanted(const SlotFacts &facts, Instant now) const
{
    std::vector<HandoverRequest> found;
    for (std::uint16_t number = 0; number < SlotCount; ++number) {
        const SlotOwnership &ownership = this->slotOwnerships[number];
        const bool waits = ownership.grantsStartAt && *ownership.grantsStartAt > now;
        if (waits && ownership.former != facts.self && facts.leased.contains(ownership.former)) {
            found.push_back({SlotId{number}, ownership.epoch, ownership.former, ownership.formerEpoch});
        }
    }
    return found;
}

bool SlotOwnershipTable::adopt(const HandoverRequest &handover, Instant now)
{
    SlotOwnership &ownership = this->slotOwnerships[handover.slot.value];
    const bool waits = ownership.epoch == handover.epoch && ownership.grantsStartAt && *ownership.grantsStartAt > now;
    if (!waits) {
        return false;
    }
    ownership.start = InitialBucketLevel::Adopted;
    ownership.grantsStartAt = now;
    return true;
}

bool SlotOwnershipTable::giveUp(SlotId slot, Epoch epoch, Instant now)
{
    SlotOwnership &ownership = this->slotOwnerships[slot.value];
    if (ownership.epoch == epoch) {
        if (!ownership.grantsStartAt || *ownership.grantsStartAt > now) {
            return false;
        }
        ownership.givenUp = std::max(ownership.givenUp, epoch);
        return true;
    }
    return ownership.stopped == epoch;
}

std::optional<Duration> SlotOwnershipTable::timeUntilGrants(SlotId slot, Instant now) const
{
    const SlotOwnership &ownership = this->slotOwnerships[slot.value];
    if (!ownership.grantsStartAt || ownership.givenUp >= ownership.epoch) {
        return std::nullopt;
    }
    return std::max(Duration(0), *ownership.grantsStartAt - now);
}

} // namespace Chestnuthook
