/** @file ctl_command_func.h  The commands of chestnuthook-ctl. */
#pragma once

#include <string>
#include <vector>

#include "ctl/ctl_session_base.h"

namespace Chestnuthook
{

/** Exit codes, which scripts may rely on. */
enum class CtlExit : int {
    Done = 0, ///< All is well.
    Failed = 1, ///< The fleet refused or can't be reached.
    Usage = 2, ///< The command line is wrong.
    BadDeclaration = 3, ///< A declaration file is wrong.
    Lost = 4, ///< Another operator's change came first.
    NotInForce = 5, ///< Accepted, but not yet in force on all entries.
};

/** Runs the command in @p words. @return the exit code. */
[[nodiscard]] CtlExit runCtlCommand(CtlSession &session, const std::vector<std::string> &words);

} // namespace Chestnuthook
