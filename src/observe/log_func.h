/** @file log_func.h  One key=value line per event, to standard output and a file, and into the process's event ring. */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "core/hybrid_clock_type.h"
#include "observe/event_ring_base.h"
#include "table/event_table.h"

namespace Chestnuthook
{

/** One particular of an event; never a key, a body or a secret. */
struct Field
{
    std::string_view name; ///< A word of letters, digits and `_`.
    std::string value; ///< Any text; it is quoted and escaped as needed.
};

/** Starts logging to standard output, and to @p logFile where that isn't empty. Call once, before threads start.
 *  Until then events go into the ring only. Throws where the file can't be opened. */
void initObserve(std::string_view processName, std::string_view instance, const std::string &logFile);
/** Waits until all lines are written; runs at a normal exit by itself. Call before an abort or _exit. */
void flushObserve();
/** Lowest level that goes to the log; Info at first. The ring takes all. */
void setLogLevel(EventLevel level);

/** Records an event; lines are written by a thread of their own. Thread-safe. */
void logEvent(EventKind kind, std::initializer_list<Field> fields);
void logEvent(EventKind kind, const std::vector<Field> &fields);
/** The event ring of this process. */
[[nodiscard]] EventRing &processEvents();

/** The hybrid time to send with a message. Thread-safe. */
[[nodiscard]] HybridTime hybridNow();
/** Takes the hybrid time of a message that was received. Thread-safe. */
void hybridObserve(const HybridTime &remote);
/** Milliseconds since 1970 UTC; for records and people only, never to decide by. */
[[nodiscard]] std::int64_t wallMsNow();

/** @p event as its line, without a line end. */
[[nodiscard]] std::string formatEvent(const Event &event, int pid);
/** @p value, quoted and escaped where it is empty or holds blanks, quotes, `=`, `\` or control characters. */
[[nodiscard]] std::string logValue(std::string_view value);
/** ISO 8601 UTC with milliseconds, `2023-11-14T22:13:20.000Z`. */
[[nodiscard]] std::string isoTime(std::int64_t wallMs);

} // namespace Chestnuthook
