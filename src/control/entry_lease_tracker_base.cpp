/** @file entry_lease_tracker_base.cpp  Expiry of the leases of entries at the leader. */
#include "control/entry_lease_tracker_base.h"

namespace Chestnuthook
{

void EntryLeaseTracker::beginTerm(const FleetState &state, Instant now)
{
    this->contacts.clear();
    for (const auto &[id, row] : state.entries.all()) {
        if (!row.removed) {
            this->contacts[id] = EntryContact{now, 0, 0, Epoch{}};
        }
    }
}

void EntryLeaseTracker::recordContact(const EntryId &entry, EntryContact contact)
{
    this->contacts[entry] = contact;
}

std::vector<EntryRecord> EntryLeaseTracker::markExpired(const FleetState &state, Instant now)
{
    std::vector<EntryRecord> found;
    for (const auto &[id, row] : state.entries.all()) {
        if (row.removed) {
            this->contacts.erase(id);
            continue;
        }
        const auto contact = this->contacts.try_emplace(id, EntryContact{now, 0, 0, Epoch{}}).first;
        const Epoch ending = contact->second.endingEpoch;
        if (ending.value != 0 && ending != row.record.epoch) {
            contact->second = EntryContact{now, 0, 0, Epoch{}}; // It was granted a new lease since.
        }
        if (now - contact->second.lastHeard > LeaseDuration + LeaseExpiryMargin) {
            contact->second.endingEpoch = row.record.epoch;
            found.push_back(row.record);
        }
    }
    return found;
}

bool EntryLeaseTracker::isEnding(const EntryId &entry, Epoch epoch) const
{
    const EntryContact *contact = this->find(entry);
    return contact != nullptr && epoch.value != 0 && contact->endingEpoch == epoch;
}

const EntryContact *EntryLeaseTracker::find(const EntryId &entry) const
{
    const auto found = this->contacts.find(entry);
    return found == this->contacts.end() ? nullptr : &found->second;
}

} // namespace Chestnuthook
