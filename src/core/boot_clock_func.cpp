/** @file boot_clock_func.cpp  Reads CLOCK_BOOTTIME and CLOCK_PROCESS_CPUTIME_ID. */
#include "core/boot_clock_func.h"

#include <ctime>

namespace Chestnuthook
{

namespace
{

Duration readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

Instant bootClockNow()
{
    return Instant(readClock(CLOCK_BOOTTIME).count());
}

Duration processorTimeNow()
{
    return readClock(CLOCK_PROCESS_CPUTIME_ID);
}

} // namespace Chestnuthook
