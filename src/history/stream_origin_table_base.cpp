/** @file stream_origin_table_base.cpp  Adds, finds and expires the origins of streams. */
#include "history/stream_origin_table_base.h"

namespace Chestnuthook
{

void StreamOriginTable::add(Instant now, const StreamKey &stream, const StreamOrigin &origin, Duration ttl)
{
    if (stream.request.empty() || stream.request.size() > MaxRequestIdBytes) {
        return;
    }
    while (!this->expiries.empty() && (this->expiries.begin()->first <= now || this->entries.size() >= MaxEntries)) {
        this->entries.erase(this->expiries.begin()->second);
        this->expiries.erase(this->expiries.begin());
    }
    const auto [entry, isNew] = this->entries.try_emplace(stream, Entry{origin, now + ttl});
    if (isNew) {
        this->expiries.emplace(entry->second.expiresAt, stream);
    } else if (entry->second.origin != origin) {
        entry->second.origin.version.clear();
    }
}

std::optional<StreamOrigin> StreamOriginTable::find(Instant now, const StreamKey &stream) const
{
    const auto entry = this->entries.find(stream);
    if (entry == this->entries.end() || entry->second.expiresAt <= now || entry->second.origin.version.empty()) {
        return std::nullopt;
    }
    return entry->second.origin;
}

} // namespace Chestnuthook
