/** @file fleet_event_func.h  Log events for changes by operators, written by the control member that committed them. */
#pragma once

#include <string_view>

namespace Chestnuthook
{

/** Logs the event of a committed fleet command; nothing if it was rejected. @p command and @p reply are flat messages.
 */
void logFleetCommand(std::string_view command, std::string_view reply);

} // namespace Chestnuthook
