/** @file program_runtime_base.cpp  Owner's side of programs. */
#include "entry/program_runtime_base.h"

#include <utility>

#include <capnp/message.h>

#include "core/hash_func.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t IdBytes = 12;

using Command = capnp::MallocMessageBuilder;

Wire::JournalCommand::Builder initCommand(Command &message, const ProgramId &program, Epoch epoch)
{
    auto command = message.initRoot<Wire::JournalCommand>();
    command.setSlot(slotOf(program.text).value);
    command.setEpoch(epoch.value);
    command.setNowMs(wallMsNow());
    return command;
}

std::vector<ChatMessage> historyOf(const ProgramRecord &program)
{
    std::vector<ChatMessage> history;
    for (const CallRecord &call : program.calls) {
        const Result<CallRequest> request = parseCall(call.request);
        if (!request || request->kind != CallKind::Model || call.failure) {
            continue;
        }
        history.insert(history.end(), request->messages.begin(), request->messages.end());
        history.push_back(ChatMessage{"assistant", call.answer});
    }
    return history;
}

} // namespace

ProgramRuntime::ProgramRuntime(FleetFollower &follower, ControlClient &client)
    : follower(follower)
    , client(client)
    , takingOver(kj::READY_NOW)
{
}

void ProgramRuntime::updateSlots()
{
    std::vector<std::pair<SlotId, Epoch>> gained;
    for (const auto &[slot, row] : this->follower.state.slots.all()) {
        const bool mine = !row.removed && row.record.owner == this->follower.self.id;
        const auto known = this->owned.find(slot);
        if (!mine && known != this->owned.end()) {
            this->owned.erase(known);
            this->copy.dropSlot(slot);
        } else if (mine && (known == this->owned.end() || known->second.epoch != row.record.epoch)) {
            this->owned[slot] = OwnedSlot{row.record.epoch, false};
            gained.emplace_back(slot, row.record.epoch);
        }
    }
    if (!gained.empty()) {
        this->takingOver = this->takingOver
                               .then([this, gained = std::move(gained)]() mutable {
                                   return this->takeOver(std::move(gained));
                               })
                               .eagerlyEvaluate(nullptr);
    }
}

