/** @file request_priority_func.h  Priority with which endpoints take requests from their queues. Programs that can
 * still meet their deadline come before those that have missed it, and among them those with the nearest deadline come
 * first. Pure functions.
 *
 * The order matters during bursts of a few times the capacity of the endpoints. The remaining work of a program is not
 * known. But its time limit is a multiple of its total work, so a program that is on schedule and has little time left
 * also has little work left. Finishing such programs first leaves the fewest programs late. */
#pragma once

#include <optional>

#include "deployment/configuration_type.h"

namespace Chestnuthook
{

/** Inputs of the priority calculation. */
struct PriorityInputs
{
    int configuredPriority = 0; ///< Priority of the customer or the route; 0 is the highest.
    bool isProgramTurn = false; ///< The request is a turn at a model; its priority then depends on the time left.
    std::optional<Milliseconds> programTimeLeft; ///< Negative if the program is late; empty if it has no deadline.
};

constexpr unsigned LowestPriority = 9; ///< Endpoints take these requests last.

/** @return the priority from 0, the highest, to LowestPriority. */
[[nodiscard]] unsigned requestPriority(const PriorityInputs &inputs);

} // namespace Chestnuthook
