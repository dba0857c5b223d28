/** @file program_type.cpp  Serialisation of program records. */
#include "program/program_type.h"

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

template<typename Id>
void writeIds(capnp::List<capnp::Text>::Builder builder, const std::vector<Id> &ids)
{
    for (unsigned i = 0; i < builder.size(); ++i) {
        builder.set(i, wireText(ids[i].text));
    }
}

template<typename Id>
std::vector<Id> readIds(capnp::List<capnp::Text>::Reader reader)
{
    std::vector<Id> ids;
    ids.reserve(reader.size());
    for (const auto id : reader) {
        ids.emplace_back(textOf(id));
    }
    return ids;
}

} // namespace

const CallRecord *ProgramRecord::find(CallNumber number) const
{
    const bool exists = number.value >= 1 && number.value <= this->calls.size();
    return exists ? &this->calls[number.value - 1] : nullptr;
}

void writeBudget(Wire::Budget::Builder builder, const Budget &budget)
{
    builder.setCalls(budget.calls);
    builder.setTokens(budget.tokens);
    builder.setMilliseconds(budget.milliseconds);
    builder.setDepth(budget.depth);
}

Budget readBudget(Wire::Budget::Reader reader)
{
    return Budget{reader.getCalls(), reader.getTokens(), reader.getMilliseconds(), reader.getDepth()};
}

void writeCall(Wire::Call::Builder builder, const CallRecord &call)
{
    builder.setNumber(call.number.value);
    builder.setDigest(wireText(call.digest));
    builder.setAttempt(wireText(call.attempt.text));
    builder.setState(call.state == CallState::Ended ? Wire::CallState::ENDED : Wire::CallState::INTENT);
    builder.setRequest(wireText(call.request));
    builder.setAnswer(wireText(call.answer));
    builder.setStatus(call.status);
    if (call.failure) {
        writeFailure(builder.initFailure(), *call.failure);
    }
    builder.setTokens(call.tokens);
    builder.setEndpoint(wireText(call.endpoint.text));
    builder.setDeadlineMs(call.deadlineMs);
    builder.setFinishReason(call.finishReason);
    builder.setPromptTokens(call.promptTokens);
    builder.setContentType(call.contentType);
}

CallRecord readCall(Wire::Call::Reader reader)
{
    CallRecord call;
    call.number = CallNumber{reader.getNumber()};
    call.digest = textOf(reader.getDigest());
    call.attempt = AttemptId{textOf(reader.getAttempt())};
    call.state = reader.getState() == Wire::CallState::ENDED ? CallState::Ended : CallState::Intent;
    call.request = textOf(reader.getRequest());
    call.answer = textOf(reader.getAnswer());
    call.status = reader.getStatus();
    if (reader.hasFailure()) {
        call.failure = readFailure(reader.getFailure());
    }
    call.tokens = reader.getTokens();
    call.endpoint = EndpointId{textOf(reader.getEndpoint())};
    call.deadlineMs = reader.getDeadlineMs();
    call.finishReason = textOf(reader.getFinishReason());
    call.promptTokens = reader.getPromptTokens();
    call.contentType = textOf(reader.getContentType());
    return call;
}

void writeProgram(Wire::Program::Builder builder, const ProgramRecord &program)
{
    builder.setId(wireText(program.id.text));
    builder.setTenant(wireText(program.customer.text));
    builder.setParent(wireText(program.parent.text));
    writeIds(builder.initChildren(static_cast<unsigned>(program.children.size())), program.children);
    writeBudget(builder.initBudget(), program.budget);
    writeBudget(builder.initSpent(), program.spent);
    builder.setCreatedMs(program.createdMs);
    builder.setEndedMs(program.endedMs);
    auto calls = builder.initCalls(static_cast<unsigned>(program.calls.size()));
    for (unsigned i = 0; i < calls.size(); ++i) {
        writeCall(calls[i], program.calls[i]);
    }
    writeIds(builder.initReleases(static_cast<unsigned>(program.releases.size())), program.releases);
    builder.setRequestId(wireText(program.requestId));
    builder.setLastReserve(program.lastReserve);
}

ProgramRecord readProgram(Wire::Program::Reader reader)
{
    ProgramRecord program;
    program.id = ProgramId{textOf(reader.getId())};
    program.customer = CustomerId{textOf(reader.getTenant())};
    program.parent = ProgramId{textOf(reader.getParent())};
    program.children = readIds<ProgramId>(reader.getChildren());
    program.budget = readBudget(reader.getBudget());
    program.spent = readBudget(reader.getSpent());
    program.createdMs = reader.getCreatedMs();
    program.endedMs = reader.getEndedMs();
    for (const auto call : reader.getCalls()) {
        program.calls.push_back(readCall(call));
    }
    program.releases = readIds<EndpointId>(reader.getReleases());
    program.requestId = textOf(reader.getRequestId());
    program.lastReserve = textOf(reader.getLastReserve());
    return program;
}

} // namespace Chestnuthook
