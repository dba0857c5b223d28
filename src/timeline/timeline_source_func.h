/** @file timeline_source_func.h  Reads events from entries (HTTP), control members (RPC) and log files. */
#pragma once

#include <string>
#include <vector>

#include "core/error_type.h"
#include "timeline/timeline_type.h"

namespace Chestnuthook
{

/** Paging information of one page of events. */
struct EventPage
{
    std::uint64_t nextSince = 0; ///< Value of `since` that requests the next page.
    std::size_t count = 0; ///< Number of events in this page.
    bool lost = false; ///< Events that precede this page were dropped from the ring buffer.
};

/** Parses the JSON of one `/v1/events` response and appends its events to @p events. Errors: BadRequest if @p json
 *  is not a page of events. */
[[nodiscard]] Result<EventPage> parseEventPage(const std::string &json, TimelineEvents &events);
/** Parses one log line into @p event. Returns false if the line is not an event line. */
[[nodiscard]] bool parseLogLine(const std::string &line, TimelineEvent &event);

/** Appends all events of the entry process at @p address (ip:port) to @p timeline. On failure, adds a note and marks
 *  the timeline as partial. */
void readEntryEvents(const std::string &address, Timeline &timeline);
/** Appends all events of the control members at @p addresses (ip:port), with failures handled as for entries. */
void readControlEvents(const std::string &secret, const std::vector<std::string> &addresses, Timeline &timeline);
/** Appends the events of the log file at @p path, for processes that no longer run. */
void readLogFile(const std::string &path, Timeline &timeline);

} // namespace Chestnuthook
