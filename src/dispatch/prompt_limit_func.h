/** @file prompt_limit_func.h  Limit on the prompt tokens that are read at one endpoint at a time. */
#pragma once

#include <algorithm>

namespace Chestnuthook
{

/** Reading that takes this long delays the other turns at the endpoint by about a quarter of a usual turn. */
constexpr double LongReadMs = 40;
/** Reading that may be due at an endpoint when a long prompt is added. */
constexpr double MaxBacklogBeforeLongMs = 12;
/** Reading that may be due at an endpoint when any prompt is added; more would make its turns late. */
constexpr double MaxBacklogMs = 120;
/** Part of its program's time to spare for which a long prompt waits for an endpoint with little to read. */
constexpr double LongWaitPart = 0.25;
/** Longest time for which a long prompt waits for an endpoint with little to read. */
constexpr double MaxLongWaitMs = 400;

/** A prompt that is to be placed. */
struct PromptToPlace
{
    double readMs = 0; ///< Time that reading it takes.
    double waitedMs = 0; ///< Time that it has waited.
    double spareMs = 0; ///< Time that its program has to spare.
};

inline bool isLongRead(double readMs)
{
    return readMs >= LongReadMs;
}

/** Whether @p prompt may start at an endpoint where reading of @p backlogMs is due. A long prompt waits a quarter of
 * its spare time, at most MaxLongWaitMs, so that a steady flow of short ones can't hold it up for longer. */
inline bool mayStartReading(const PromptToPlace &prompt, double backlogMs)
{
    if (!isLongRead(prompt.readMs)) {
        return backlogMs <= MaxBacklogMs;
    }
    const double bound = std::clamp(prompt.spareMs * LongWaitPart, 0.0, MaxLongWaitMs);
    return backlogMs <= (prompt.waitedMs >= bound ? MaxBacklogMs : MaxBacklogBeforeLongMs);
}

} // namespace Chestnuthook
