/** @file journal_cmd.cpp  Commands of the program journal; one function for each validates and executes it. */
#include "program/journal_base.h"

#include <algorithm>
#include <utility>

#include <capnp/message.h>

#include "fleet/fleet_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** Whether the recorded call with the number of @p call has the same attempt. A command about this attempt was executed
 * before. */
bool hasSameAttempt(const ProgramRecord &program, const CallRecord &call)
{
    const CallRecord *known = program.find(call.number);
    return known != nullptr && known->attempt == call.attempt;
}

/** Adds @p endpoint to those that have to release cache of @p program. */
void addRelease(ProgramRecord &program, const EndpointId &endpoint)
{
    auto &releases = program.releases;
    if (!endpoint.empty() && std::find(releases.begin(), releases.end(), endpoint) == releases.end()) {
        releases.push_back(endpoint);
    }
}

/** Records @p call as the result of the last call. @p covered of its tokens were charged to the budget before. */
void recordResult(ProgramRecord &program, CallRecord call, std::uint64_t covered)
{
    std::vector<CallRecord> &calls = program.calls;
    const bool endsIntent = !calls.empty() && calls.back().number == call.number;
    const std::uint64_t uncovered = call.tokens - std::min(call.tokens, covered);
    program.spent.tokens += std::min(uncovered, program.budget.tokens - program.spent.tokens);
    call.state = CallState::Ended;
    if (endsIntent) {
        calls.back() = std::move(call);
    } else {
        program.spent.calls += 1;
        calls.push_back(std::move(call));
    }
}

} // namespace

std::string JournalState::apply(std::uint64_t index, std::string_view command)
{
    FlatMessage message(command);
    const auto reader = message.root<Wire::JournalCommand>();
    Result<void> result = this->doCommand(reader, false);
    if (result) {
        result = this->doCommand(reader, true);
    }
    this->lastIndex = index;
    capnp::MallocMessageBuilder builder;
    auto reply = builder.initRoot<Wire::JournalReply>();
    reply.setIndex(index);
    if (result) {
        reply.setDone();
    } else {
        writeFailure(reply.initFailure(), result.error());
    }
    return flatBytes(builder);
}

Result<void> JournalState::doCommand(Wire::JournalCommand::Reader command, bool execute)
{
    if (command.isOpenSlots()) {
        return this->doOpenSlots(command, execute);
    }
    const SlotId slot{command.getSlot()};
    const Epoch current = this->epochOf(slot);
    if (command.getEpoch() < current.value) {
        return fail(ErrorKind::StaleEpoch, "slot " + std::to_string(slot.value) + " has a later owner");
    }
    if (command.getEpoch() != current.value) {
        return fail(ErrorKind::StaleEpoch, "slot " + std::to_string(slot.value) + " was not opened under this epoch");
    }
    switch (command.which()) {
    case Wire::JournalCommand::OPEN_SLOTS:
        break;
    case Wire::JournalCommand::CREATE:
        return this->doCreate(command, execute);
    case Wire::JournalCommand::BEGIN:
        return this->doBegin(command, execute);
    case Wire::JournalCommand::END:
        return this->doEnd(command, execute);
    case Wire::JournalCommand::END_PROGRAM:
        return this->doEndProgram(command, execute);
    case Wire::JournalCommand::RELEASED:
        return this->doReleased(command, execute);
    case Wire::JournalCommand::RESERVE:
        return this->doReserve(command, execute);
    case Wire::JournalCommand::FORGET:
        return this->doForget(command, execute);
    case Wire::JournalCommand::CARVE:
        return this->doAllocateChildBudget(command, execute);
    case Wire::JournalCommand::CHILD_ENDED:
        return this->doChildEnded(command, execute);
    }
    return fail(ErrorKind::BadRequest, "unknown journal command");
}

Result<ProgramRecord *> JournalState::findOpenProgram(const std::string &id)
{
    const auto found = this->programs.find(ProgramId{id});
    if (found == this->programs.end()) {
        return fail(ErrorKind::NotFound, "no program " + id);
    }
    if (found->second.ended()) {
        return fail(ErrorKind::ProgramEnded, "program " + id);
    }
    return &found->second;
}

