/** @file event_ring_base.h  Ring buffer of a process's latest events, read through /v1/events and by the timeline. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "core/hybrid_clock_type.h"
#include "table/event_table.h"

namespace Chestnuthook
{

/** One recorded event. */
struct Event
{
    std::uint64_t sequence = 0; ///< Number of the event in this process, from 1; set by EventRing::append().
    HybridTime hybridTime; ///< Hybrid logical time; orders events across communicating processes.
    std::int64_t wallMs = 0; ///< Milliseconds since 1970 UTC by the clock of this instance.
    std::string process; ///< Process name and instance, `name/instance`.
    EventKind kind = EventKind::ProcessStarted; ///< Kind of event; determines its level.
    std::vector<std::pair<std::string, std::string>> fields; ///< Names and values; never a key, body or secret.
};

/** Ring buffer of the latest events; appending to a full buffer drops the oldest event. Thread-safe. */
class EventRing
{
public:
    static constexpr std::size_t DefaultCapacity = 8192; ///< Number of events.

    explicit EventRing(std::size_t eventCapacity = DefaultCapacity);

    /** Appends @p event with the next sequence number and returns that number. */
    std::uint64_t append(Event event);
    /** Up to @p limit events with sequence numbers above @p sinceSequence, oldest first. */
    [[nodiscard]] std::vector<Event> since(std::uint64_t sinceSequence, std::size_t limit) const;
    /** `{"oldest":…,"next_since":…,"lost":bool,"events":[{"sequence":…,"hlc":…,"wall_ms":…,"process":…,"kind":…,
     *  "level":…,"fields":{…}}]}`; `lost` tells whether events after @p sinceSequence have been dropped. */
    [[nodiscard]] std::string toJson(std::uint64_t sinceSequence, std::size_t limit) const;

private:
    const std::size_t capacity; ///< Maximum number of events; at least 1.
    mutable std::mutex mutex; ///< Guards the members below; held only to copy or move events.
    std::deque<Event> events; ///< At most `capacity` events with consecutive sequence numbers.
    std::uint64_t lastSequence = 0; ///< Sequence number of the newest event; 0 before the first.
};

/** @p text as a quoted and escaped JSON string; each byte that is not valid UTF-8 becomes U+FFFD. */
[[nodiscard]] std::string jsonQuoted(std::string_view text);

} // namespace Chestnuthook
