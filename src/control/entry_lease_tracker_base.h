/** @file entry_lease_tracker_base.h  Tracks at the leader when each entry last made contact. Lease renewals are not
 * replicated, only grants and ends are. A new leader therefore extends every lease by a full LeaseDuration. */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/id_type.h"
#include "core/timer_type.h"
#include "fleet/fleet_base.h"

namespace Chestnuthook
{

/** Validity of a lease, by the entry's own clock, from when the entry sent the request that granted or renewed it. */
constexpr Duration LeaseDuration = std::chrono::milliseconds(3000);

/** Additional time that the leader waits before it ends a lease, as clocks run at different rates. */
constexpr Duration LeaseExpiryMargin = std::chrono::milliseconds(300);

/** What the leader knows about one entry beyond its replicated record. */
struct EntryContact
{
    Instant lastHeard; ///< Arrival time of its last request.
    std::uint64_t inForceRevision = 0; ///< Configuration revision that it reported to serve under.
    std::uint64_t haveIndex = 0; ///< Log index up to which it reported to have the fleet state.
    Epoch endingEpoch; ///< Epoch of the lease whose end is being proposed; 0 for none.
};

class EntryLeaseTracker
{
public:
    /** Extends all leases by a full LeaseDuration from @p now; called when this member becomes the leader. */
    void beginTerm(const FleetState &state, Instant now);

    /** Records a request of @p entry. */
    void recordContact(const EntryId &entry, EntryContact contact);

    /** Whether the lease of @p entry with @p epoch must not be renewed any more. Once `markExpired` has returned it,
     * its end is being committed, and a successor relies on nothing being granted under it. */
    [[nodiscard]] bool isEnding(const EntryId &entry, Epoch epoch) const;

    /** Marks the leases whose holders have stopped acting on them as ending. @return the entries that hold them. */
    [[nodiscard]] std::vector<EntryRecord> markExpired(const FleetState &state, Instant now);

    [[nodiscard]] const EntryContact *find(const EntryId &entry) const;

private:
    std::map<EntryId, EntryContact> contacts; ///< By entry; removed together with its replicated record.
};

} // namespace Chestnuthook
