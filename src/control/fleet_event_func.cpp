/** @file fleet_event_func.cpp  Logs one event for each accepted change by an operator. */
#include "control/fleet_event_func.h"

#include "observe/log_func.h"
#include "rpc/fleet.capnp.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

void logFleetCommand(std::string_view command, std::string_view reply)
{
    FlatMessage replyMessage(reply);
    const auto fleetReply = replyMessage.root<Wire::FleetReply>();
    if (fleetReply.isFailure()) {
        return;
    }
    FlatMessage message(command);
    const auto fleetCommand = message.root<Wire::FleetCommand>();
    const std::string request = textOf(fleetCommand.getRequestId());
    if (fleetCommand.isApply()) {
        logEvent(EventKind::ConfigurationApplied,
            {{"revision", std::to_string(fleetReply.getRevision())}, {"request", request},
                {"changes", std::to_string(fleetCommand.getApply().getChanges().size())}});
    } else if (fleetCommand.isIssueKey()) {
        logEvent(EventKind::KeyIssued,
            {{"key_id", textOf(fleetCommand.getIssueKey().getId())},
                {"tenant", textOf(fleetCommand.getIssueKey().getTenant())}, {"request", request}});
    } else if (fleetCommand.isWithdrawKey()) {
        logEvent(EventKind::KeyWithdrawn, {{"key_id", textOf(fleetCommand.getWithdrawKey())}, {"request", request}});
    } else if (fleetCommand.isSetEntryState()) {
        logEvent(EventKind::DrainStarted,
            {{"entry", textOf(fleetCommand.getSetEntryState().getEntry())}, {"request", request}});
    }
}

} // namespace Chestnuthook
