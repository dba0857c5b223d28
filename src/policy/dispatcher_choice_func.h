/** @file dispatcher_choice_func.h  Choice of the entry that dispatches an endpoint, the same at all entries. */
#pragma once

#include <vector>

#include "core/hash_func.h"
#include "fleet/fleet_type.h"

namespace Chestnuthook
{

/** Returns the live entry with the highest rendezvous hash, preferring entries in the endpoint's data centre; empty if
 * no entry is live. An entry that joins or leaves changes only the dispatcher of the endpoints that it dispatches. */
[[nodiscard]] inline EntryId dispatcherOf(
    const EndpointId &endpoint, const DataCentreId &dataCentre, const std::vector<EntryRecord> &entries)
{
    EntryId best;
    bool bestIsLocal = false;
    std::uint64_t bestHash = 0;
    for (const EntryRecord &entry : entries) {
        if (entry.state != EntryState::Live) {
            continue;
        }
        const bool isLocal = entry.dataCentre == dataCentre;
        const std::uint64_t hash = hash64(endpoint.text, hash64(entry.id.text));
        if (best.empty() || std::pair{isLocal, hash} > std::pair{bestIsLocal, bestHash}) {
            best = entry.id;
            bestIsLocal = isLocal;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace Chestnuthook