kj::Promise<void> ProgramRuntime::takeOver(std::vector<std::pair<SlotId, Epoch>> slots)
{
    Command message;
    auto list = message.initRoot<Wire::JournalCommand>().initOpenSlots(static_cast<unsigned>(slots.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setSlot(slots[i].first.value);
        list[i].setEpoch(slots[i].second.value);
    }
    return this->client.submitJournal(flatBytes(message))
        .then([this, slots](Result<void> &&opened) -> kj::Promise<Result<std::vector<ProgramRecord>>> {
            if (!opened) {
                return Result<std::vector<ProgramRecord>>(tl::unexpected(opened.error()));
            }
            return this->client.loadSlots(slots);
        })
        .then([this, slots](Result<std::vector<ProgramRecord>> &&programs) {
            for (const auto &[slot, epoch] : slots) {
                const auto known = this->owned.find(slot);
                if (known == this->owned.end() || known->second.epoch != epoch) {
                    continue;
                }
                if (programs) {
                    known->second.ready = true;
                } else {
                    this->owned.erase(known); // Tried again after the next change of the fleet state.
                }
            }
            if (!programs) {
                logEvent(EventKind::SlotMoved, {{"failed", programs.error().what}});
                return;
            }
            for (ProgramRecord &program : *programs) {
                if (this->owned.contains(slotOf(program.id.text))) {
                    this->copy.adopt(std::move(program));
                }
            }
            logEvent(EventKind::SlotMoved, {{"slots", std::to_string(slots.size())}});
        });
}

Result<void> ProgramRuntime::ready() const
{
    if (!this->follower.isFresh()) {
        return fail(ErrorKind::NotReady, "the fleet state is not confirmed");
    }
    for (const auto &[slot, own] : this->owned) {
        if (!own.ready) {
            return fail(ErrorKind::NotReady, "slots are being taken over");
        }
    }
    return {};
}

Result<const ProgramRecord *> ProgramRuntime::findFor(const ProgramId &program, const TenantId &tenant) const
{
    const auto slot = this->owned.find(slotOf(program.text));
    if (slot == this->owned.end() || !slot->second.ready) {
        return fail(ErrorKind::NotReady, "program " + program.text + " is served by another entry");
    }
    const ProgramRecord *record = this->copy.find(program);
    if (record == nullptr) {
        return fail(ErrorKind::NotFound, "no program " + program.text);
    }
    if (record->tenant != tenant) {
        return fail(ErrorKind::ForeignProgram, "program " + program.text);
    }
    return record;
}

Result<ProgramRecord> ProgramRuntime::get(const ProgramId &program, const TenantId &tenant) const
{
    const auto found = this->findFor(program, tenant);
    if (!found) {
        return tl::unexpected(found.error());
    }
    return **found;
}

Result<ProgramId> ProgramRuntime::mintId() const
{
    constexpr int MaxTries = 100'000;
    for (int i = 0; i < MaxTries; ++i) {
        ProgramId id{"p-" + randomHex(IdBytes)};
        const auto slot = this->owned.find(slotOf(id.text));
        if (slot != this->owned.end() && slot->second.ready) {
            return id;
        }
    }
    return fail(ErrorKind::NotReady, "this entry owns no slots");
}

kj::Promise<Result<void>> ProgramRuntime::commit(const ProgramId &program, std::string command)
{
    return this->client.submitJournal(command).then([this, command, program](Result<void> &&done) {
        if (!done || !this->owned.contains(slotOf(program.text))) {
            return Result<void>(kj::mv(done));
        }
        FlatMessage message(command);
        this->copy.adoptSlotEpoch(slotOf(program.text), this->owned.at(slotOf(program.text)).epoch);
        return this->copy.doCommand(message.root<Wire::JournalCommand>(), true);
    });
}

kj::Promise<Result<ProgramId>> ProgramRuntime::create(ProgramWish wish)
{
    const Result<ProgramId> id = this->mintId();
    if (!id) {
        return Result<ProgramId>(tl::unexpected(id.error()));
    }
    const SiteDeclaration &site = this->follower.views.get()->site;
    ProgramRecord program;
    program.id = *id;
    program.tenant = wish.tenant;
    program.parent = wish.parent;
    program.budget = wish.budget;
    program.budget.calls = wish.budget.calls == 0 ? site.defaultCalls : wish.budget.calls;
    program.budget.tokens = wish.budget.tokens == 0 ? site.defaultTokens : wish.budget.tokens;
    program.budget.milliseconds = wish.budget.milliseconds == 0 ? site.defaultMs : wish.budget.milliseconds;
    program.createdMs = wallMsNow();
    program.requestId = wish.requestId;
    Command message;
    auto command = initCommand(message, *id, this->owned.at(slotOf(id->text)).epoch);
    writeProgram(command.initCreate(), program);
    return this->commit(*id, flatBytes(message)).then([id = *id](Result<void> &&done) -> Result<ProgramId> {
        if (!done) {
            return tl::unexpected(done.error());
        }
        logEvent(EventKind::ProgramCreated, {{"program", id.text}});
        return id;
    });
}

Result<CallStart> ProgramRuntime::checkCall(
    const ProgramRecord &program, CallNumber number, const CallRequest &request) const
{
    if (const CallRecord *known = program.find(number)) {
        if (known->digest != request.digest) {
            return fail(ErrorKind::Conflict, "call " + std::to_string(number.value) + " was made with other content");
        }
        if (known->state == CallState::Ended) {
            return CallStart{true, *known, {}};
        }
        return fail(ErrorKind::Conflict, "call " + std::to_string(number.value) + " is under way");
    }
    if (program.ended()) {
        return fail(ErrorKind::ProgramEnded, "program " + program.id.text);
    }
    if (number.value != program.calls.size() + 1 || this->running.contains(program.id)) {
        return fail(ErrorKind::Conflict,
            "call " + std::to_string(number.value) + " must wait for the one before it; the next is "
                + std::to_string(program.calls.size() + 1));
    }
    const bool spent = program.spent.calls >= program.budget.calls || program.spent.tokens >= program.budget.tokens
        || wallMsNow() - program.createdMs >= static_cast<std::int64_t>(program.budget.milliseconds);
    if (spent) {
        return fail(ErrorKind::BudgetSpent, "program " + program.id.text);
    }
    CallStart start;
    start.call.number = number;
    start.call.digest = request.digest;
    start.call.attempt = AttemptId{"a-" + randomHex(IdBytes)};
    start.call.request = request.body;
    start.history = historyOf(program);
    return start;
}

kj::Promise<Result<CallStart>> ProgramRuntime::beginCall(
    ProgramId program, CallNumber number, TenantId tenant, CallRequest request)
{
    const auto found = this->findFor(program, tenant);
    Result<CallStart> start = found ? this->checkCall(**found, number, request) : tl::unexpected(found.error());
    if (!start || start->stored) {
        return start;
    }
    this->running[program] = start->call.attempt;
    logEvent(EventKind::CallAccepted,
        {{"program", program.text}, {"call", std::to_string(number.value)}, {"attempt", start->call.attempt.text}});
    if (request.kind == CallKind::Model || request.idempotent) {
        return start;
    }
    Command message;
    auto command = initCommand(message, program, this->owned.at(slotOf(program.text)).epoch);
    auto begin = command.initBegin();
    begin.setProgram(program.text);
    writeCall(begin.initCall(), start->call);
    return this->commit(program, flatBytes(message))
        .then([this, program, start = std::move(start)](Result<void> &&done) mutable -> Result<CallStart> {
            if (!done) {
                this->running.erase(program);
                return tl::unexpected(done.error());
            }
            return std::move(start);
        });
}

kj::Promise<Result<void>> ProgramRuntime::endCall(ProgramId program, CallRecord call)
{
    const auto slot = this->owned.find(slotOf(program.text));
    if (slot == this->owned.end()) {
        this->running.erase(program);
        return Result<void>(fail(ErrorKind::StaleEpoch, "the slot has another owner", Ran::Unknown));
    }
    Command message;
    auto command = initCommand(message, program, slot->second.epoch);
    auto end = command.initEnd();
    end.setProgram(program.text);
    writeCall(end.initCall(), call);
    return this->commit(program, flatBytes(message)).then([this, program, call](Result<void> &&done) {
        this->running.erase(program);
        logEvent(EventKind::CallEnded,
            {{"program", program.text}, {"call", std::to_string(call.number.value)},
                {"status", std::to_string(call.status)}, {"endpoint", call.endpoint.text}});
        return kj::mv(done);
    });
}

kj::Promise<Result<void>> ProgramRuntime::endProgram(ProgramId program, TenantId tenant)
{
    const auto found = this->findFor(program, tenant);
    if (!found) {
        return Result<void>(tl::unexpected(found.error()));
    }
    if ((*found)->ended()) {
        return Result<void>();
    }
    Command message;
    auto command = initCommand(message, program, this->owned.at(slotOf(program.text)).epoch);
    command.setEndProgram(program.text);
    return this->commit(program, flatBytes(message)).then([program](Result<void> &&done) {
        if (done) {
            logEvent(EventKind::ProgramEnded, {{"program", program.text}});
        }
        return kj::mv(done);
    });
}

} // namespace Chestnuthook
