/** @file ctl_rollout_func.h  Waits until a change is in force on all entries and reports those that lag. */
#pragma once

#include "ctl/ctl_session_base.h"
#include "ctl/ctl_submit_func.h"
#include "ctl/ctl_type.h"

namespace Chestnuthook
{

/** Waits up to `--wait_ms` until all entries with a lease have reached the log index of @p change. Appends the outcome
 * to @p text, adds `in_force` and `lagging` to @p object, and prints one of the two. @return Done, or NotInForce if an
 * entry lags or no quorum has confirmed the list of entries. */
[[nodiscard]] CtlExit finishAfterRollout(CtlSession &session, const CtlOptions &options, const SubmitResult &change,
    std::string text, Poco::JSON::Object object);

} // namespace Chestnuthook
