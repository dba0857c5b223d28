/** @file ctl_verb_func.h  The verbs of chestnuthook-ctl, each in its own ctl_VERB_func.cpp. */
#pragma once

#include "ctl/ctl_session_base.h"
#include "ctl/ctl_type.h"

namespace Chestnuthook
{

/** Validates declaration files; needs no fleet. */
[[nodiscard]] CtlExit ctlValidate(const CtlOptions &options, const Words &files);
/** Lists the sections and fields of declarations; needs no fleet. */
[[nodiscard]] CtlExit ctlFields(const CtlOptions &options);
/** Lists the error codes with their remedies; needs no fleet. */
[[nodiscard]] CtlExit ctlErrors(const CtlOptions &options);
/** Prints the changes that apply would make. */
[[nodiscard]] CtlExit ctlDiff(CtlSession &session, const CtlOptions &options, const Words &files);
/** Replaces the declarations of the fleet with those of the files and waits until they are in force on all entries. */
[[nodiscard]] CtlExit ctlApply(CtlSession &session, const CtlOptions &options, const Words &files);
/** Issues a key for a customer and prints it. The key itself is stored nowhere. */
[[nodiscard]] CtlExit ctlIssueKey(CtlSession &session, const CtlOptions &options, const Words &words);
/** Withdraws a key permanently. */
[[nodiscard]] CtlExit ctlWithdrawKey(CtlSession &session, const CtlOptions &options, const Words &words);
[[nodiscard]] CtlExit ctlListKeys(CtlSession &session, const CtlOptions &options, const Words &words);
/** Prints members, entries with their leases and slots, revisions and freshness. */
[[nodiscard]] CtlExit ctlStatus(CtlSession &session, const CtlOptions &options, const Words &words);
/** Lists the programs of all customers or of a given one. */
[[nodiscard]] CtlExit ctlPrograms(CtlSession &session, const CtlOptions &options, const Words &words);
/** Drains an entry: it hands over its slots, finishes its calls and exits. */
[[nodiscard]] CtlExit ctlDrain(CtlSession &session, const CtlOptions &options, const Words &words);
/** Lists the control members as seen by a leader that is confirmed by a quorum. */
[[nodiscard]] CtlExit ctlListMembers(CtlSession &session, const CtlOptions &options, const Words &words);
/** Adds a control member and waits until it holds all committed log entries. */
[[nodiscard]] CtlExit ctlAddMember(CtlSession &session, const CtlOptions &options, const Words &words);
/** Removes a control member. */
[[nodiscard]] CtlExit ctlRemoveMember(CtlSession &session, const CtlOptions &options, const Words &words);

} // namespace Chestnuthook
