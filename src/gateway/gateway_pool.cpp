/** @file gateway_pool.cpp  Asks the pools of endpoints for the endpoint of a request, and reports outcomes to them. */
#include <algorithm>

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
/** Cold endpoints that are asked for room before a request is refused. */
constexpr std::size_t MaxColdAsked = 2;

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
    // A pool may lack endpoints that a repetition or a resumed stream needs, while others have them.
    const bool mayRefuse = !call.mayHaveRun && tried.empty() && !criteria.version;
    for (unsigned returned = 0; returned <= MaxGrantsReturned; ++returned) {
        PoolPlacement placement = this->dispatcher.place(scope, query);
        if (placement.kind == PoolPlacement::Kind::Refused && mayRefuse && returned == 0) {
            if (auto cold = this->chooseCold(scope, criteria, tried)) {
                return EndpointChoice{std::move(cold), false, nullptr, std::nullopt};
            }
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

std::optional<DeployedEndpoint> Gateway::chooseCold(
    kj::WaitScope &scope, const SelectionCriteria &criteria, const std::set<std::string> &tried)
{
    if (this->loadBalancer.coldCount(this->now()) == 0) {
        return std::nullopt;
    }
    std::vector<DeployedEndpoint> cold;
    for (const DeployedEndpoint &listed : this->watcher.view.endpoints) {
        const DeployedEndpoint *usable = this->loadBalancer.findUsable(this->now(), criteria, tried, listed.id);
        if (usable != nullptr && this->loadBalancer.findCold(this->now(), listed.id) != nullptr) {
            cold.push_back(*usable);
        }
    }
    std::ranges::sort(cold, {}, [&criteria](const DeployedEndpoint &endpoint) {
        return hash64(endpoint.id, criteria.affinity);
    });
    cold.resize(std::min<std::size_t>(cold.size(), MaxColdAsked));
    for (const DeployedEndpoint &endpoint : cold) {
        if (this->takeEndpointCredit(scope, endpoint)) {
            return endpoint;
        }
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
