/** @file ctl_force_func.h  Waits until a change is in force on all entries, and says which lag. */
#pragma once

#include "ctl/ctl_session_base.h"
#include "ctl/ctl_submit_func.h"
#include "ctl/ctl_type.h"

namespace Chestnuthook
{

/** Waits up to `--wait_ms` until all entries with a lease hold the log up to @p change. Adds a sentence to @p text and
 * `in_force` and `lagging` to @p object, and prints both. @return NotInForce where an entry lags. */
[[nodiscard]] CtlExit finishInForce(CtlSession &session, const CtlOptions &options, const Submitted &change,
    std::string text, Poco::JSON::Object object);

} // namespace Chestnuthook
