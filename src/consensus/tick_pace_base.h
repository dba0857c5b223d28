/** @file tick_pace_base.h  How many ticks a member's core gets when its timer runs. No I/O, no clock. */
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** A member whose event loop is late skips ticks: after a pause it must not take the others for dead. But a leader that
 * counts its heartbeat interval in fewer ticks than have passed sends heartbeats later than its event loop runs. */
class TickPace
{
public:
    /** @p interval is the time of a tick, @p heartbeatTicks the heartbeat interval in ticks. */
    TickPace(Duration interval, unsigned heartbeatTicks)
        : interval(interval)
        , heartbeatTicks(heartbeatTicks)
    {
    }

    /** Ticks for a run at @p now: for a leader as many as have passed, but no more than one heartbeat needs. */
    [[nodiscard]] unsigned ticksAt(Instant now, bool isLeader)
    {
        const std::int64_t passed = (now - this->lastRun) / this->interval;
        this->lastRun = now;
        return isLeader ? static_cast<unsigned>(std::clamp<std::int64_t>(passed, 1, this->heartbeatTicks)) : 1;
    }

private:
    const Duration interval; ///< Time of a tick.
    const unsigned heartbeatTicks; ///< Heartbeat interval.
    Instant lastRun{0}; ///< When the timer last ran.
};

} // namespace Chestnuthook
