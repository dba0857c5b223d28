/** @file ctl_command_func.h  Parses and dispatches the verbs of chestnuthook-ctl. */
#pragma once

#include <string>

#include "ctl/ctl_session_base.h"
#include "ctl/ctl_type.h"

namespace Chestnuthook
{

/** Returns whether the verb in @p words works without a fleet and thus without the fleet secret. */
[[nodiscard]] bool isOfflineCommand(const Words &words);
/** Runs the command in @p words, or prints the usage if it is malformed. @return the exit code. */
[[nodiscard]] CtlExit runCtlCommand(CtlSession &session, const CtlOptions &options, const Words &words);
/** Returns the `--help` text that lists the verbs by group and the exit codes. */
[[nodiscard]] std::string ctlVerbsHelp();

} // namespace Chestnuthook
