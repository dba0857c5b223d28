/** @file gateway_resume.cpp  Streams whose turns are stored and that clients resume: a turn is stored with all its
 * events, or its resumption is refused. */
#include <algorithm>

#include "gateway/event_split_func.h"
#include "gateway/gateway_base.h"
#include "gateway/gateway_call_internal.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

/** A resumption is refused if no majority of the history members knows its beginning within this time. */
constexpr Duration BeginningTimeout = std::chrono::milliseconds(200);

std::uint64_t turnHashOf(const HttpExchange &exchange, const RequestMetadata &metadata)
{
    return turnHash(exchange.head.target, metadata.previousTurn, exchange.body);
}

} // namespace

bool Gateway::restoreBeginning(kj::WaitScope &scope, Call &call)
{
    const RequestMetadata &metadata = call.metadata;
    if (call.route->kind != RouteKind::Stream || !call.route->retainsTurns || metadata.lastEventId.empty()) {
        return true;
    }
    // Without Retry-After: the same resumption would be refused again.
    if (!call.route->resumable) {
        this->reject(scope, call, HttpStatus::Unavailable, "streams of the route aren't resumed", 0);
        return false;
    }
    if (metadata.resumedRequest.empty()) {
        this->reject(scope, call, HttpStatus::Unavailable, "the resumption doesn't name the stream of its turn", 0);
        return false;
    }
    const RequestWaits::Scope wait(this->waits, call.waits, WaitCause::History);
    call.recorder =
        std::make_unique<StreamRecorder>(this->history, call.streamKey(metadata.resumedRequest), metadata.requestId);
    const Instant until = std::min(call.deadline, this->now() + BeginningTimeout);
    const auto found = call.recorder->resume(scope, turnHashOf(call.exchange, metadata), metadata.lastEventId, until);
    if (!found) {
        const bool mayPass = found.error() == ResumptionDoubt::TooFewMembers;
        this->reject(scope, call, HttpStatus::Unavailable, nameOf(found.error()), mayPass ? ShortRetryAfterSeconds : 0);
        return false;
    }
    for (const StreamPiece &piece : found->pieces) {
        call.beginning += piece.output;
        call.resumedEvents += piece.output.empty() ? 0 : 1;
    }
    call.resumedShares = found->shares;
    return true;
}

void Gateway::claimResumedTokens(const Call &call, TurnStart &start)
{
    const auto &engine = call.configuration->services.at(call.service).engine;
    const unsigned tokensPerEvent = engine ? engine->tokensPerEvent : 1;
    std::uint32_t &most = start.claim.claim.tokens;
    for (const StreamShare &share : call.resumedShares) {
        const std::uint32_t tokens = share.events * tokensPerEvent;
        start.resumed.push_back({share.request, tokens, true});
        most -= std::min(most, tokens);
    }
}

void Gateway::settleResumed(const TurnStart &start)
{
    std::vector<HistoryRecord> records;
    for (const TokenClaim &claim : start.resumed) {
        ProgramClaim settled = start.claim;
        settled.claim = claim;
        records.emplace_back(std::move(settled));
    }
    if (!records.empty()) {
        this->history.writeInBackground(std::move(records));
    }
}

void Gateway::recordBeginning(Call &call, const DeployedEndpoint &endpoint)
{
    logEvent(EventKind::StreamBegun,
        {{"request", call.metadata.requestId}, {"endpoint", endpoint.id}, {"version", endpoint.version}});
    call.recorder = std::make_unique<StreamRecorder>(
        this->history, call.streamKey(call.metadata.requestId), call.metadata.requestId);
    call.recorder->begin(turnHashOf(call.exchange, call.metadata), resumptionTtl(*call.route));
}

void Gateway::recordEvents(kj::WaitScope &scope, Call &call, const std::vector<StreamEvent> &events)
{
    if (call.recorder == nullptr) {
        return;
    }
    std::vector<StreamPiece> pieces;
    for (const StreamEvent &event : events) {
        if (event.hasData || !event.id.empty()) {
            pieces.push_back({event.id, event.hasData ? event.data + "\n" : std::string()});
        }
    }
    if (!pieces.empty()) {
        call.recorder->add(pieces);
        call.recorder->awaitHeld(scope);
    }
}

} // namespace Chestnuthook
