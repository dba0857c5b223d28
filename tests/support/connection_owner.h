/** @file connection_owner.h  Finds the process that has opened a connection. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Chestnuthook::Testing
{

/** Index of the one of @p processes that has a connection from @p local to @p remote (ip:port); empty if none has. */
[[nodiscard]] std::optional<std::size_t> findConnectionOwner(
    const std::vector<pid_t> &processes, const std::string &local, const std::string &remote);

} // namespace Chestnuthook::Testing
