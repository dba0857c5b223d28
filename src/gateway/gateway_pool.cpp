/** @file gateway_pool.cpp  Asks the pools of endpoints for the endpoint of a request, and reports outcomes to them. */
#include "core/hash_func.h"
#include "gateway/gateway_base.h"
#include "gateway/gateway_call_internal.h"
#include "gateway/request_priority_func.h"

namespace Chestnuthook
{

namespace
{

/** Endpoints that pools name and this gateway can't use are given back and excluded this often for one attempt. */
constexpr unsigned MaxGrantsReturned = 2;

} // namespace

std::optional<Gateway::EndpointChoice> Gateway::choosePooled(
    kj::WaitScope &scope, const Call &call, const SelectionCriteria &criteria, const std::set<std::string> &tried)
{
    PoolQuery query;
    query.requestId = call.metadata.requestId;
    query.service = criteria.service;
    query.dataCentre = criteria.dataCentre;
    query.affinity = criteria.affinity;
    TurnRequest &turn = query.turn;
    turn.program = call.metadata.program.empty() ? 0 : criteria.affinity;
    if (call.customer != nullptr) {
        turn.customer = hash64(call.customer->name);
        turn.customerWeight = call.customer->ratePerSecond > 0 ? call.customer->ratePerSecond : 1;
    }
    turn.promptTokens = call.metadata.promptTokens;
    turn.outputTokens = call.metadata.outputTokens;
    turn.expectedTokens = call.metadata.expectedTokens;
    turn.deadline = call.deadline;
    if (call.metadata.programTimeLeft) {
        turn.programDeadline = call.exchange.received + *call.metadata.programTimeLeft;
        if (call.isNewProgram) {
            turn.programTotal = *call.metadata.programTimeLeft;
        }
    }
    turn.priority = this->priorityOf(call);
    turn.version = criteria.version.value_or("");
    turn.excluded.assign(tried.begin(), tried.end());
    for (unsigned returned = 0; returned <= MaxGrantsReturned; ++returned) {
        PoolPlacement placement = this->dispatcher.place(scope, query);
        if (placement.kind == PoolPlacement::Kind::Refused && !call.mayHaveRun) {
            return EndpointChoice{std::nullopt, false, nullptr, placement.retryAfter};
        }
        if (placement.kind != PoolPlacement::Kind::Granted) {
            return std::nullopt;
        }
        const DeployedEndpoint *named = this->loadBalancer.findUsable(this->now(), criteria, tried, placement.endpoint);
        if (named != nullptr) {
            const DeployedEndpoint endpoint = *named;
            if (this->takeEndpointCredit(scope, endpoint)) {
                return EndpointChoice{endpoint, false, std::move(placement.grant), std::nullopt};
            }
        }
        turn.excluded.push_back(placement.endpoint); // The grant is given back here.
    }
    return std::nullopt;
}

void Gateway::releaseGrant(const Call &call, PoolGrant &grant, AttemptResult result) const
{
    TurnOutcome outcome;
    outcome.tokens = (call.deliveredEvents - call.eventsBefore) * call.tokensPerEvent;
    outcome.firstEvent = call.firstEventAt ? *call.firstEventAt - call.attemptedAt : Duration(0);
    outcome.total = this->now() - call.attemptedAt;
    outcome.failed = result == AttemptResult::Failed || result == AttemptResult::TimedOut;
    outcome.notRun = result == AttemptResult::NotExecuted;
    if (call.reportedLoad) {
        const EndpointLoad &load = *call.reportedLoad;
        outcome.load = ReportedLoad{load.running, load.waiting, load.slots, load.pace};
    }
    grant.release(std::move(outcome));
}

} // namespace Chestnuthook
