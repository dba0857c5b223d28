/** @file call_urgency_func.h  The order in which endpoints take what waits for them: programs that can still end in
 * time before those that can't, and among them those that are nearest to their end. Pure.
 *
 * It answers bursts of a few times the endpoints' capacity. What a program is still to do is not known; but its time is
 * a multiple of its work, so little time left means that little work is left where it is on schedule. Finishing those
 * first leaves the fewest programs late. */
#pragma once

#include <optional>

#include "deployment/configuration_type.h"

namespace Chestnuthook
{

/** What an order is chosen by. */
struct UrgencyFacts
{
    int priority = 0; ///< Of the customer or the route; 0 is the most urgent.
    bool isTurn = false; ///< A turn of a program, at a model.
    std::optional<Milliseconds> programTimeLeft; ///< Below 0 where the program is late.
};

constexpr unsigned LeastUrgent = 9; ///< What endpoints take last; 0 comes first.

/** From 0, the most urgent, to LeastUrgent. */
[[nodiscard]] unsigned callUrgency(const UrgencyFacts &facts);

} // namespace Chestnuthook
