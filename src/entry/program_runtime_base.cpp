/** @file program_runtime_base.cpp  Ownership of slots, and creation and lookup of programs. */
#include "entry/program_runtime_base.h"

#include <algorithm>
#include <utility>

#include "core/hash_func.h"
#include "entry/program_command_internal.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t IdBytes = 12;
constexpr std::size_t KeyDigestDigits = 16;

struct TaskErrorLogger final : kj::TaskSet::ErrorHandler
{
    void taskFailed(kj::Exception &&exception) override
    {
        logEvent(EventKind::ChildFailed, {{"child", "programs"}, {"error", exception.getDescription().cStr()}});
    }
};

} // namespace

ProgramId programIdForKey(const CustomerId &customer, const std::string &key)
{
    return ProgramId{"p-" + sha256Hex(customer.text + '\0' + key).substr(0, IdBytes * 2)};
}

ProgramRuntime::ProgramRuntime(FleetFollower &follower, ControlClient &client, PeerLinks &peers, kj::Timer &timer)
    : follower(follower)
    , client(client)
    , peers(peers)
    , timer(timer)
    , takeoverChain(kj::READY_NOW)
    , taskErrorHandler(kj::heap<TaskErrorLogger>())
    , taskSet(kj::heap<kj::TaskSet>(*this->taskErrorHandler))
{
}

void ProgramRuntime::updateSlots()
{
    std::vector<std::pair<SlotId, Epoch>> gained;
    for (const auto &[slot, row] : this->follower.state.slots.all()) {
        const bool mine = !row.removed && row.record.owner == this->follower.self.id;
        const auto known = this->ownedSlots.find(slot);
        if (!mine && known != this->ownedSlots.end()) {
            this->ownedSlots.erase(known);
            this->journal.dropSlot(slot);
        } else if (mine && (known == this->ownedSlots.end() || known->second.epoch != row.record.epoch)) {
            this->ownedSlots[slot] = OwnedSlot{row.record.epoch, false, true, false};
            gained.emplace_back(slot, row.record.epoch);
        } else if (mine && !known->second.ready && !known->second.opening) {
            known->second.opening = true;
            gained.emplace_back(slot, row.record.epoch);
        }
    }
    if (!gained.empty()) {
        this->takeoverChain = this->takeoverChain
                                  .then([this, gained = std::move(gained)]() mutable {
                                      return this->openSlots(std::move(gained));
                                  })
                                  .eagerlyEvaluate([](kj::Exception &&exception) {
                                      logEvent(EventKind::SlotMoved, {{"failed", exception.getDescription().cStr()}});
                                  });
    }
}

kj::Promise<void> ProgramRuntime::openSlots(std::vector<std::pair<SlotId, Epoch>> slots)
{
    JournalMessage message;
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
            if (programs) {
                this->adoptSlots(slots, std::move(*programs));
                logEvent(EventKind::SlotMoved, {{"slots", std::to_string(slots.size())}});
                return;
            }
            for (const auto &[slot, epoch] : slots) {
                const auto known = this->ownedSlots.find(slot);
                if (known != this->ownedSlots.end() && known->second.epoch == epoch) {
                    known->second.opening = false; // The upkeep retries.
                }
            }
            logEvent(EventKind::SlotMoved, {{"failed", programs.error().what}});
        });
}

void ProgramRuntime::adoptSlots(const std::vector<std::pair<SlotId, Epoch>> &slots, std::vector<ProgramRecord> programs)
{
    std::set<SlotId> taken;
    for (const auto &[slot, epoch] : slots) {
        const auto known = this->ownedSlots.find(slot);
        if (known != this->ownedSlots.end() && known->second.epoch == epoch) {
            if (known->second.stale) {
                known->second = OwnedSlot{epoch, false, false, false}; // The next update reads the slot again.
                continue;
            }
            known->second = OwnedSlot{epoch, true, false, false};
            this->journal.dropSlot(slot);
            this->journal.setSlotEpoch(slot, epoch);
            taken.insert(slot);
        }
    }
    for (ProgramRecord &program : programs) {
        if (!taken.contains(slotOf(program.id.text))) {
            continue;
        }
        if (program.ended() || (!program.calls.empty() && program.calls.back().state == CallState::Intent)) {
            this->pendingUpkeep.insert(program.id);
        }
        this->journal.adopt(std::move(program));
    }
}

