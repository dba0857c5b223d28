/** @file fleet_event_func.cpp  One event for each accepted change of an operator. */
#include "control/fleet_event_func.h"

#include "observe/log_func.h"
#include "rpc/fleet.capnp.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

void logFleetCommand(std::string_view command, std::string_view reply)
{
    FlatMessage replyMessage(reply);
    const auto answer = replyMessage.root<Wire::FleetReply>();
    if (answer.isFailure()) {
        return;
    }
    FlatMessage message(command);
    const auto change = message.root<Wire::FleetCommand>();
    const std::string request = textOf(change.getRequestId());
    if (change.isApply()) {
        logEvent(EventKind::ConfigurationApplied,
            {{"revision", std::to_string(answer.getRevision())}, {"request", request},
                {"changes", std::to_string(change.getApply().getChanges().size())}});
    } else if (change.isIssueKey()) {
        logEvent(EventKind::KeyIssued,
            {{"key_id", textOf(change.getIssueKey().getId())}, {"tenant", textOf(change.getIssueKey().getTenant())},
                {"request", request}});
    } else if (change.isWithdrawKey()) {
        logEvent(EventKind::KeyWithdrawn, {{"key_id", textOf(change.getWithdrawKey())}, {"request", request}});
    } else if (change.isSetEntryState()) {
        logEvent(
            EventKind::DrainStarted, {{"entry", textOf(change.getSetEntryState().getEntry())}, {"request", request}});
    }
}

} // namespace Chestnuthook
