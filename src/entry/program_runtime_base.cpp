/** @file program_runtime_base.cpp  Slots, look-ups and creation of programs. */
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
constexpr std::size_t KeyPrefixDigits = 16;

struct LogFailures final : kj::TaskSet::ErrorHandler
{
    void taskFailed(kj::Exception &&exception) override
    {
        logEvent(EventKind::ChildFailed, {{"child", "programs"}, {"error", exception.getDescription().cStr()}});
    }
};

} // namespace

ProgramId programOfKey(const CustomerId &customer, const std::string &key)
{
    return ProgramId{"p-" + sha256Hex(customer.text + '\0' + key).substr(0, IdBytes * 2)};
}

ProgramRuntime::ProgramRuntime(FleetFollower &follower, ControlClient &client, PeerLinks &peers, kj::Timer &timer)
    : follower(follower)
    , client(client)
    , peers(peers)
    , timer(timer)
    , takingOver(kj::READY_NOW)
    , failures(kj::heap<LogFailures>())
    , taskSet(kj::heap<kj::TaskSet>(*this->failures))
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
            this->owned[slot] = OwnedSlot{row.record.epoch, false, true, false};
            gained.emplace_back(slot, row.record.epoch);
        } else if (mine && !known->second.ready && !known->second.opening) {
            known->second.opening = true;
            gained.emplace_back(slot, row.record.epoch);
        }
    }
    if (!gained.empty()) {
        this->takingOver = this->takingOver
                               .then([this, gained = std::move(gained)]() mutable {
                                   return this->takeOver(std::move(gained));
                               })
                               .eagerlyEvaluate([](kj::Exception &&exception) {
                                   logEvent(EventKind::SlotMoved, {{"failed", exception.getDescription().cStr()}});
                               });
    }
}

kj::Promise<void> ProgramRuntime::takeOver(std::vector<std::pair<SlotId, Epoch>> slots)
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
                const auto known = this->owned.find(slot);
                if (known != this->owned.end() && known->second.epoch == epoch) {
                    known->second.opening = false; // Tried again by the upkeep.
                }
            }
            logEvent(EventKind::SlotMoved, {{"failed", programs.error().what}});
        });
}

void ProgramRuntime::adoptSlots(const std::vector<std::pair<SlotId, Epoch>> &slots, std::vector<ProgramRecord> programs)
{
    std::set<SlotId> taken;
    for (const auto &[slot, epoch] : slots) {
        const auto known = this->owned.find(slot);
        if (known != this->owned.end() && known->second.epoch == epoch) {
            if (known->second.outdated) {
                known->second = OwnedSlot{epoch, false, false, false}; // Read again.
                continue;
            }
            known->second = OwnedSlot{epoch, true, false, false};
            this->copy.dropSlot(slot);
            this->copy.setSlotEpoch(slot, epoch);
            taken.insert(slot);
        }
    }
    for (ProgramRecord &program : programs) {
        if (!taken.contains(slotOf(program.id.text))) {
            continue;
        }
        if (program.ended() || (!program.calls.empty() && program.calls.back().state == CallState::Intent)) {
            this->pending.insert(program.id);
        }
        this->copy.adopt(std::move(program));
    }
}

void ProgramRuntime::reload(SlotId slot)
{
    const auto known = this->owned.find(slot);
    if (known != this->owned.end()) {
        known->second.ready = false;
    }
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

Result<Epoch> ProgramRuntime::readyEpoch(const ProgramId &program) const
{
    const auto slot = this->owned.find(slotOf(program.text));
    if (slot == this->owned.end() || !slot->second.ready) {
        return fail(ErrorKind::NotReady, "program " + program.text + " is being moved to another entry");
    }
    return slot->second.epoch;
}

Result<const ProgramRecord *> ProgramRuntime::findFor(const ProgramId &program, const CustomerId &customer) const
{
    const Result<Epoch> epoch = this->readyEpoch(program);
    if (!epoch) {
        return tl::unexpected(epoch.error());
    }
    const ProgramRecord *record = this->copy.find(program);
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
    const auto found = this->findFor(program, customer);
    if (!found) {
        return tl::unexpected(found.error());
    }
    return **found;
}

Result<ProgramId> ProgramRuntime::mintId(const std::string &prefix) const
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
        const auto known = this->owned.find(slot);
        if (known == this->owned.end() || known->second.epoch != epoch) {
            return Result<void>(kj::mv(done)); // The copy is gone.
        }
        if (!known->second.ready) {
            known->second.outdated = true;
            return Result<void>(kj::mv(done));
        }
        FlatMessage message(command);
        const bool differs = done && !this->copy.doCommand(message.root<Wire::JournalCommand>(), true);
        const bool unknown = !done && done.error().kind == ErrorKind::NoQuorum;
        if (differs || unknown) {
            this->reload(slot);
        }
        return Result<void>(kj::mv(done));
    });
}

