/** @file program_runtime_upkeep.cpp  Periodic upkeep of programs: ends intents whose owner died, releases the caches of
 * ended programs, ends their children, and removes them after the retention. */
#include <utility>

#include "core/hash_func.h"
#include "entry/program_command_internal.h"
#include "entry/program_runtime_base.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration UpkeepInterval = std::chrono::milliseconds(250);

/** Delay before caches are released: an engine may take this long to notice that the last attempt was cancelled. */
constexpr std::int64_t IdleBeforeReleaseMs = 300;

constexpr std::size_t BlockIdBytes = 12;

/** Receives the status of a forwarded request and ignores the body. */
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
    std::shared_ptr<int> status; ///< Status of the response.
};

} // namespace

void ProgramRuntime::start(TimerService &timers)
{
    this->subscription = timers.every(UpkeepInterval, [this]() {
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
    const std::set<ProgramId> all = this->pendingUpkeep;
    for (const ProgramId &id : all) {
        if (!this->ownedSlots.contains(slotOf(id.text))) {
            this->pendingUpkeep.erase(id);
            this->idleSinceMs.erase(id);
        } else if (this->readyEpoch(id) && !this->upkeepInProgress.contains(id) && !this->running.contains(id)) {
            const ProgramRecord *program = this->journal.find(id);
            if (program != nullptr) {
                this->upkeepProgram(*program);
            } else {
                this->pendingUpkeep.erase(id);
            }
        }
    }
}

void ProgramRuntime::upkeepProgram(const ProgramRecord &program)
{
    if (!program.calls.empty() && program.calls.back().state == CallState::Intent) {
        this->endOrphanedIntent(program);
        return;
    }
    if (!program.ended()) {
        this->pendingUpkeep.erase(program.id);
        this->idleSinceMs.erase(program.id);
        return;
    }
    const std::int64_t idleSince = this->idleSinceMs.try_emplace(program.id, wallMsNow()).first->second;
    if (wallMsNow() - idleSince < IdleBeforeReleaseMs) {
        return;
    }
    if (!program.releases.empty()) {
        this->upkeepInProgress.insert(program.id);
        this->releaseCache(program.id, program.releases.front());
    } else if (!program.children.empty()) {
        this->endChildren(program);
    } else if (wallMsNow() - program.endedMs > this->follower.views.get()->site.retentionMs) {
        this->removeExpired(program);
    }
}

void ProgramRuntime::detach(const ProgramId &program, kj::Promise<void> work)
{
    this->upkeepInProgress.insert(program);
    this->taskSet->add(work.then(
        [this, id = program]() {
            this->upkeepInProgress.erase(id);
        },
        [this, id = program](kj::Exception &&exception) {
            logEvent(EventKind::ChildFailed, {{"child", "upkeep"}, {"error", exception.getDescription().cStr()}});
            this->upkeepInProgress.erase(id);
        }));
}

void ProgramRuntime::endOrphanedIntent(const ProgramRecord &program)
{
    CallRecord call = program.calls.back();
    const bool neverSent = this->unsentAttempts.contains(call.attempt);
    if (!neverSent && wallMsNow() < call.deadlineMs) {
        return;
    }
    call.failure = neverSent ? Error{ErrorKind::NoQuorum, "", Ran::No, 0}
                             : Error{ErrorKind::OutcomeUnknown, "the entry that ran it was lost", Ran::Unknown, 0};
    call.status = 0;
    this->detach(
        program.id, this->commitResult(program.id, call, 0).then([this, id = program.id, call](Result<void> &&done) {
            if (done) {
                this->unsentAttempts.erase(call.attempt);
                logEvent(EventKind::CallEnded,
                    {{"program", id.text}, {"call", std::to_string(call.number.value)}, {"outcome", "unknown"}});
            }
        }));
}

kj::Promise<void> ProgramRuntime::onCacheReleased(ProgramId program, EndpointId endpoint, bool confirmed)
{
    const Result<Epoch> epoch = this->readyEpoch(program);
    if (!confirmed || !epoch) {
        this->upkeepInProgress.erase(program);
        return kj::READY_NOW;
    }
    JournalMessage message;
    auto command = initCommand(message, program, *epoch);
    auto released = command.initReleased();
    released.setProgram(program.text);
    released.setEndpoint(endpoint.text);
    return this->commit(program, flatBytes(message)).then([this, program, endpoint](Result<void> && /*done*/) {
        this->upkeepInProgress.erase(program);
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
                return fail(ErrorKind::NotReady, "the child's owner responded with status " + std::to_string(*status));
            },
            [this, address = owner->rpcAddress](kj::Exception &&exception) -> Result<void> {
                this->peers.reset(address);
                return fail(ErrorKind::NotReady, exception.getDescription().cStr());
            });
}

void ProgramRuntime::removeExpired(const ProgramRecord &program)
{
    JournalMessage message;
    auto command = initCommand(message, program.id, *this->readyEpoch(program.id));
    command.initForget(1).set(0, program.id.text);
    this->detach(program.id, this->commit(program.id, flatBytes(message)).then([this, id = program.id](auto && /**/) {
        this->idleSinceMs.erase(id);
    }));
}

kj::Promise<void> ProgramRuntime::returnReservedTokens()
{
    kj::Vector<kj::Promise<void>> returns;
    for (const auto &[program, tokens] : this->reservedTokens) {
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
    std::erase_if(this->reservedTokens, [this](const auto &item) {
        return !this->running.contains(item.first);
    });
    return kj::joinPromises(returns.releaseAsArray());
}

} // namespace Chestnuthook
