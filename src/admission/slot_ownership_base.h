/** @file slot_ownership_base.h  From when this entry may grant for a slot that it gained: never while the former owner
 * may still grant. */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/id_type.h"
#include "core/timer_type.h"
#include "fleet/fleet_type.h"

namespace Chestnuthook
{

/** How long after a move was seen its former owner may still hold a view from before it: its freshness bound (3 s from
 * when it sent the read), and a margin for clocks that run at different rates. */
constexpr Duration FormerOwnerTimeout = std::chrono::milliseconds(3300);

/** What an entry knows of the fleet, as far as slots go. */
struct SlotFacts
{
    EntryId self; ///< This entry.
    const std::vector<SlotRecord> *slots = nullptr; ///< By slot number.
    std::set<EntryId> leased; ///< Entries with a lease.
};

/** A former owner that may be asked to stop and to tell what its buckets hold. */
struct HandoverRequest
{
    SlotId slot; ///< Gained by this entry.
    Epoch epoch; ///< Under which this entry owns it.
    EntryId former; ///< Who owned it before.
    Epoch formerEpoch; ///< Under which it did.
};

enum class InitialBucketLevel : std::uint8_t {
    Full, ///< The slot never had an owner before.
    Empty, ///< The former owner's lease ran out, or it may have granted until now.
    Adopted, ///< The former owner stopped and told what was left.
};

/** One slot as this entry sees it. */
struct SlotOwnership
{
    EntryId owner; ///< Present owner.
    Epoch epoch; ///< Of the present owner.
    Instant seenAt; ///< When this entry first saw `epoch`.
    Epoch earlierEpoch; ///< The epoch that this entry saw before; 0 for none.
    Instant earlierSeenAt; ///< When it first saw that one.
    EntryId former; ///< Owner before the present one, by the fleet state.
    Epoch formerEpoch; ///< Its epoch, by the fleet state.
    std::optional<Instant> grantsStartAt; ///< Set while this entry owns the slot.
    InitialBucketLevel start = InitialBucketLevel::Empty; ///< What the buckets begin with.
    Epoch givenUp; ///< Highest epoch under which this entry has stopped for a successor.
    Epoch stopped; ///< Epoch under which this entry last granted, after the slot moved on; 0 for none.
    Instant stoppedAt; ///< When it saw that the slot had moved on.
};

/** All slots; pure. */
class SlotOwnershipTable
{
public:
    SlotOwnershipTable();

    /** Takes in a newer view. @return slots that this entry has just gained. */
    std::vector<SlotId> update(const SlotFacts &facts, Instant now);

    /** Handovers that would let this entry begin sooner. */
    [[nodiscard]] std::vector<HandoverRequest> wanted(const SlotFacts &facts, Instant now) const;

    /** The former owner has stopped: this entry begins now. @return false where the slot has moved on meanwhile. */
    bool adopt(const HandoverRequest &handover, Instant now);

    /** Stops granting for @p slot under @p epoch for good.
     * @return false where this entry did not grant under it, so that the successor has to wait. */
    bool giveUp(SlotId slot, Epoch epoch, Instant now);

    /** How long until this entry grants for @p slot; nothing where it doesn't own it. */
    [[nodiscard]] std::optional<Duration> timeUntilGrants(SlotId slot, Instant now) const;

    [[nodiscard]] const SlotOwnership &at(SlotId slot) const
    {
        return this->slotOwnerships[slot.value];
    }

private:
    void gain(SlotOwnership &ownership, Instant now) const;

    std::vector<SlotOwnership> slotOwnerships; ///< By slot number.
};

} // namespace Chestnuthook
