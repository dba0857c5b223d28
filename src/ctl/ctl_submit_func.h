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

/** Successful reply to a fleet command. */
struct SubmitResult
{
    std::uint64_t index = 0; ///< Log index of the command.
    std::uint64_t revision = 0; ///< Revision of the declarations after the command.
};

/** Starts a command in @p message with the request id of @p options, or a new one if that is empty. */
[[nodiscard]] Wire::FleetCommand::Builder initCommand(CommandMessage &message, const CtlOptions &options);
/** Submits the command in @p message. Errors: those of the fleet state; NoQuorum. */
[[nodiscard]] Result<SubmitResult> submitCommand(CtlSession &session, CommandMessage &message);

} // namespace Chestnuthook
