/** @file program_command_internal.h  Helpers shared by the source files of ProgramRuntime. */
#pragma once

#include <capnp/message.h>

#include "fleet/fleet_base.h"
#include "observe/log_func.h"
#include "program/journal_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

using JournalMessage = capnp::MallocMessageBuilder;

/** Starts a journal command on the slot of @p program. */
inline Wire::JournalCommand::Builder initCommand(JournalMessage &message, const ProgramId &program, Epoch epoch)
{
    auto command = message.initRoot<Wire::JournalCommand>();
    command.setSlot(slotOf(program.text).value);
    command.setEpoch(epoch.value);
    command.setNowMs(wallMsNow());
    return command;
}

} // namespace Chestnuthook
