/** @file dispatcher_choice_func.h  Which entry dispatches an endpoint, computed alike by all entries. */
#pragma once

#include <vector>

#include "core/hash_func.h"
#include "fleet/fleet_type.h"

namespace Chestnuthook
{

/** The live entry with the highest rendezvous hash, those in the endpoint's data centre first; empty where none is
 * live. An entry that comes or goes changes the dispatcher of its own endpoints only. */
[[nodiscard]] inline EntryId dispatcherOf(
    const EndpointId &endpoint, const DataCentreId &dataCentre, const std::vector<EntryRecord> &entries)
{
    EntryId best;
    bool bestNear = false;
    std::uint64_t bestHash = 0;
    for (const EntryRecord &entry : entries) {
        if (entry.state != EntryState::Live) {
            continue;
        }
        const bool near = entry.dataCentre == dataCentre;
        const std::uint64_t hash = hash64(endpoint.text, hash64(entry.id.text));
        if (best.empty() || std::pair{near, hash} > std::pair{bestNear, bestHash}) {
            best = entry.id;
            bestNear = near;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace Chestnuthook
