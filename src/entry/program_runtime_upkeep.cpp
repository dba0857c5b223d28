/** @file program_runtime_upkeep.cpp  What outlives a call: intents whose owner died, caches of ended programs, their
 * sub-agents, and their retention. */
#include <utility>

#include "core/hash_func.h"
#include "entry/program_command_internal.h"
#include "entry/program_runtime_base.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration UpkeepPeriod = std::chrono::milliseconds(250);

/** After the last attempt of a program, an engine may take this long to see that it was cancelled. */
constexpr std::int64_t QuietBeforeReleaseMs = 300;

constexpr std::size_t BlockIdBytes = 12;

/** Takes the answer to an end that is forwarded. */
class StatusSink final : public Wire::AnswerSink::Server
{
public:
    explicit StatusSink(std::shared_ptr<int> status)
        : status(std::move(status))
    {
    }
    kj::Promise<void> start(StartContext context) override
    {
        *this->status = context.getParams().getStatus();
        return kj::READY_NOW;
    }
    kj::Promise<void> write(WriteContext /*context*/) override
    {
        return kj::READY_NOW;
    }
    kj::Promise<void> end(EndContext /*context*/) override
    {
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<int> status; ///< Of the answer.
};

} // namespace

void ProgramRuntime::start(TimerService &timers)
{
    this->subscription = timers.every(UpkeepPeriod, [this]() {
        this->updateSlots();
        this->upkeep();
    });
}

void ProgramRuntime::stop()
{
    this->subscription.cancel();
}

void ProgramRuntime::upkeep()
{
    const std::set<ProgramId> all = this->pending;
    for (const ProgramId &id : all) {
        if (!this->owned.contains(slotOf(id.text))) {
            this->pending.erase(id);
            this->quietSinceMs.erase(id);
        } else if (this->readyEpoch(id) && !this->busy.contains(id) && !this->running.contains(id)) {
            const ProgramRecord *program = this->copy.find(id);
            if (program != nullptr) {
                this->upkeepProgram(*program);
            } else {
                this->pending.erase(id);
            }
        }
    }
}

void ProgramRuntime::upkeepProgram(const ProgramRecord &program)
{
    if (!program.calls.empty() && program.calls.back().state == CallState::Intent) {
        this->endDeadIntent(program);
        return;
    }
    if (!program.ended()) {
        this->pending.erase(program.id);
        this->quietSinceMs.erase(program.id);
        return;
    }
    const std::int64_t quietSince = this->quietSinceMs.try_emplace(program.id, wallMsNow()).first->second;
    if (wallMsNow() - quietSince < QuietBeforeReleaseMs) {
        return;
    }
    if (!program.releases.empty()) {
        this->busy.insert(program.id);
        this->releaseCache(program.id, program.releases.front());
    } else if (!program.children.empty()) {
        this->endChildren(program);
    } else if (wallMsNow() - program.endedMs > this->follower.views.get()->site.retentionMs) {
        this->forget(program);
    }
}

void ProgramRuntime::detach(const ProgramId &program, kj::Promise<void> work)
{
    this->busy.insert(program);
    this->taskSet->add(work.then(
        [this, id = program]() {
            this->busy.erase(id);
        },
        [this, id = program](kj::Exception &&exception) {
            logEvent(EventKind::ChildFailed, {{"child", "upkeep"}, {"error", exception.getDescription().cStr()}});
            this->busy.erase(id);
        }));
}

void ProgramRuntime::endDeadIntent(const ProgramRecord &program)
{
    CallRecord call = program.calls.back();
    const bool untouched = this->neverSent.contains(call.attempt);
    if (!untouched && wallMsNow() < call.deadlineMs) {
        return;
    }
    call.failure = untouched ? Error{ErrorKind::NoQuorum, "", Ran::No, 0}
                             : Error{ErrorKind::OutcomeUnknown, "the entry that ran it was lost", Ran::Unknown, 0};
    call.status = 0;
    this->detach(
        program.id, this->takeResult(program.id, call, 0).then([this, id = program.id, call](Result<void> &&done) {
            if (done) {
                this->neverSent.erase(call.attempt);
                logEvent(EventKind::CallEnded,
                    {{"program", id.text}, {"call", std::to_string(call.number.value)}, {"outcome", "unknown"}});
            }
        }));
}

