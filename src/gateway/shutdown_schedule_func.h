/** @file shutdown_schedule_func.h  When a gateway that is being stopped closes its port and when it ends. */
#pragma once

#include <cstddef>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Times are relative to SIGTERM. */
struct ShutdownSchedule
{
    Duration endIdleAfter{0}; ///< From then on the process ends as soon as no request is active.
    Duration acceptFor{0}; ///< New requests are accepted until then; never before `endIdleAfter`.
    Duration endAfter{0}; ///< The process ends by then, even if requests are active; never before `acceptFor`.
    Duration answerBy{0}; ///< By then accepted requests must have been answered; a little before `endAfter`.

    [[nodiscard]] bool isDone(Duration elapsed, std::size_t activeRequests) const
    {
        return elapsed >= this->endAfter || (elapsed >= this->endIdleAfter && activeRequests == 0);
    }
};

/** @param grace time from SIGTERM to SIGKILL.
 * @param longestRequest longest time that an accepted request may take until its response. */
[[nodiscard]] ShutdownSchedule shutdownSchedule(Duration grace, Duration longestRequest);

} // namespace Chestnuthook
