/** @file timeline_type.h  Events of all processes as a time line holds them. */
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/hybrid_clock_type.h"

namespace Chestnuthook
{

/** One event of any process; its kind is kept as text, so that events of other versions are shown too. */
struct TimelineEvent
{
    HybridTime time; ///< Orders it after all that caused it.
    std::int64_t wallMs = 0; ///< By its machine's clock.
    std::string process; ///< Name and instance.
    std::string kind; ///< As in the table of events.
    std::string level; ///< debug, info, warning or error.
    std::vector<std::pair<std::string, std::string>> fields; ///< The particulars.

    /** The field of that name; empty where there is none. */
    [[nodiscard]] std::string field(const std::string &name) const;
};

using TimelineEvents = std::vector<TimelineEvent>;

/** What was read. */
struct Timeline
{
    TimelineEvents events; ///< In hybrid order once merged.
    bool partial = false; ///< A source couldn't be read.
    std::vector<std::string> notes; ///< Sources that couldn't be read or had lost events; for people.
};

/** What to follow; empty texts don't count, and all that are given must hold. */
struct TimelineFilter
{
    std::string program; ///< With its attempts and its sub-agents.
    std::string customer; ///< With its programs and their attempts.
    std::string endpoint; ///< With its attempts.
    std::string keyId; ///< With the programs that came with it.
};

/** Sorts by hybrid time, then process, and drops what two sources gave alike. */
void mergeEvents(TimelineEvents &events);
/** The events that @p filter follows, in their order. */
[[nodiscard]] TimelineEvents followEvents(const TimelineEvents &events, const TimelineFilter &filter);

/** One line an event. */
[[nodiscard]] std::string timelineText(const Timeline &timeline);
/** The customary trace event format: a process each, instants, and calls and programs as asynchronous spans. */
[[nodiscard]] std::string timelineTrace(const Timeline &timeline);
/** A self-contained page: a lane each process, zoom, filter, details. */
[[nodiscard]] std::string timelinePage(const Timeline &timeline);

} // namespace Chestnuthook
