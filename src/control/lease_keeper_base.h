/** @file lease_keeper_base.h  The leader's record of when each entry was last heard. Lease renewals are not
 * replicated; only grants and ends are. A new leader gives every lease a whole period from when it began to lead. */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/id_type.h"
#include "core/timer_type.h"
#include "fleet/fleet_base.h"

namespace Chestnuthook
{

/** How long an entry may act on a lease, from when it sent the request that renewed it, by its own clock. */
constexpr Duration LeasePeriod = std::chrono::milliseconds(3000);

/** Added by the leader before it ends a lease, for clocks that run at different rates. */
constexpr Duration LeaseMargin = std::chrono::milliseconds(300);

/** What the leader knows of one entry beyond its replicated record. */
struct EntryContact
{
    Instant heard; ///< When its last request arrived.
    std::uint64_t inForceRevision = 0; ///< Revision that it said to serve under.
    std::uint64_t haveIndex = 0; ///< Log index that it said to hold.
    Epoch ending; ///< Lease whose end was proposed; 0 for none.
};

class LeaseKeeper
{
public:
    /** Called when this member begins to lead: all leases get a whole period from @p now. */
    void beginTerm(const FleetState &state, Instant now);

    /** An entry's request arrived. */
    void recordContact(const EntryId &entry, EntryContact said);

    /** Whether @p entry's lease of @p epoch may not be renewed any more: once `markExpired` has named it, its end is
     * under way, and a successor relies on nothing being granted under it. */
    [[nodiscard]] bool isEnding(const EntryId &entry, Epoch epoch) const;

    /** Leases whose holders have stopped acting on them; they are ending from now on. */
    [[nodiscard]] std::vector<EntryRecord> markExpired(const FleetState &state, Instant now);

    [[nodiscard]] const EntryContact *find(const EntryId &entry) const;

private:
    std::map<EntryId, EntryContact> entries; ///< By entry; those without a lease are dropped.
};

} // namespace Chestnuthook
