/** @file loop_lag_base.h  Tells whether an event loop can't keep up, from how late a periodic timer fires. No clock. */
#pragma once

#include <deque>

#include "core/timer_type.h"

namespace Chestnuthook
{

class LoopLag
{
public:
    /** Interval at which `record` should be called. */
    static constexpr Duration Interval = std::chrono::milliseconds(50);

    /** Records that the timer fires at @p now. */
    void record(Instant now);
    /** Whether the timer was late for more than MaxLateTime in the last Window. */
    [[nodiscard]] bool isOverloaded() const;

private:
    static constexpr Duration Window = std::chrono::milliseconds(1200);
    static constexpr Duration MaxLateTime = std::chrono::milliseconds(700);
    /** Of a single delay only this much counts, since a process that stood still once isn't overloaded. */
    static constexpr Duration MaxCountedDelay = std::chrono::milliseconds(500);

    std::deque<Instant> times; ///< When the timer fired, oldest first: those within Window, and the one before.
};

} // namespace Chestnuthook
