/** @file replica_node_base.cpp  Feeds inputs to the core and executes its actions. */
#include "consensus/replica_node_base.h"

#include <utility>

#include <capnp/message.h>

#include "core/boot_clock_func.h"
#include "core/compression_func.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(25);
constexpr Duration MissingLeaderLogInterval = std::chrono::seconds(2);
constexpr std::size_t MinCompressedBytes = 64U << 10U; ///< Smaller commands are sent to the other members as they are.

class MemberServer final : public Wire::Member::Server
{
public:
    explicit MemberServer(ReplicaNode &node)
        : node(node)
    {
    }

    kj::Promise<void> send(SendContext context) override
    {
        if (this->node.dropTraffic) {
            return kj::NEVER_DONE;
        }
        for (const auto message : context.getParams().getMessages()) {
            this->node.learnAddress(textOf(message.getFrom()), textOf(message.getFromAddress()));
            this->node.receive(readMessage(message));
        }
        context.getResults().setTakesCompressed(true);
        return kj::READY_NOW;
    }

    kj::Promise<void> hello(HelloContext context) override
    {
        if (this->node.dropTraffic) {
            return kj::NEVER_DONE;
        }
        context.getResults().setIdentity(this->node.identity());
        context.getResults().setFounded(this->node.hasRaftState());
        return kj::READY_NOW;
    }

private:
    ReplicaNode &node; ///< Outlives this.
};

std::string proposalBytes(std::uint8_t tag, const std::string &command, const std::string &requestId)
{
    capnp::MallocMessageBuilder message;
    auto proposal = message.initRoot<Wire::Proposal>();
    proposal.setMachine(tag);
    proposal.setRequestId(dataOf(requestId));
    proposal.setCommand(dataOf(command));
    return flatBytes(message);
}

template<typename T>
kj::Promise<Result<T>> unbox(kj::Promise<BoxedResult<T>> promise)
{
    return promise.then([](BoxedResult<T> &&result) {
        return std::move(*result);
    });
}

} // namespace

ReplicaNode::ReplicaNode(ControlLoop &loop, ReplicaSettings settings)
    : loop(loop)
    , settings(std::move(settings))
    , transport(loop.rpc(), this->settings.address)
    , tickPace(TickInterval, this->settings.raft.heartbeatTicks)
{
}

void ReplicaNode::addStateMachine(std::uint8_t tag, StateMachineCallbacks callbacks)
{
    this->stateMachines[tag] = std::move(callbacks);
}

Result<void> ReplicaNode::open(const std::string &folder)
{
    Result<void> done = this->storage.loadOrCreateIdentity(folder, this->settings.name);
    if (!done) {
        return done;
    }
    Result<RaftPersistentState> restored = this->storage.open(folder, this->settings.budget.keptBytes);
    if (!restored) {
        return tl::unexpected(restored.error());
    }
    if (restored->snapshot.index != 0) {
        this->restore(restored->snapshot.data);
    }
    this->appliedIndex = restored->snapshot.index;
    logEvent(EventKind::StorageOpened,
        {{"identity", this->identity()}, {"snapshot", std::to_string(restored->snapshot.index)},
            {"entries", std::to_string(restored->entries.size())}, {"term", std::to_string(restored->hardState.term)}});
    const std::uint64_t seed = std::hash<std::string>()(this->identity());
    RaftSettings raft = this->settings.raft;
    raft.maxInflightBytes = this->settings.budget.maxInflightBytes;
    this->core = std::make_unique<RaftCore>(raft, this->identity(), seed, std::move(*restored));
    return {};
}

void ReplicaNode::start()
{
    this->storageThread = std::make_unique<StorageThread>(this->storage, [this](std::uint64_t batch) {
        this->core->batchSynced(batch);
        this->flush();
    });
    this->tickTimer = this->loop.timers().every(TickInterval, [this]() {
        const bool isLeader = this->core->role() == RaftRole::Leader;
        for (unsigned due = this->tickPace.ticksAt(this->loop.timers().now(), isLeader); due > 0; --due) {
            this->core->tick();
        }
        this->reportMissingLeader();
        this->flush();
    });
    this->tryBootstrap();
}

