/** @file strike_tracker_base.cpp  Strikes of requests. */
#include "deployment/strike_tracker_base.h"

namespace Chestnuthook
{

bool StrikeTracker::note(Instant now, const EndpointStrike &strike)
{
    Entry &entry = this->entries[strike.fingerprint];
    entry.last = now;
    return entry.endpoints.insert(strike.endpoint).second && entry.endpoints.size() == MostEndpoints;
}

bool StrikeTracker::expire(Instant now)
{
    bool ended = false;
    std::erase_if(this->entries, [now, &ended](const auto &row) {
        const bool old = now - row.second.last > StrikeLife;
        ended = ended || (old && row.second.endpoints.size() >= MostEndpoints);
        return old;
    });
    return ended;
}

std::set<std::uint64_t> StrikeTracker::refused() const
{
    std::set<std::uint64_t> list;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (entry.endpoints.size() >= MostEndpoints) {
            list.insert(fingerprint);
        }
    }
    return list;
}

} // namespace Chestnuthook
