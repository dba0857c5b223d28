/** @file fleet_event_func.h  Events of operators' changes, logged by the member that committed them. */
#pragma once

#include <string_view>

namespace Chestnuthook
{

/** Logs the event of the fleet command @p command whose flat reply is @p reply; nothing where it was refused. */
void logFleetCommand(std::string_view command, std::string_view reply);

} // namespace Chestnuthook
