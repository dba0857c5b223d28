/** @file call_urgency_func.cpp  Levels of urgency. */
#include "gateway/call_urgency_func.h"

#include <algorithm>
#include <array>

namespace Chestnuthook
{

namespace
{

constexpr unsigned FirstLevel = 1; ///< Of turns; 0 is left to what is not part of a program.
constexpr unsigned LateLevel = 8; ///< Of programs that have missed their time.
constexpr unsigned UnknownLevel = 4; ///< Of programs that name no time.

/** Upper bounds of the time left for one level after the other. */
constexpr auto LevelBounds = std::to_array<Milliseconds>(
    {Milliseconds(400), Milliseconds(800), Milliseconds(1500), Milliseconds(3000), Milliseconds(6000)});

} // namespace

unsigned callUrgency(const UrgencyFacts &facts)
{
    if (!facts.isTurn) {
        return static_cast<unsigned>(std::clamp(facts.priority, 0, static_cast<int>(LeastUrgent)));
    }
    if (!facts.programTimeLeft) {
        return UnknownLevel;
    }
    if (facts.programTimeLeft->count() <= 0) {
        return LateLevel;
    }
    const auto bound = std::lower_bound(LevelBounds.begin(), LevelBounds.end(), *facts.programTimeLeft);
    return FirstLevel + static_cast<unsigned>(bound - LevelBounds.begin());
}

} // namespace Chestnuthook
