/** @file strike_tracker_base.cpp  Counts strikes per request fingerprint. */
#include "deployment/strike_tracker_base.h"

namespace Chestnuthook
{

bool StrikeTracker::record(Instant now, const EndpointStrike &strike)
{
    Entry &entry = this->entries[strike.fingerprint];
    entry.lastStrike = now;
    return entry.endpoints.insert(strike.endpoint).second && entry.endpoints.size() == QuarantineThreshold;
}

bool StrikeTracker::expire(Instant now)
{
    bool ended = false;
    std::erase_if(this->entries, [now, &ended](const auto &row) {
        const bool expired = now - row.second.lastStrike > StrikeTtl;
        ended = ended || (expired && row.second.endpoints.size() >= QuarantineThreshold);
        return expired;
    });
    return ended;
}

std::set<std::uint64_t> StrikeTracker::quarantined() const
{
    std::set<std::uint64_t> list;
    for (const auto &[fingerprint, entry] : this->entries) {
        if (entry.endpoints.size() >= QuarantineThreshold) {
            list.insert(fingerprint);
        }
    }
    return list;
}

} // namespace Chestnuthook