Result<void> JournalState::doOpenSlots(Wire::JournalCommand::Reader command, bool execute)
{
    for (const auto opened : command.getOpenSlots()) {
        const SlotId slot{opened.getSlot()};
        if (opened.getEpoch() < this->epochOf(slot).value) {
            return fail(ErrorKind::StaleEpoch, "slot " + std::to_string(slot.value) + " has a later owner");
        }
        if (execute) {
            this->epochs[slot] = Epoch{opened.getEpoch()};
        }
    }
    return {};
}

Result<void> JournalState::doCreate(Wire::JournalCommand::Reader command, bool execute)
{
    ProgramRecord program = readProgram(command.getCreate());
    if (program.id.empty() || slotOf(program.id.text).value != command.getSlot()) {
        return fail(ErrorKind::BadRequest, "the program is not of this slot");
    }
    if (const ProgramRecord *known = this->find(program.id)) {
        if (known->customer == program.customer && known->requestId == program.requestId
            && known->parent == program.parent) {
            return {};
        }
        return fail(ErrorKind::Conflict, "program " + program.id.text + " is there already");
    }
    if (execute) {
        this->adopt(std::move(program));
    }
    return {};
}

Result<void> JournalState::doBegin(Wire::JournalCommand::Reader command, bool execute)
{
    const auto begin = command.getBegin();
    CallRecord call = readCall(begin.getCall());
    const ProgramRecord *known = this->find(ProgramId{textOf(begin.getProgram())});
    if (known != nullptr && hasSameAttempt(*known, call)) {
        return {};
    }
    const Result<ProgramRecord *> program = this->findOpenProgram(textOf(begin.getProgram()));
    if (!program) {
        return tl::unexpected(program.error());
    }
    if (call.number.value != (*program)->calls.size() + 1) {
        return fail(ErrorKind::Conflict, "call " + std::to_string(call.number.value) + " is not the next one");
    }
    if (!(*program)->calls.empty() && (*program)->calls.back().state != CallState::Ended) {
        return fail(ErrorKind::Conflict, "the call before it has not ended");
    }
    if ((*program)->spent.calls >= (*program)->budget.calls) {
        return fail(ErrorKind::BudgetSpent, "program " + (*program)->id.text);
    }
    if (execute) {
        call.state = CallState::Intent;
        (*program)->spent.calls += 1;
        (*program)->calls.push_back(std::move(call));
    }
    return {};
}

Result<void> JournalState::doEnd(Wire::JournalCommand::Reader command, bool execute)
{
    const auto end = command.getEnd();
    CallRecord call = readCall(end.getCall());
    const auto found = this->programs.find(ProgramId{textOf(end.getProgram())});
    if (found == this->programs.end()) {
        return fail(ErrorKind::NotFound, "no program " + textOf(end.getProgram()));
    }
    ProgramRecord &program = found->second;
    std::vector<CallRecord> &calls = program.calls;
    if (hasSameAttempt(program, call) && program.find(call.number)->state == CallState::Ended) {
        return {};
    }
    const bool endsIntent =
        !calls.empty() && calls.back().number == call.number && calls.back().state == CallState::Intent;
    const bool isNextCall =
        call.number.value == calls.size() + 1 && (calls.empty() || calls.back().state == CallState::Ended);
    const bool hasNotRun = call.failure && call.failure->ran == Ran::No;
    if (hasNotRun && isNextCall) {
        return {}; // The intent was removed before.
    }
    if (!endsIntent && !isNextCall) {
        return fail(ErrorKind::Conflict, "call " + std::to_string(call.number.value) + " can't end now");
    }
    if (endsIntent && calls.back().attempt != call.attempt) {
        return fail(ErrorKind::Conflict, "the result is of another attempt");
    }
    if (isNextCall && program.ended()) {
        return fail(ErrorKind::ProgramEnded, "program " + program.id.text);
    }
    if (isNextCall && program.spent.calls >= program.budget.calls) {
        return fail(ErrorKind::BudgetSpent, "program " + program.id.text);
    }
    if (execute && hasNotRun) {
        calls.pop_back();
        program.spent.calls -= 1;
    } else if (execute) {
        recordResult(program, std::move(call), end.getCovered());
    }
    return {};
}

Result<void> JournalState::doEndProgram(Wire::JournalCommand::Reader command, bool execute)
{
    const auto found = this->programs.find(ProgramId{textOf(command.getEndProgram())});
    if (found == this->programs.end()) {
        return fail(ErrorKind::NotFound, "no program " + textOf(command.getEndProgram()));
    }
    if (execute && !found->second.ended()) {
        found->second.endedMs = command.getNowMs();
    }
    return {};
}

