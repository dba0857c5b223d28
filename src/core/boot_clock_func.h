/** @file boot_clock_func.h  Clock of leases: unlike the monotonic clock of the timer service, it counts the time in
 * which the machine is suspended. Also the processor time of the process. */
#pragma once

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Time since the machine was started; not comparable with that of other machines. */
[[nodiscard]] Instant bootClockNow();
/** Processor time that this process has used. */
[[nodiscard]] Duration processorTimeNow();

} // namespace Chestnuthook