kj::Promise<Result<std::string>> ReplicaNode::propose(std::uint8_t tag, std::string command, std::string requestId)
{
    Result<void> done;
    if (this->core->role() != RaftRole::Leader) {
        done = this->notLeader();
    } else {
        done = this->checkRoom(command.size());
    }
    if (!done) {
        return unbox<std::string>(boxResult(Result<std::string>(tl::unexpected(done.error()))));
    }
    std::string bytes = proposalBytes(tag, command, requestId);
    if (bytes.size() < MinCompressedBytes) {
        return this->awaitCommit(*this->core->propose(std::move(bytes)));
    }
    return this->proposeCompressed(std::make_shared<std::string>(std::move(bytes)));
}

kj::Promise<Result<std::string>> ReplicaNode::proposeCompressed(std::shared_ptr<std::string> bytes)
{
    auto compressed = this->worker.run([bytes]() {
        return compress(*bytes, CompressionEffort::Low);
    });
    return compressed.then([this, bytes](std::shared_ptr<std::string> &&compressed) {
        const Result<void> hasRoom = this->checkRoom(bytes->size()); // Others may have been proposed meanwhile.
        if (!hasRoom) {
            return unbox<std::string>(boxResult(Result<std::string>(tl::unexpected(hasRoom.error()))));
        }
        const auto index = this->core->propose(SharedBytes(std::move(*bytes), std::move(*compressed)));
        if (!index) {
            return unbox<std::string>(boxResult(Result<std::string>(this->notLeader())));
        }
        return this->awaitCommit(*index);
    });
}

Result<void> ReplicaNode::checkRoom(std::size_t bytes) const
{
    constexpr std::int64_t RetryAfterMs = 500;
    const LogBudget &budget = this->settings.budget;
    if (bytes > budget.maxCommandBytes) {
        return fail(ErrorKind::BodyTooLarge,
            std::to_string(bytes) + " bytes, of at most " + std::to_string(budget.maxCommandBytes)
                + " with this member's memory and disk");
    }
    if (this->isDiskFull()) {
        return fail(ErrorKind::StorageFull, "member " + this->settings.name);
    }
    const std::uint64_t uncommitted = this->core->uncommittedBytes();
    if (uncommitted > 0 && uncommitted + bytes > budget.maxUncommittedBytes) {
        Error error{
            ErrorKind::Overloaded, "changes of " + std::to_string(uncommitted) + " bytes are not committed yet"};
        error.retryAfterMs = RetryAfterMs;
        return tl::unexpected(std::move(error));
    }
    return {};
}

kj::Promise<Result<std::string>> ReplicaNode::awaitCommit(std::uint64_t index)
{
    auto pair = kj::newPromiseAndFulfiller<BoxedResult<std::string>>();
    this->pendingProposals[index] = PendingProposal{this->term(), kj::mv(pair.fulfiller)};
    this->scheduleFlush();
    return unbox<std::string>(kj::mv(pair.promise));
}

kj::Promise<Result<void>> ReplicaNode::confirmRead()
{
    const auto id = this->core->requestRead();
    if (!id) {
        return unbox<void>(boxResult(Result<void>(this->notLeader())));
    }
    auto pair = kj::newPromiseAndFulfiller<BoxedResult<void>>();
    this->reads[*id] = kj::mv(pair.fulfiller);
    this->scheduleFlush();
    return unbox<void>(kj::mv(pair.promise));
}

Wire::Member::Client ReplicaNode::makeService()
{
    return kj::heap<MemberServer>(*this);
}

std::string ReplicaNode::leaderAddress() const
{
    const std::string &leader = this->core->leader();
    const auto member = this->core->membership().find(leader);
    return member == this->core->membership().end() ? this->transport.addressOf(leader) : member->second.address;
}

