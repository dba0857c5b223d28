/** @file loop_lag_base.cpp  Sums up the lateness of a timer. */
#include "deployment/loop_lag_base.h"

#include <algorithm>

namespace Chestnuthook
{

void LoopLag::record(Instant now)
{
    this->times.push_back(now);
    while (this->times.size() > 2 && now - this->times[1] >= Window) {
        this->times.pop_front();
    }
}

bool LoopLag::isOverloaded() const
{
    Duration late(0);
    for (std::size_t i = 1; i < this->times.size(); ++i) {
        late += std::clamp(this->times[i] - this->times[i - 1] - Interval, Duration(0), MaxCountedDelay);
    }
    return late > MaxLateTime;
}

} // namespace Chestnuthook