void ProgramRuntime::reloadSlot(SlotId slot)
{
    const auto known = this->ownedSlots.find(slot);
    if (known != this->ownedSlots.end()) {
        known->second.ready = false;
    }
}

Result<void> ProgramRuntime::ready() const
{
    if (!this->follower.isFresh()) {
        return fail(ErrorKind::NotReady, "the fleet state is not confirmed");
    }
    for (const auto &[slot, own] : this->ownedSlots) {
        if (!own.ready) {
            return fail(ErrorKind::NotReady, "slots are being taken over");
        }
    }
    return {};
}

Result<Epoch> ProgramRuntime::readyEpoch(const ProgramId &program) const
{
    const auto slot = this->ownedSlots.find(slotOf(program.text));
    if (slot == this->ownedSlots.end() || !slot->second.ready) {
        return fail(ErrorKind::NotReady, "program " + program.text + " is being moved to another entry");
    }
    return slot->second.epoch;
}

Result<const ProgramRecord *> ProgramRuntime::findAuthorized(const ProgramId &program, const CustomerId &customer) const
{
    const Result<Epoch> epoch = this->readyEpoch(program);
    if (!epoch) {
        return tl::unexpected(epoch.error());
    }
    const ProgramRecord *record = this->journal.find(program);
    if (record == nullptr) {
        return fail(ErrorKind::NotFound, "no program " + program.text);
    }
    if (record->customer != customer) {
        return fail(ErrorKind::ForeignProgram, "program " + program.text);
    }
    return record;
}

Result<ProgramRecord> ProgramRuntime::get(const ProgramId &program, const CustomerId &customer) const
{
    const auto found = this->findAuthorized(program, customer);
    if (!found) {
        return tl::unexpected(found.error());
    }
    return **found;
}

Result<ProgramId> ProgramRuntime::generateId(const std::string &prefix) const
{
    constexpr int MaxTries = 100'000;
    for (int i = 0; i < MaxTries; ++i) {
        const ProgramId id{"p-" + prefix + randomHex(IdBytes - prefix.size() / 2)};
        if (this->readyEpoch(id)) {
            return id;
        }
    }
    return fail(ErrorKind::NotReady, "this entry owns no slots");
}

kj::Promise<Result<void>> ProgramRuntime::commit(const ProgramId &program, std::string command)
{
    const Result<Epoch> epoch = this->readyEpoch(program);
    if (!epoch) {
        return Result<void>(tl::unexpected(epoch.error()));
    }
    const SlotId slot = slotOf(program.text);
    return this->client.submitJournal(command).then([this, command, slot, epoch = *epoch](Result<void> &&done) {
        const auto known = this->ownedSlots.find(slot);
        if (known == this->ownedSlots.end() || known->second.epoch != epoch) {
            return Result<void>(kj::mv(done)); // The slot has moved; its programs are no longer held here.
        }
        if (!known->second.ready) {
            known->second.stale = true;
            return Result<void>(kj::mv(done));
        }
        FlatMessage message(command);
        const bool differs = done && !this->journal.doCommand(message.root<Wire::JournalCommand>(), true);
        const bool unknown = !done && done.error().kind == ErrorKind::NoQuorum;
        if (differs || unknown) {
            this->reloadSlot(slot);
        }
        return Result<void>(kj::mv(done));
    });
}