std::vector<MemberView> ReplicaNode::members() const
{
    std::vector<MemberView> views;
    for (const auto &[id, member] : this->core->membership()) {
        MemberView view{id, member.address, member.voter ? "follower" : "learner", this->core->matchIndexOf(id)};
        if (id == this->core->leader()) {
            view.role = "leader";
        }
        views.push_back(std::move(view));
    }
    return views;
}

void ReplicaNode::learnAddress(const std::string &member, const std::string &address)
{
    if (!this->core->membership().contains(member)) {
        this->transport.setAddress(member, address);
    }
}

void ReplicaNode::receive(const RaftMessage &message)
{
    this->core->receive(message);
    this->scheduleFlush();
}

bool ReplicaNode::hasRaftState() const
{
    return this->core->hardState().term != 0 || this->core->lastIndex() != 0;
}

tl::unexpected<Error> ReplicaNode::notLeader() const
{
    return fail(ErrorKind::NotLeader, "member " + this->settings.name);
}

void ReplicaNode::resign()
{
    // Long enough for the others to elect one of them.
    this->core->resign(4 * this->settings.raft.electionTicks);
    this->scheduleFlush();
}

void ReplicaNode::scaleElectionTimeout(unsigned factor)
{
    this->core->setElectionTicks(this->settings.raft.electionTicks * factor);
}

void ReplicaNode::scheduleFlush()
{
    if (this->flushScheduled) {
        return;
    }
    this->flushScheduled = true;
    this->loop.detach(kj::evalLater([this]() {
        this->flushScheduled = false;
        this->flush();
    }));
}

void ReplicaNode::flush()
{
    const Instant start = bootClockNow();
    RaftActions actions = this->core->takeActions();
    this->executeActions(std::move(actions));
    this->handleRoleChange();
    this->recordRounds(start);
    this->transport.flush();
    this->compactIfDue();
}

void ReplicaNode::recordRounds(Instant start)
{
    const std::uint64_t started = this->core->startedRound();
    if (this->isLeader() && started > this->recordedRound) {
        this->rounds.emplace_back(started, start);
    }
    this->recordedRound = started;
    while (!this->rounds.empty() && this->rounds.front().first <= this->core->confirmedRound()) {
        this->lastQuorumContact = this->rounds.front().second;
        this->rounds.pop_front();
    }
}

void ReplicaNode::executeActions(RaftActions actions)
{
    auto messages = std::exchange(actions.messages, {});
    const auto committed = std::exchange(actions.committed, {});
    const auto confirmed = std::exchange(actions.reads, {});
    const auto installed = actions.install;
    if (actions.batch != 0) {
        this->storageThread->write(std::move(actions));
    }
    for (const auto &[id, member] : this->core->membership()) {
        this->transport.setAddress(id, member.address);
    }
    for (RaftMessage &message : messages) {
        if (!this->dropTraffic) {
            this->transport.enqueue(std::move(message));
        }
    }
    if (installed) {
        this->restore(installed->data);
        this->appliedIndex = installed->index;
        logEvent(EventKind::SnapshotTaken, {{"received", "yes"}, {"index", std::to_string(this->appliedIndex)}});
    }
    for (const RaftEntry &entry : committed) {
        this->apply(entry);
    }
    this->answerReads(confirmed);
}

void ReplicaNode::apply(const RaftEntry &entry)
{
    this->appliedIndex = entry.index;
    std::string reply;
    if (entry.kind == RaftEntryKind::Command) {
        reply = this->applyCommand(entry);
    } else if (entry.kind == RaftEntryKind::Membership) {
        logEvent(EventKind::MembershipChanged, {{"index", std::to_string(entry.index)}, {"members", entry.data.str()}});
    }
    const auto waiter = this->pendingProposals.find(entry.index);
    if (waiter == this->pendingProposals.end()) {
        return;
    }
    if (waiter->second.term == entry.term) {
        waiter->second.fulfiller->fulfill(boxResult(Result<std::string>(std::move(reply))));
    } else {
        waiter->second.fulfiller->fulfill(
            boxResult(Result<std::string>(this->notLeader()))); // Replaced by another entry; never committed.
    }
    this->pendingProposals.erase(waiter);
}

