/** @file ctl_verb_func.h  The verbs of chestnuthook-ctl, each in its own ctl_VERB_func.cpp. */
#pragma once

#include "ctl/ctl_session_base.h"
#include "ctl/ctl_type.h"

namespace Chestnuthook
{

/** Checks the files; needs no fleet. */
[[nodiscard]] CtlExit ctlValidate(const CtlOptions &options, const Words &files);
/** Sections and fields of declarations; needs no fleet. */
[[nodiscard]] CtlExit ctlFields(const CtlOptions &options);
/** Codes of errors with their remedies; needs no fleet. */
[[nodiscard]] CtlExit ctlErrors(const CtlOptions &options);
/** Shows what apply would change. */
[[nodiscard]] CtlExit ctlDiff(CtlSession &session, const CtlOptions &options, const Words &files);
/** Makes the fleet's declarations those of the files and waits until they are in force on all entries. */
[[nodiscard]] CtlExit ctlApply(CtlSession &session, const CtlOptions &options, const Words &files);
/** Makes a key for a customer; it is printed here and kept nowhere. */
[[nodiscard]] CtlExit ctlIssueKey(CtlSession &session, const CtlOptions &options, const Words &words);
/** Withdraws a key for good. */
[[nodiscard]] CtlExit ctlWithdrawKey(CtlSession &session, const CtlOptions &options, const Words &words);
[[nodiscard]] CtlExit ctlListKeys(CtlSession &session, const CtlOptions &options, const Words &words);
/** Members, entries with leases and slots, revisions and freshness. */
[[nodiscard]] CtlExit ctlStatus(CtlSession &session, const CtlOptions &options, const Words &words);
/** Lists programs, of one customer where it is given. */
[[nodiscard]] CtlExit ctlPrograms(CtlSession &session, const CtlOptions &options, const Words &words);
/** Has an entry hand over its slots, finish its calls and end. */
[[nodiscard]] CtlExit ctlDrain(CtlSession &session, const CtlOptions &options, const Words &words);
/** The control members, as a leader that a quorum confirms sees them. */
[[nodiscard]] CtlExit ctlListMembers(CtlSession &session, const CtlOptions &options, const Words &words);
/** Adds a control member; done when it holds all that is committed. */
[[nodiscard]] CtlExit ctlAddMember(CtlSession &session, const CtlOptions &options, const Words &words);
/** Removes a control member. */
[[nodiscard]] CtlExit ctlRemoveMember(CtlSession &session, const CtlOptions &options, const Words &words);

} // namespace Chestnuthook
