/** @file slot_ownership_base.h  When this entry may start granting for a slot that it gained: never while the former
 * owner may still grant. */
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

/** Time after this entry saw a change of owner until the former owner no longer acts on a view from before the change.
 * Consists of the freshness bound of a view (3 s from the time when the read was sent) and a margin for clocks that run
 * at different rates. */
constexpr Duration FormerOwnerTimeout = std::chrono::milliseconds(3300);

/** Snapshot of the slots and leases in an entry's view of the fleet. */
struct SlotSnapshot
{
    EntryId self; ///< This entry.
    const std::vector<SlotRecord> *slots = nullptr; ///< By slot number.
    std::set<EntryId> leased; ///< Entries that hold a lease.
};

/** A request to a former owner to stop granting and to report the levels of its buckets. */
struct HandoverRequest
{
    SlotId slot; ///< Slot that this entry gained.
    Epoch epoch; ///< Epoch under which this entry owns the slot.
    EntryId former; ///< Former owner.
    Epoch formerEpoch; ///< Epoch of the former owner.
};

/** Level with which the buckets of a gained slot start. */
enum class InitialBucketLevel : std::uint8_t {
    Full, ///< The slot never had an owner before.
    Empty, ///< The former owner may have granted until now, or its lease expired without a handover.
    Adopted, ///< The former owner stopped granting and reported its levels.
};

/** Ownership of one slot, as this entry sees it. */
struct SlotOwnership
{
    EntryId owner; ///< Current owner.
    Epoch epoch; ///< Epoch of the current owner.
    Instant seenAt; ///< Time when this entry first saw `epoch`.
    Epoch previousEpoch; ///< Epoch that this entry saw before `epoch`; 0 for none.
    Instant previousEpochSeenAt; ///< Time when this entry first saw `previousEpoch`.
    EntryId former; ///< Owner before the current one, from the fleet state.
    Epoch formerEpoch; ///< Epoch of `former`, from the fleet state.
    std::optional<Instant> grantsStartAt; ///< Time from which this entry may grant; set while it owns the slot.
    InitialBucketLevel initialLevel = InitialBucketLevel::Empty; ///< Level at which the buckets start.
    Epoch releasedEpoch; ///< Highest epoch under which this entry stopped granting at the request of a successor.
    Epoch lastGrantingEpoch; ///< Last epoch in which this entry granted before it lost the slot; 0 for none.
    Instant lastGrantingEpochEndedAt; ///< Time when this entry saw that the slot had another epoch.
};

/** Ownership of all slots. Does no I/O and reads no clock. */
class SlotOwnershipTable
{
public:
    SlotOwnershipTable();

    /** Updates the table from a newer view of the fleet. @return slots that this entry gained. */
    std::vector<SlotId> update(const SlotSnapshot &snapshot, Instant now);

    /** Handovers that would let this entry start granting before FormerOwnerTimeout has passed. */
    [[nodiscard]] std::vector<HandoverRequest> pendingHandovers(const SlotSnapshot &snapshot, Instant now) const;

    /** Starts granting now, as the former owner has stopped. @return false if the slot has changed owner in the
     * meantime, or this entry grants already. */
    bool adopt(const HandoverRequest &handover, Instant now);

    /** Stops granting for @p slot under @p epoch permanently.
     * @return false if this entry was not granting under @p epoch, so that the successor has to wait. */
    bool releaseSlot(SlotId slot, Epoch epoch, Instant now);

    /** Time until this entry may grant for @p slot; nothing if it does not own the slot or has released it. */
    [[nodiscard]] std::optional<Duration> timeUntilGrants(SlotId slot, Instant now) const;

    [[nodiscard]] const SlotOwnership &at(SlotId slot) const
    {
        return this->slotOwnerships[slot.value];
    }

private:
    /** Sets when and at which level this entry starts granting for a slot that it gained. */
    void startOwnership(SlotOwnership &ownership, Instant now) const;

    std::vector<SlotOwnership> slotOwnerships; ///< By slot number.
};

} // namespace Chestnuthook