Result<void> JournalState::doReleased(Wire::JournalCommand::Reader command, bool execute)
{
    const auto released = command.getReleased();
    const auto found = this->programs.find(ProgramId{textOf(released.getProgram())});
    if (found == this->programs.end()) {
        return fail(ErrorKind::NotFound, "no such program");
    }
    if (execute) {
        std::erase(found->second.releases, EndpointId{textOf(released.getEndpoint())});
    }
    return {};
}

Result<void> JournalState::doReserve(Wire::JournalCommand::Reader command, bool execute)
{
    const auto reserve = command.getReserve();
    const auto found = this->programs.find(ProgramId{textOf(reserve.getProgram())});
    if (found == this->programs.end()) {
        return fail(ErrorKind::NotFound, "no such program");
    }
    const std::string id = textOf(reserve.getId());
    if (!id.empty() && id == found->second.lastReserve) {
        return {};
    }
    const Budget amount = readBudget(reserve.getAmount());
    const Budget &budget = found->second.budget;
    Budget &spent = found->second.spent;
    if (reserve.getGiveBack()) {
        if (amount.calls > spent.calls || amount.tokens > spent.tokens) {
            return fail(ErrorKind::Conflict, "more is given back than was taken");
        }
        if (execute) {
            spent.calls -= amount.calls;
            spent.tokens -= amount.tokens;
            found->second.lastReserve = id;
        }
        return {};
    }
    if (found->second.ended()) {
        return fail(ErrorKind::ProgramEnded, "program " + found->first.text);
    }
    if (amount.calls > budget.calls - spent.calls || amount.tokens > budget.tokens - spent.tokens) {
        return fail(ErrorKind::BudgetSpent, "program " + found->first.text);
    }
    if (execute) {
        spent.calls += amount.calls;
        spent.tokens += amount.tokens;
        found->second.lastReserve = id;
        addRelease(found->second, EndpointId{textOf(reserve.getEndpoint())});
    }
    return {};
}

Result<void> JournalState::doAllocateChildBudget(Wire::JournalCommand::Reader command, bool execute)
{
    const auto carve = command.getCarve();
    const Result<ProgramRecord *> parent = this->findOpenProgram(textOf(carve.getProgram()));
    if (!parent) {
        return tl::unexpected(parent.error());
    }
    const ProgramId child{textOf(carve.getChild())};
    std::vector<ProgramId> &children = (*parent)->children;
    if (std::find(children.begin(), children.end(), child) != children.end()) {
        return {};
    }
    const Budget amount = readBudget(carve.getAmount());
    const Budget &budget = (*parent)->budget;
    Budget &spent = (*parent)->spent;
    if (budget.depth == 0 || amount.depth >= budget.depth) {
        return fail(ErrorKind::BudgetSpent, "program " + (*parent)->id.text + " may have no deeper sub-agents");
    }
    if (amount.calls > budget.calls - spent.calls || amount.tokens > budget.tokens - spent.tokens) {
        return fail(ErrorKind::BudgetSpent, "program " + (*parent)->id.text);
    }
    if (execute) {
        spent.calls += amount.calls;
        spent.tokens += amount.tokens;
        children.push_back(child);
    }
    return {};
}

Result<void> JournalState::doChildEnded(Wire::JournalCommand::Reader command, bool execute)
{
    const auto found = this->programs.find(ProgramId{textOf(command.getChildEnded().getProgram())});
    if (found == this->programs.end() || !found->second.ended()) {
        return fail(ErrorKind::Conflict, "the parent has not ended");
    }
    if (execute) {
        std::erase(found->second.children, ProgramId{textOf(command.getChildEnded().getChild())});
    }
    return {};
}

Result<void> JournalState::doForget(Wire::JournalCommand::Reader command, bool execute)
{
    for (const auto id : command.getForget()) {
        const auto found = this->programs.find(ProgramId{textOf(id)});
        if (found == this->programs.end()) {
            continue;
        }
        if (!found->second.ended() || !found->second.releases.empty() || !found->second.children.empty()) {
            return fail(ErrorKind::Conflict, "program " + found->first.text + " is not done with");
        }
        if (execute) {
            this->bySlot[slotOf(found->first.text)].erase(found->first);
            this->programs.erase(found);
        }
    }
    return {};
}

} // namespace Chestnuthook
