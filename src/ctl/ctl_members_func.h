/** @file ctl_members_func.h  The commands that show and change the control members. */
#pragma once

#include <string>
#include <vector>

#include "ctl/ctl_command_func.h"

namespace Chestnuthook
{

/** `members list`, `members add NAME ip:port` and `members remove NAME`; @p words are those after `members`. */
CtlExit runMembersCommand(
    CtlSession &session, const std::vector<std::string> &words, const std::vector<std::string> &controls);

} // namespace Chestnuthook