std::string ReplicaNode::applyCommand(const RaftEntry &entry)
{
    std::string reply;
    // A malformed command must have no effect on every member alike; an exception would end one member after another.
    kj::runCatchingExceptions([&]() {
        FlatMessage message(entry.data);
        const auto proposal = message.root<Wire::Proposal>();
        const std::string requestId = bytesOf(proposal.getRequestId());
        const auto first = this->replies.find(requestId);
        if (!requestId.empty() && first != this->replies.end()) {
            reply = first->second;
            return;
        }
        const auto machine = this->stateMachines.find(proposal.getMachine());
        if (machine != this->stateMachines.end()) {
            reply = machine->second.apply(entry.index, bytesOf(proposal.getCommand()));
        }
        if (!requestId.empty()) {
            this->rememberReply(requestId, entry.index, reply);
        }
    });
    return reply;
}

void ReplicaNode::answerReads(const std::vector<RaftRead> &confirmed)
{
    for (const RaftRead &read : confirmed) {
        const auto waiter = this->reads.find(read.id);
        if (waiter == this->reads.end()) {
            continue;
        }
        waiter->second->fulfill(boxResult(read.index == 0 ? Result<void>(this->notLeader()) : Result<void>()));
        this->reads.erase(waiter);
    }
}

void ReplicaNode::handleRoleChange()
{
    const RaftRole role = this->core->role();
    if (role != this->reportedRole || this->term() != this->reportedTerm) {
        if (role == RaftRole::Leader) {
            logEvent(EventKind::LeaderElected, {{"term", std::to_string(this->term())}, {"leader", this->identity()}});
        } else if (this->term() != this->reportedTerm) {
            logEvent(EventKind::TermChanged, {{"term", std::to_string(this->term())}});
        }
        if (role != RaftRole::Leader || this->term() != this->reportedTerm) {
            this->failPending();
        }
        this->rounds.clear();
        this->lastQuorumContact = Instant(0);
        this->reportedRole = role;
        this->reportedTerm = this->term();
        this->leadershipReported = false;
    }
    if (!this->leadershipReported && this->isLeader()) {
        this->leadershipReported = true;
        if (this->onBecameLeader) {
            this->onBecameLeader();
        }
    }
}

void ReplicaNode::reportMissingLeader()
{
    const Instant now = this->loop.timers().now();
    const RaftMembership &members = this->core->membership();
    const auto self = members.find(this->identity());
    const bool isVoter = self != members.end() && self->second.voter;
    if (!this->core->leader().empty() || !isVoter || this->leaderKnownAt.us == 0) {
        this->leaderKnownAt = now;
        return;
    }
    if (now - this->leaderKnownAt < MissingLeaderLogInterval) {
        return;
    }
    std::string voters;
    std::string granted;
    for (const auto &[id, member] : members) {
        voters += member.voter ? id + " " : "";
    }
    for (const std::string &id : this->core->grantedVotes()) {
        granted += id + " ";
    }
    logEvent(EventKind::SlowOperation,
        {{"what", "election"}, {"term", std::to_string(this->term())}, {"voters", voters}, {"granted", granted}});
    this->leaderKnownAt = now;
}

void ReplicaNode::failPending()
{
    auto failing = std::exchange(this->pendingProposals, {});
    for (auto &[index, waiter] : failing) {
        if (waiter.term == this->term() && this->core->role() == RaftRole::Leader) {
            this->pendingProposals[index] = kj::mv(waiter);
            continue;
        }
        waiter.fulfiller->fulfill(boxResult(
            Result<std::string>(fail(ErrorKind::NoQuorum, "leadership was lost before the commit was confirmed"))));
    }
}

} // namespace Chestnuthook
