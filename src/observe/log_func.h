/** @file log_func.h  Event log: key=value lines on standard output and in a file, and a ring buffer of events. */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "core/hybrid_clock_type.h"
#include "core/timer_type.h"
#include "observe/event_ring_base.h"
#include "table/event_table.h"

namespace Chestnuthook
{

/** One field of an event. Must not contain a key, a request or response body, or a secret. */
struct Field
{
    std::string_view name; ///< Consists of letters, digits and `_`.
    std::string value; ///< Any text; quoted and escaped as needed in the output.
};

/** Starts logging to standard output and, if @p logFile is not empty, to that file. Call once, before threads start.
 *  Until then, events go only into the ring buffer. Throws std::runtime_error if the file cannot be opened. */
void initObserve(std::string_view processName, std::string_view instance, const std::string &logFile);
/** Blocks until all queued lines are written. Runs automatically at normal exit; call it before abort() or _exit(). */
void flushObserve();
/** Sets the lowest level that is logged; initially Info. The ring buffer stores events of all levels. */
void setLogLevel(EventLevel level);

/** Records an event. Log lines are written by a background thread. Thread-safe. */
void logEvent(EventKind kind, std::initializer_list<Field> fields);
void logEvent(EventKind kind, const std::vector<Field> &fields);
/** Blocking operations and waits of at least this duration are logged. */
constexpr Duration SlowOperationThreshold = std::chrono::milliseconds(200);
/** Records a slow_operation event for @p what if @p duration reaches SlowOperationThreshold. */
void logIfSlow(std::string_view what, Duration duration);
/** The event ring buffer of this process. */
[[nodiscard]] EventRing &processEvents();

/** Advances the hybrid clock and returns its time, for an event or a message to be sent. Thread-safe. */
[[nodiscard]] HybridTime hybridNow();
/** Advances the hybrid clock past @p remote, the time of a received message. Thread-safe. */
void hybridObserve(const HybridTime &remote);
/** Wall clock in milliseconds since 1970 UTC; only for records and display, never as a basis for decisions. */
[[nodiscard]] std::int64_t wallMsNow();

/** Longer values of fields are cut in log lines and in the ring of events. Clients choose some of them, such as ids. */
constexpr std::size_t MaxLoggedBytes = 256;

/** @p value, or its first MaxLoggedBytes and a note of its size if it is longer. */
[[nodiscard]] std::string loggedText(std::string_view value);
/** Formats @p event as a log line without a line break. */
[[nodiscard]] std::string formatEvent(const Event &event, int pid);
/** @p value, quoted and escaped if it is empty or contains spaces, quotes, `=`, `\` or control characters. */
[[nodiscard]] std::string logValue(std::string_view value);
/** Formats @p wallMs as ISO 8601 UTC with milliseconds, `2023-11-14T22:13:20.000Z`. */
[[nodiscard]] std::string isoTime(std::int64_t wallMs);

} // namespace Chestnuthook
