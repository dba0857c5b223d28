/** @file request_priority_func.cpp  Maps the time left of a program to a priority. */
#include "gateway/request_priority_func.h"

#include <algorithm>
#include <array>

namespace Chestnuthook
{

namespace
{

constexpr unsigned FirstTurnPriority = 1; ///< Highest priority of turns; 0 is reserved for other requests.
constexpr unsigned LateProgramPriority = 8; ///< For programs that have missed their deadline.
constexpr unsigned NoDeadlinePriority = 4; ///< For programs without a deadline.

/** Upper limits of the time left for FirstTurnPriority and each following priority. */
constexpr auto TimeLeftBounds = std::to_array<Milliseconds>(
    {Milliseconds(400), Milliseconds(800), Milliseconds(1500), Milliseconds(3000), Milliseconds(6000)});

} // namespace

unsigned requestPriority(const PriorityInputs &inputs)
{
    if (!inputs.isProgramTurn) {
        return static_cast<unsigned>(std::clamp(inputs.configuredPriority, 0, static_cast<int>(LowestPriority)));
    }
    if (!inputs.programTimeLeft) {
        return NoDeadlinePriority;
    }
    if (inputs.programTimeLeft->count() <= 0) {
        return LateProgramPriority;
    }
    const auto bound = std::lower_bound(TimeLeftBounds.begin(), TimeLeftBounds.end(), *inputs.programTimeLeft);
    return FirstTurnPriority + static_cast<unsigned>(bound - TimeLeftBounds.begin());
}

} // namespace Chestnuthook
