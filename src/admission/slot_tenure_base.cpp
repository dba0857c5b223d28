/** @file slot_tenure_base.cpp  Rules of the change of a slot's owner. */
#include "admission/slot_tenure_base.h"

#include <algorithm>

namespace Chestnuthook
{

SlotTenures::SlotTenures()
    : tenures(SlotCount)
{
}

void SlotTenures::gain(SlotTenure &tenure, Instant now) const
{
    const bool first = tenure.formerEpoch.value == 0;
    tenure.start = first ? TenureStart::Full : TenureStart::Empty;
    tenure.grantsFrom = first ? now : now + FormerOwnerWait;
}

std::vector<SlotId> SlotTenures::update(const SlotFacts &facts, Instant now)
{
    std::vector<SlotId> gained;
    for (std::uint16_t number = 0; number < SlotCount && number < facts.slots->size(); ++number) {
        const SlotRecord &record = (*facts.slots)[number];
        SlotTenure &tenure = this->tenures[number];
        if (record.epoch > tenure.epoch) {
            if (tenure.grantsFrom && *tenure.grantsFrom <= now) {
                tenure.stopped = tenure.epoch;
                tenure.stoppedAt = now;
            }
            tenure.earlierEpoch = tenure.epoch;
            tenure.earlierSeenAt = tenure.seenAt;
            tenure.owner = record.owner;
            tenure.epoch = record.epoch;
            tenure.seenAt = now;
            tenure.former = record.former;
            tenure.formerEpoch = record.formerEpoch;
            tenure.grantsFrom.reset();
            if (record.owner == facts.self) {
                this->gain(tenure, now);
                gained.push_back(SlotId{number});
            }
        }
        // The leader ends a lease only after its holder's view has run out, so nothing is granted under it any more.
        // Owners before that one had lost the slot when this entry first saw the former epoch.
        const bool waits = tenure.grantsFrom && *tenure.grantsFrom > now;
        const bool formerGone = tenure.former.empty() || !facts.leased.contains(tenure.former);
        if (waits && formerGone && tenure.earlierEpoch == tenure.formerEpoch) {
            tenure.grantsFrom = std::min(*tenure.grantsFrom, std::max(now, tenure.earlierSeenAt + FormerOwnerWait));
        }
    }
    return gained;
}

std::vector<WantedHandover> SlotTenures::wanted(const SlotFacts &facts, Instant now) const
{
    std::vector<WantedHandover> found;
    for (std::uint16_t number = 0; number < SlotCount; ++number) {
        const SlotTenure &tenure = this->tenures[number];
        const bool waits = tenure.grantsFrom && *tenure.grantsFrom > now;
        if (waits && tenure.former != facts.self && facts.leased.contains(tenure.former)) {
            found.push_back({SlotId{number}, tenure.epoch, tenure.former, tenure.formerEpoch});
        }
    }
    return found;
}

bool SlotTenures::adopt(const WantedHandover &handover, Instant now)
{
    SlotTenure &tenure = this->tenures[handover.slot.value];
    const bool waits = tenure.epoch == handover.epoch && tenure.grantsFrom && *tenure.grantsFrom > now;
    if (!waits) {
        return false;
    }
    tenure.start = TenureStart::Adopted;
    tenure.grantsFrom = now;
    return true;
}

bool SlotTenures::giveUp(SlotId slot, Epoch epoch, Instant now)
{
    SlotTenure &tenure = this->tenures[slot.value];
    if (tenure.epoch == epoch) {
        if (!tenure.grantsFrom || *tenure.grantsFrom > now) {
            return false;
        }
        tenure.givenUp = std::max(tenure.givenUp, epoch);
        return true;
    }
    return tenure.stopped == epoch;
}

std::optional<Duration> SlotTenures::startsIn(SlotId slot, Instant now) const
{
    const SlotTenure &tenure = this->tenures[slot.value];
    if (!tenure.grantsFrom || tenure.givenUp >= tenure.epoch) {
        return std::nullopt;
    }
    return std::max(Duration(0), *tenure.grantsFrom - now);
}

} // namespace Chestnuthook
