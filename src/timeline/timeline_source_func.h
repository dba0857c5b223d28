/** @file timeline_source_func.h  Reads events from entries (HTTP), control members (RPC) and log files. */
#pragma once

#include <string>
#include <vector>

#include "core/error_type.h"
#include "timeline/timeline_type.h"

namespace Chestnuthook
{

/** Where a page of events ends. */
struct EventPage
{
    std::uint64_t nextSince = 0; ///< For the next page.
    std::size_t count = 0; ///< Events in this one.
    bool lost = false; ///< Events before it have fallen out of the ring.
};

/** Adds the events of one `/v1/events` answer. Errors: BadRequest where it is none. */
[[nodiscard]] Result<EventPage> parseEventPage(const std::string &json, TimelineEvents &events);
/** Reads one log line; false where it is none of ours. */
[[nodiscard]] bool parseLogLine(const std::string &line, TimelineEvent &event);

/** Adds all events of the entry at @p address (ip:port); a fault becomes a note. */
void readEntryEvents(const std::string &address, Timeline &timeline);
/** Adds all events of the control members. */
void readMemberEvents(const std::string &secret, const std::vector<std::string> &addresses, Timeline &timeline);
/** Adds the events of a log file, for processes that have died. */
void readLogFile(const std::string &path, Timeline &timeline);

} // namespace Chestnuthook
