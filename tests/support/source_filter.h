/** @file source_filter.h  Cuts a server off from clients by their addresses, as a network partition does. */
#pragma once

#include <string>
#include <vector>

namespace Chestnuthook::Testing
{

/** Makes the kernel drop all packets that arrive at socket @p descriptor from one of the IPv4 addresses @p sources. A
 * listening socket then doesn't answer new connections from there; a connected one acknowledges nothing. Replaces the
 * filter before it; without sources there is none. @throws std::system_error */
void dropPacketsFrom(int descriptor, const std::vector<std::string> &sources);

} // namespace Chestnuthook::Testing