Result<ProgramRecord> ProgramRuntime::newProgram(const ProgramParameters &parameters) const
{
    const SiteDeclaration &site = this->follower.views.get()->site;
    ProgramRecord program;
    program.customer = parameters.customer;
    program.parent = parameters.parent;
    program.createdMs = wallMsNow();
    program.requestId = parameters.idempotencyKey.empty() ? "" : parameters.idempotencyKey + ":" + parameters.digest;
    Budget bound{site.defaultCalls, site.defaultTokens, site.defaultMs, site.maxDepth};
    const std::string digest =
        parameters.idempotencyKey.empty() ? "" : sha256Hex(parameters.idempotencyKey).substr(0, KeyDigestDigits);
    if (parameters.parent.empty()) {
        program.id = parameters.idempotencyKey.empty()
            ? ProgramId{}
            : programIdForKey(parameters.customer, parameters.idempotencyKey);
    } else {
        const auto parent = this->findAuthorized(parameters.parent, parameters.customer);
        if (!parent) {
            return tl::unexpected(parent.error());
        }
        const Budget &all = (*parent)->budget;
        const Budget &spent = (*parent)->spent;
        const auto age = static_cast<std::uint64_t>(std::max<std::int64_t>(0, wallMsNow() - (*parent)->createdMs));
        bound = Budget{(all.calls - spent.calls) / 2, (all.tokens - spent.tokens) / 2,
            all.milliseconds - std::min(all.milliseconds, age), all.depth == 0 ? 0 : all.depth - 1};
        for (const ProgramId &child : (*parent)->children) {
            if (!digest.empty() && child.text.starts_with("p-" + digest)) {
                program.id = child;
            }
        }
    }
    program.budget.calls = parameters.budget.calls == 0 ? bound.calls : parameters.budget.calls;
    program.budget.tokens = parameters.budget.tokens == 0 ? bound.tokens : parameters.budget.tokens;
    program.budget.milliseconds =
        parameters.budget.milliseconds == 0 ? bound.milliseconds : parameters.budget.milliseconds;
    if (!parameters.parent.empty()) {
        program.budget.milliseconds = std::min(program.budget.milliseconds, bound.milliseconds);
    }
    program.budget.depth = bound.depth;
    if (program.id.empty()) {
        const Result<ProgramId> id = this->generateId(digest);
        if (!id) {
            return tl::unexpected(id.error());
        }
        program.id = *id;
    }
    return program;
}

kj::Promise<Result<void>> ProgramRuntime::reserveForChild(const ProgramRecord &parent, const ProgramRecord &child)
{
    const Result<Epoch> epoch = this->readyEpoch(parent.id);
    if (!epoch) {
        return Result<void>(tl::unexpected(epoch.error()));
    }
    JournalMessage message;
    auto command = initCommand(message, parent.id, *epoch);
    auto reserved = command.initCarve();
    reserved.setProgram(parent.id.text);
    reserved.setChild(child.id.text);
    writeBudget(reserved.initAmount(), child.budget);
    return this->commit(parent.id, flatBytes(message));
}

kj::Promise<Result<ProgramId>> ProgramRuntime::create(ProgramParameters parameters)
{
    Result<ProgramRecord> made = this->newProgram(parameters);
    const Result<Epoch> epoch = made ? this->readyEpoch(made->id) : tl::unexpected(made.error());
    if (!epoch) {
        return Result<ProgramId>(tl::unexpected(epoch.error()));
    }
    kj::Promise<Result<void>> reserved = Result<void>();
    if (!parameters.parent.empty()) {
        reserved = this->reserveForChild(**this->findAuthorized(parameters.parent, parameters.customer), *made);
    }
    return reserved
        .then([this, program = *made, epoch = *epoch](Result<void> &&done) -> kj::Promise<Result<void>> {
            if (!done) {
                return Result<void>(kj::mv(done));
            }
            JournalMessage message;
            auto command = initCommand(message, program.id, epoch);
            writeProgram(command.initCreate(), program);
            return this->commit(program.id, flatBytes(message));
        })
        .then([id = made->id, parameters](Result<void> &&done) -> Result<ProgramId> {
            if (!done) {
                return tl::unexpected(done.error());
            }
            logEvent(EventKind::ProgramCreated,
                {{"program", id.text}, {"tenant", parameters.customer.text}, {"parent", parameters.parent.text},
                    {"key_id", parameters.key.text}});
            return id;
        });
}

kj::Promise<Result<void>> ProgramRuntime::endProgram(ProgramId program, CustomerId customer)
{
    const auto found = this->findAuthorized(program, customer);
    if (!found) {
        return Result<void>(tl::unexpected(found.error()));
    }
    if ((*found)->ended()) {
        return Result<void>();
    }
    JournalMessage message;
    auto command = initCommand(message, program, *this->readyEpoch(program));
    command.setEndProgram(program.text);
    return this->commit(program, flatBytes(message)).then([this, program](Result<void> &&done) {
        if (done) {
            logEvent(EventKind::ProgramEnded, {{"program", program.text}});
            this->pendingUpkeep.insert(program);
            this->reservedTokens.erase(program);
            const auto call = this->running.find(program);
            if (call != this->running.end() && call->second.stream->cancellable) {
                call->second.stream->cancel.cancel();
            }
        }
        return kj::mv(done);
    });
}

} // namespace Chestnuthook
