/** @file timeline_type.h  Timeline of the events of all processes, its filter and its output formats. */
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/hybrid_clock_type.h"

namespace Chestnuthook
{

/** One event of any process. The kind is kept as text so that events of other software versions can be shown too. */
struct TimelineEvent
{
    HybridTime time; ///< Hybrid logical time; later than that of every event that caused this one.
    std::int64_t wallMs = 0; ///< Milliseconds since 1970 UTC by its instance's clock; for log lines, that of `time`.
    std::string process; ///< Process name and instance, `name/instance`.
    std::string kind; ///< Event name as listed in the event table.
    std::string level; ///< debug, info, warning or error.
    std::vector<std::pair<std::string, std::string>> fields; ///< Names and values of the fields, in source order.

    /** Value of the field called @p name; empty if there is none. */
    [[nodiscard]] std::string field(const std::string &name) const;
};

using TimelineEvents = std::vector<TimelineEvent>;

/** Events read from all sources. */
struct Timeline
{
    TimelineEvents events; ///< In order of hybrid time after mergeEvents().
    bool partial = false; ///< An error kept at least one source from being read completely.
    std::vector<std::string> notes; ///< User messages about sources with failed reads or missing events.
};

/** Selects related events. Empty criteria are ignored; an event must match all others. */
struct TimelineFilter
{
    std::string program; ///< Program id; includes its attempts and its sub-agents.
    std::string customer; ///< Customer name; includes its programs and their attempts.
    std::string endpoint; ///< Endpoint address, ip:port; includes its attempts.
    std::string keyId; ///< Key id; includes the programs that were created with the key.
};

/** Sorts by hybrid time, then process, and removes duplicates of events that were read from two sources. */
void mergeEvents(TimelineEvents &events);
/** The events that @p filter selects, in their original order. */
[[nodiscard]] TimelineEvents filterEvents(const TimelineEvents &events, const TimelineFilter &filter);

/** Text with one line for each event and one `#` line for each note. */
[[nodiscard]] std::string timelineText(const Timeline &timeline);
/** JSON in the Trace Event Format: one trace process for each process, calls and programs as asynchronous spans, all
 *  other events as instants. */
[[nodiscard]] std::string timelineTrace(const Timeline &timeline);
/** Self-contained HTML page with one lane for each process, zoom, a text filter and event details. */
[[nodiscard]] std::string timelinePage(const Timeline &timeline);

} // namespace Chestnuthook