Result<ProgramRecord> ProgramRuntime::newProgram(const ProgramWish &wish) const
{
    const SiteDeclaration &site = this->follower.views.get()->site;
    ProgramRecord program;
    program.customer = wish.customer;
    program.parent = wish.parent;
    program.createdMs = wallMsNow();
    program.requestId = wish.requestKey.empty() ? "" : wish.requestKey + ":" + wish.digest;
    Budget bound{site.defaultCalls, site.defaultTokens, site.defaultMs, site.maxDepth};
    const std::string digest = wish.requestKey.empty() ? "" : sha256Hex(wish.requestKey).substr(0, KeyPrefixDigits);
    if (wish.parent.empty()) {
        program.id = wish.requestKey.empty() ? ProgramId{} : programOfKey(wish.customer, wish.requestKey);
    } else {
        const auto parent = this->findFor(wish.parent, wish.customer);
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
    program.budget.calls = wish.budget.calls == 0 ? bound.calls : wish.budget.calls;
    program.budget.tokens = wish.budget.tokens == 0 ? bound.tokens : wish.budget.tokens;
    program.budget.milliseconds = wish.budget.milliseconds == 0 ? bound.milliseconds : wish.budget.milliseconds;
    if (!wish.parent.empty()) {
        program.budget.milliseconds = std::min(program.budget.milliseconds, bound.milliseconds);
    }
    program.budget.depth = bound.depth;
    if (program.id.empty()) {
        const Result<ProgramId> id = this->mintId(digest);
        if (!id) {
            return tl::unexpected(id.error());
        }
        program.id = *id;
    }
    return program;
}

kj::Promise<Result<void>> ProgramRuntime::carve(const ProgramRecord &parent, const ProgramRecord &child)
{
    const Result<Epoch> epoch = this->readyEpoch(parent.id);
    if (!epoch) {
        return Result<void>(tl::unexpected(epoch.error()));
    }
    JournalMessage message;
    auto command = initCommand(message, parent.id, *epoch);
    auto carved = command.initCarve();
    carved.setProgram(parent.id.text);
    carved.setChild(child.id.text);
    writeBudget(carved.initAmount(), child.budget);
    return this->commit(parent.id, flatBytes(message));
}

kj::Promise<Result<ProgramId>> ProgramRuntime::create(ProgramWish wish)
{
    Result<ProgramRecord> made = this->newProgram(wish);
    const Result<Epoch> epoch = made ? this->readyEpoch(made->id) : tl::unexpected(made.error());
    if (!epoch) {
        return Result<ProgramId>(tl::unexpected(epoch.error()));
    }
    kj::Promise<Result<void>> carved = Result<void>();
    if (!wish.parent.empty()) {
        carved = this->carve(**this->findFor(wish.parent, wish.customer), *made);
    }
    return carved
        .then([this, program = *made, epoch = *epoch](Result<void> &&done) -> kj::Promise<Result<void>> {
            if (!done) {
                return Result<void>(kj::mv(done));
            }
            JournalMessage message;
            auto command = initCommand(message, program.id, epoch);
            writeProgram(command.initCreate(), program);
            return this->commit(program.id, flatBytes(message));
        })
        .then([id = made->id, wish](Result<void> &&done) -> Result<ProgramId> {
            if (!done) {
                return tl::unexpected(done.error());
            }
            logEvent(EventKind::ProgramCreated,
                {{"program", id.text}, {"tenant", wish.customer.text}, {"parent", wish.parent.text},
                    {"key_id", wish.key.text}});
            return id;
        });
}

kj::Promise<Result<void>> ProgramRuntime::endProgram(ProgramId program, CustomerId customer)
{
    const auto found = this->findFor(program, customer);
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
            this->pending.insert(program);
            this->held.erase(program);
            const auto call = this->running.find(program);
            if (call != this->running.end() && call->second.stream->cancellable) {
                call->second.stream->cancel.cancel();
            }
        }
        return kj::mv(done);
    });
}

} // namespace Chestnuthook
