/** @file ctl_submit_func.cpp  Builds and submits fleet commands. */
#include "ctl/ctl_submit_func.h"

#include "core/hash_func.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t RequestIdBytes = 12;

} // namespace

Wire::FleetCommand::Builder initCommand(CommandMessage &message, const CtlOptions &options)
{
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setRequestId(options.requestId.empty() ? "ctl-" + randomHex(RequestIdBytes) : options.requestId);
    command.setNowMs(wallMsNow());
    return command;
}

Result<SubmitResult> submitCommand(CtlSession &session, CommandMessage &message)
{
    const Result<std::string> bytes = session.submit(flatBytes(message));
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    FlatMessage flat(*bytes);
    const auto reply = flat.root<Wire::FleetReply>();
    if (reply.isFailure()) {
        return tl::unexpected(readFailure(reply.getFailure()));
    }
    return SubmitResult{reply.getIndex(), reply.getRevision()};
}

} // namespace Chestnuthook