kj::Promise<void> ProgramRuntime::released(ProgramId program, EndpointId endpoint, bool confirmed)
{
    const Result<Epoch> epoch = this->readyEpoch(program);
    if (!confirmed || !epoch) {
        this->busy.erase(program);
        return kj::READY_NOW;
    }
    JournalMessage message;
    auto command = initCommand(message, program, *epoch);
    auto released = command.initReleased();
    released.setProgram(program.text);
    released.setEndpoint(endpoint.text);
    return this->commit(program, flatBytes(message)).then([this, program, endpoint](Result<void> && /*done*/) {
        this->busy.erase(program);
        logEvent(EventKind::CacheReleased, {{"program", program.text}, {"endpoint", endpoint.text}});
    });
}

void ProgramRuntime::endChildren(const ProgramRecord &program)
{
    const ProgramId child = program.children.front();
    this->detach(program.id,
        this->endChild(child, program.customer)
            .then([this, parent = program.id, child](Result<void> &&ended) -> kj::Promise<void> {
                const Result<Epoch> epoch = this->readyEpoch(parent);
                const bool gone = ended || ended.error().kind == ErrorKind::NotFound;
                if (!gone || !epoch) {
                    return kj::READY_NOW;
                }
                JournalMessage message;
                auto command = initCommand(message, parent, *epoch);
                auto childEnded = command.initChildEnded();
                childEnded.setProgram(parent.text);
                childEnded.setChild(child.text);
                return this->commit(parent, flatBytes(message)).ignoreResult();
            }));
}

kj::Promise<Result<void>> ProgramRuntime::endChild(ProgramId child, CustomerId customer)
{
    if (this->readyEpoch(child)) {
        return this->endProgram(child, customer);
    }
    const SlotRecord *slot = this->follower.state.slots.find(slotOf(child.text));
    const EntryRecord *owner = slot == nullptr ? nullptr : this->follower.state.entries.find(slot->owner);
    if (owner == nullptr || owner->id == this->follower.self.id) {
        return Result<void>(fail(ErrorKind::NotReady, "the child's slot has no owner yet"));
    }
    auto status = std::make_shared<int>(0);
    return this->peers.peer(owner->rpcAddress)
        .then([child, customer, status](Wire::EntryPeer::Client &&peer) {
            auto call = peer.forwardRequest();
            auto request = call.initRequest();
            request.setMethod("DELETE");
            request.setPath("/v1/programs/" + child.text);
            request.setTenant(customer.text);
            request.setHops(1);
            call.setSink(kj::heap<StatusSink>(status));
            return call.send().ignoreResult();
        })
        .then(
            [status]() -> Result<void> {
                constexpr int Ok = 200;
                constexpr int NotFound = 404;
                if (*status == Ok || *status == NotFound) {
                    return {};
                }
                return fail(ErrorKind::NotReady, "the child's owner answered " + std::to_string(*status));
            },
            [this, address = owner->rpcAddress](kj::Exception &&exception) -> Result<void> {
                this->peers.reset(address);
                return fail(ErrorKind::NotReady, exception.getDescription().cStr());
            });
}

void ProgramRuntime::forget(const ProgramRecord &program)
{
    JournalMessage message;
    auto command = initCommand(message, program.id, *this->readyEpoch(program.id));
    command.initForget(1).set(0, program.id.text);
    this->detach(program.id, this->commit(program.id, flatBytes(message)).then([this, id = program.id](auto && /**/) {
        this->quietSinceMs.erase(id);
    }));
}

kj::Promise<void> ProgramRuntime::returnBlocks()
{
    kj::Vector<kj::Promise<void>> returns;
    for (const auto &[program, tokens] : this->held) {
        const Result<Epoch> epoch = this->readyEpoch(program);
        if (tokens == 0 || !epoch || this->running.contains(program)) {
            continue;
        }
        JournalMessage message;
        auto command = initCommand(message, program, *epoch);
        auto reserve = command.initReserve();
        reserve.setProgram(program.text);
        reserve.setGiveBack(true);
        reserve.setId(randomHex(BlockIdBytes));
        writeBudget(reserve.initAmount(), Budget{0, tokens, 0, 0});
        returns.add(this->commit(program, flatBytes(message)).ignoreResult());
    }
    std::erase_if(this->held, [this](const auto &item) {
        return !this->running.contains(item.first);
    });
    return kj::joinPromises(returns.releaseAsArray());
}

} // namespace Chestnuthook
