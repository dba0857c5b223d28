/** @file event_ring_base.h  Bounded ring of a process's latest events, for /v1/events and time lines. */
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

/** One event as kept. */
struct Event
{
    std::uint64_t sequence = 0; ///< Position in this process's events, from 1; the ring sets it.
    HybridTime hybridTime; ///< Orders events across processes that talk to each other.
    std::int64_t wallMs = 0; ///< Milliseconds since 1970 UTC, by this machine's clock.
    std::string process; ///< Name and instance of the process.
    EventKind kind = EventKind::ProcessStarted; ///< What happened.
    std::vector<std::pair<std::string, std::string>> fields; ///< The particulars; never a key, a body or a secret.
};

/** Keeps the latest events; older ones fall out. Thread-safe. */
class EventRing
{
public:
    static constexpr std::size_t DefaultCapacity = 8192; ///< Events.

    explicit EventRing(std::size_t eventCapacity = DefaultCapacity);

    /** Keeps @p event under the next sequence number, which is returned. */
    std::uint64_t append(Event event);
    /** Up to @p limit events after @p sinceSequence, oldest first. */
    [[nodiscard]] std::vector<Event> since(std::uint64_t sinceSequence, std::size_t limit) const;
    /** `{"oldest":…,"next_since":…,"lost":bool,"events":[{"sequence":…,"hlc":…,"wall_ms":…,"process":…,"kind":…,
     *  "level":…,"fields":{…}}]}`; `lost` says that events after @p sinceSequence have fallen out. */
    [[nodiscard]] std::string toJson(std::uint64_t sinceSequence, std::size_t limit) const;

private:
    const std::size_t capacity; ///< At least 1.
    mutable std::mutex mutex; ///< Guards all below; held for copies only.
    std::deque<Event> events; ///< At most `capacity`, with growing sequence numbers without gaps.
    std::uint64_t lastSequence = 0; ///< Of the newest event; 0 before the first.
};

/** @p text as a JSON string with its quotes; bytes that are no UTF-8 become U+FFFD. */
[[nodiscard]] std::string jsonQuoted(std::string_view text);

} // namespace Chestnuthook
