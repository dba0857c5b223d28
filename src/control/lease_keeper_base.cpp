/** @file lease_keeper_base.cpp  Expiry of entries' leases at the leader. */
#include "control/lease_keeper_base.h"

namespace Chestnuthook
{

void LeaseKeeper::beginTerm(const FleetState &state, Instant now)
{
    this->entries.clear();
    for (const auto &[id, row] : state.entries.all()) {
        if (!row.removed) {
            this->entries[id] = EntryContact{now, 0, 0, Epoch{}};
        }
    }
}

void LeaseKeeper::recordContact(const EntryId &entry, EntryContact said)
{
    this->entries[entry] = said;
}

std::vector<EntryRecord> LeaseKeeper::markExpired(const FleetState &state, Instant now)
{
    std::vector<EntryRecord> found;
    for (const auto &[id, row] : state.entries.all()) {
        if (row.removed) {
            this->entries.erase(id);
            continue;
        }
        const auto known = this->entries.try_emplace(id, EntryContact{now, 0, 0, Epoch{}}).first;
        const Epoch ending = known->second.ending;
        if (ending.value != 0 && ending != row.record.epoch) {
            known->second = EntryContact{now, 0, 0, Epoch{}}; // A new lease since.
        }
        if (now - known->second.heard > LeasePeriod + LeaseMargin) {
            known->second.ending = row.record.epoch;
            found.push_back(row.record);
        }
    }
    return found;
}

bool LeaseKeeper::isEnding(const EntryId &entry, Epoch epoch) const
{
    const EntryContact *heard = this->find(entry);
    return heard != nullptr && epoch.value != 0 && heard->ending == epoch;
}

const EntryContact *LeaseKeeper::find(const EntryId &entry) const
{
    const auto found = this->entries.find(entry);
    return found == this->entries.end() ? nullptr : &found->second;
}

} // namespace Chestnuthook
