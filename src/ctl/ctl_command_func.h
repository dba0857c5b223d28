/** @file ctl_command_func.h  The table of verbs of chestnuthook-ctl and the choice among them. */
#pragma once

#include <string>

#include "ctl/ctl_session_base.h"
#include "ctl/ctl_type.h"

namespace Chestnuthook
{

/** Whether @p words name a verb that needs no fleet and so no secret. */
[[nodiscard]] bool isOfflineCommand(const Words &words);
/** Runs the command in @p words; a wrong one gets the usage of its verb. @return the exit code. */
[[nodiscard]] CtlExit runCtlCommand(CtlSession &session, const CtlOptions &options, const Words &words);
/** Verbs by group and the exit codes, for `--help`. */
[[nodiscard]] std::string ctlVerbsHelp();

} // namespace Chestnuthook
