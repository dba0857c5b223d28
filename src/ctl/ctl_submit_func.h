/** @file ctl_submit_func.h  Builds fleet commands and submits them. */
#pragma once

#include <cstdint>

#include <capnp/message.h>

#include "core/error_type.h"
#include "ctl/ctl_session_base.h"
#include "ctl/ctl_type.h"
#include "rpc/fleet.capnp.h"

namespace Chestnuthook
{

using CommandMessage = capnp::MallocMessageBuilder;

/** What the fleet state answered. */
struct Submitted
{
    std::uint64_t index = 0; ///< Log index of the command.
    std::uint64_t revision = 0; ///< Of the declarations after it.
};

/** A command with the options' request id, or a new one. */
[[nodiscard]] Wire::FleetCommand::Builder initCommand(CommandMessage &message, const CtlOptions &options);
/** Submits it. Errors: those of the fleet state; NoQuorum. */
[[nodiscard]] Result<Submitted> submitCommand(CtlSession &session, CommandMessage &message);

} // namespace Chestnuthook
