/** @file pool_message_func.cpp  Reads and writes the messages of `dispatch.capnp`. */
#include "gateway/pool_message_func.h"

#include "rpc/message_func.h"

namespace Chestnuthook
{

PoolAnswer answerOf(const TurnDecision &decision)
{
    return {decision.verdict, decision.endpoint, decision.predictedWait, decision.predictedTime,
        std::string(decision.reason)};
}

void writeTurn(Wire::PoolTurn::Builder builder, Instant now, const TurnRequest &request)
{
    builder.setTicket(request.ticket);
    builder.setProgram(request.program);
    builder.setCustomer(request.customer);
    builder.setPromptTokens(request.promptTokens);
    builder.setOutputTokens(request.outputTokens);
    builder.setExpectedTokens(request.expectedTokens);
    builder.setLeftUs((request.deadline - now).count());
    builder.setHasProgramTime(request.programDeadline.has_value());
    if (request.programDeadline) {
        builder.setProgramLeftUs((*request.programDeadline - now).count());
    }
    builder.setProgramTotalMs(request.programTotal ? request.programTotal->count() : 0);
    builder.setPriority(request.priority);
    builder.setVersion(wireText(request.version));
    auto excluded = builder.initExcluded(static_cast<unsigned>(request.excluded.size()));
    for (unsigned i = 0; i < request.excluded.size(); ++i) {
        excluded.set(i, wireText(request.excluded[i]));
    }
    builder.setCustomerWeight(request.customerWeight);
}

TurnRequest readTurn(Wire::PoolTurn::Reader reader, Instant now, const std::string &holder)
{
    TurnRequest request;
    request.ticket = reader.getTicket();
    request.holder = holder;
    request.program = reader.getProgram();
    request.customer = reader.getCustomer();
    request.promptTokens = reader.getPromptTokens();
    request.outputTokens = reader.getOutputTokens();
    request.expectedTokens = reader.getExpectedTokens();
    request.deadline = now + Duration(reader.getLeftUs());
    if (reader.getHasProgramTime()) {
        request.programDeadline = now + Duration(reader.getProgramLeftUs());
    }
    if (reader.getProgramTotalMs() > 0) {
        request.programTotal = std::chrono::milliseconds(reader.getProgramTotalMs());
    }
    request.priority = reader.getPriority();
    request.version = textOf(reader.getVersion());
    for (const auto id : reader.getExcluded()) {
        request.excluded.push_back(textOf(id));
    }
    request.customerWeight = reader.getCustomerWeight();
    return request;
}

void writeAnswer(Wire::PoolDecision::Builder builder, const PoolAnswer &answer)
{
    auto verdict = Wire::PoolVerdict::UNKNOWN;
    if (answer.verdict) {
        switch (*answer.verdict) {
        case TurnVerdict::Granted:
            verdict = Wire::PoolVerdict::GRANTED;
            break;
        case TurnVerdict::Waiting:
            verdict = Wire::PoolVerdict::WAITING;
            break;
        case TurnVerdict::Refused:
            verdict = Wire::PoolVerdict::REFUSED;
            break;
        }
    }
    builder.setVerdict(verdict);
    builder.setEndpoint(wireText(answer.endpoint));
    builder.setWaitUs(answer.predictedWait.count());
    builder.setTimeUs(answer.predictedTime.count());
    builder.setReason(wireText(answer.reason));
}

PoolAnswer readAnswer(Wire::PoolDecision::Reader reader)
{
    PoolAnswer answer;
    switch (reader.getVerdict()) {
    case Wire::PoolVerdict::GRANTED:
        answer.verdict = TurnVerdict::Granted;
        break;
    case Wire::PoolVerdict::WAITING:
        answer.verdict = TurnVerdict::Waiting;
        break;
    case Wire::PoolVerdict::REFUSED:
        answer.verdict = TurnVerdict::Refused;
        break;
    case Wire::PoolVerdict::UNKNOWN:
        break;
    }
    answer.endpoint = textOf(reader.getEndpoint());
    answer.predictedWait = Duration(reader.getWaitUs());
    answer.predictedTime = Duration(reader.getTimeUs());
    answer.reason = textOf(reader.getReason());
    return answer;
}

void writeOutcome(Wire::PoolOutcome::Builder builder, const TurnOutcome &outcome)
{
    builder.setTicket(outcome.ticket);
    builder.setTokens(outcome.tokens);
    builder.setFirstEventUs(outcome.firstEvent.count());
    builder.setTotalUs(outcome.total.count());
    builder.setFailed(outcome.failed);
    builder.setNotRun(outcome.notRun);
    builder.setHasLoad(outcome.load.has_value());
    if (outcome.load) {
        builder.setRunning(outcome.load->running);
        builder.setWaiting(outcome.load->waiting);
        builder.setSlots(outcome.load->slots);
        builder.setPacePercent(outcome.load->pacePercent);
    }
}

TurnOutcome readOutcome(Wire::PoolOutcome::Reader reader, const std::string &holder)
{
    TurnOutcome outcome;
    outcome.ticket = reader.getTicket();
    outcome.holder = holder;
    outcome.tokens = reader.getTokens();
    outcome.firstEvent = Duration(reader.getFirstEventUs());
    outcome.total = Duration(reader.getTotalUs());
    outcome.failed = reader.getFailed();
    outcome.notRun = reader.getNotRun();
    if (reader.getHasLoad()) {
        outcome.load =
            ReportedLoad{reader.getRunning(), reader.getWaiting(), reader.getSlots(), reader.getPacePercent()};
    }
    return outcome;
}

void writeForecast(Wire::PoolForecast::Builder builder, const EndpointForecast &forecast)
{
    builder.setEndpoint(wireText(forecast.endpoint));
    builder.setAllowed(forecast.isAllowed);
    builder.setFree(forecast.isFree);
    builder.setRunning(forecast.running);
    builder.setUsedTokens(forecast.usedTokens);
    builder.setReadTokens(forecast.readTokens);
    builder.setCachedTokens(forecast.cachedTokens);
    builder.setSpeed(forecast.speed);
    builder.setPace(forecast.pace);
    builder.setWaitUs(forecast.predictedWait.count());
    builder.setTimeUs(forecast.predictedTime.count());
    builder.setReason(wireText(std::string(forecast.reason)));
}

} // namespace Chestnuthook
