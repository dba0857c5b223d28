/** @file replica_node_base.h  A member of a Raft group with its log, storage, transport and state machines. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async.h>

#include "consensus/log_budget_type.h"
#include "consensus/member_transport_base.h"
#include "consensus/raft_core_base.h"
#include "consensus/raft_storage_base.h"
#include "consensus/storage_thread_base.h"
#include "consensus/tick_pace_base.h"
#include "core/error_type.h"
#include "core/timer_base.h"
#include "rpc/consensus.capnp.h"
#include "rpc/control_loop_base.h"
#include "rpc/worker_thread_base.h"

namespace Chestnuthook
{

/** Callbacks of one state machine. */
struct StateMachineCallbacks
{
    std::function<std::string(std::uint64_t, std::string_view)> apply; ///< Applies a command; returns its reply.
    std::function<std::string()> snapshot; ///< Serializes the whole state.
    std::function<void(std::string_view)> restore; ///< Replaces the state.
};

/** Configuration of a member. */
struct ReplicaSettings
{
    std::string name; ///< Name of this member.
    std::string address; ///< Own control port, ip:port.
    std::map<std::string, std::string> initialMembers; ///< Addresses by name in a new group; empty: this member only.
    bool join = false; ///< Never bootstrap a group; wait to be added to one.
    std::uint64_t snapshotEntries = 10000; ///< Entries applied between snapshots, at most.
    LogBudget budget = logBudget(0, 0); ///< Bounds of the log in bytes.
    RaftSettings raft; ///< Parameters of the protocol.
};

/** One member as shown to operators. */
struct MemberView
{
    std::string identity; ///< Name and random part.
    std::string address; ///< ip:port.
    std::string role; ///< leader, follower, candidate or learner.
    std::uint64_t matchIndex = 0; ///< Highest log index known to be durable there.
};

/** A result for a kj promise, allocated on the heap, because the compiler warns that a Result inside a kj promise may
 * be uninitialized. */
template<typename T>
using BoxedResult = std::unique_ptr<Result<T>>;

template<typename T>
[[nodiscard]] BoxedResult<T> boxResult(Result<T> result)
{
    return std::make_unique<Result<T>>(std::move(result));
}

/** One member of a Raft group. Used on the control thread only. */
class ReplicaNode
{
public:
    ReplicaNode(ControlLoop &loop, ReplicaSettings settings);
    ReplicaNode(const ReplicaNode &) = delete;
    ReplicaNode &operator=(const ReplicaNode &) = delete;

    /** Registers a state machine under @p tag. Must be called before `open`. */
    void addStateMachine(std::uint8_t tag, StateMachineCallbacks callbacks);

    /** Restores the state stored in @p folder. Errors: StorageFailed, StorageCorrupt. */
    Result<void> open(const std::string &folder);

    /** Starts storage, ticks and, if needed, the bootstrap of the group. */
    void start();

    /** Commits @p command. A command resent with the same non-empty @p requestId gets the first reply.
     * Errors: NotLeader; those of `checkRoom`; NoQuorum if leadership was lost meanwhile and the command may still be
     * committed. */
    [[nodiscard]] kj::Promise<Result<std::string>> propose(
        std::uint8_t tag, std::string command, std::string requestId);

    /** Whether a command of @p bytes can be taken now. Errors: BodyTooLarge; Overloaded while too much isn't committed;
     * StorageFull. */
    [[nodiscard]] Result<void> checkRoom(std::size_t bytes) const;
    /** Whether nothing can be written because the disk is full. */
    [[nodiscard]] bool isDiskFull() const
    {
        return this->storageThread != nullptr && this->storageThread->isDiskFull();
    }

    /** Resolves once the state machines have applied all entries that were committed at the time of the call, as
     * confirmed by a quorum. Errors: NotLeader, NoQuorum. */
    [[nodiscard]] kj::Promise<Result<void>> confirmRead();

    /** Adds a member as a learner and promotes it to voter once it has caught up. Resolves when it has all committed
     * entries. May be called again after a failure. Errors: NotLeader, NoQuorum, Conflict. */
    [[nodiscard]] kj::Promise<Result<void>> addMember(std::string name, std::string address);
    /** Errors: NotLeader, NoQuorum, NotFound, Conflict. */
    [[nodiscard]] kj::Promise<Result<void>> removeMember(std::string name);
    /** Adds the member @p identity as a learner. Resolves when that is committed, before it has caught up. Errors:
     * NotLeader, NoQuorum. */
    [[nodiscard]] kj::Promise<Result<void>> addLearner(const std::string &identity, const std::string &address);
    /** Makes the learner @p identity a voter. It should have caught up. Errors: NotLeader, NoQuorum, NotFound. */
    [[nodiscard]] kj::Promise<Result<void>> promoteLearner(const std::string &identity);
    /** Whether this member is in no group, as far as its log is committed. */
    [[nodiscard]] bool isOutsideGroup() const
    {
        return this->core->isMembershipCommitted() && !this->core->membership().contains(this->identity());
    }

    /** Gives up the lead; see RaftCore::resign. */
    void resign();
    /** Multiplies the election timeout of the settings by @p factor, at least 1. */
    void scaleElectionTimeout(unsigned factor);

    /** Creates the capability for the other members. */
    [[nodiscard]] Wire::Member::Client makeService();

    /** Whether this member leads and has committed an entry of its term, so that its state machines include all
     * committed entries. */
    [[nodiscard]] bool isLeader() const
    {
        return this->core->committedInTerm();
    }
    [[nodiscard]] std::uint64_t term() const
    {
        return this->core->hardState().term;
    }
    /** When the last round of messages began that a quorum has acknowledged while this member leads in its current
     * term; of the boot clock, 0 for none. No other member is elected within the election timeout after that. */
    [[nodiscard]] Instant quorumContactAt() const
    {
        return this->lastQuorumContact;
    }
    [[nodiscard]] std::uint64_t commitIndex() const
    {
        return this->core->commitIndex();
    }
    /** Address of the leader; empty if unknown. */
    [[nodiscard]] std::string leaderAddress() const;
    [[nodiscard]] std::vector<MemberView> members() const;
    [[nodiscard]] const std::string &identity() const
    {
        return this->storage.identity();
    }

    /** Called when `isLeader` becomes true. */
    std::function<void()> onBecameLeader;

    bool dropTraffic = false; ///< Test hook: drops all messages to and from other members.

    // Called by the Member service.
    void learnAddress(const std::string &member, const std::string &address);
    void receive(const RaftMessage &message);
    [[nodiscard]] bool hasRaftState() const;

private:
    /** A proposal that is not committed yet. */
    struct PendingProposal
    {
        std::uint64_t term = 0; ///< Term of the entry; a committed entry of another term has replaced it.
        kj::Own<kj::PromiseFulfiller<BoxedResult<std::string>>> fulfiller; ///< Completes the proposer's promise.
    };

    /** Compresses a large command on the worker thread before it is proposed: heartbeats must not wait behind its
     * bytes on the way to the other members. */
    kj::Promise<Result<std::string>> proposeCompressed(std::shared_ptr<std::string> bytes);
    kj::Promise<Result<std::string>> awaitCommit(std::uint64_t index);
    /** Runs `flush` later in the event loop, once for all inputs until then. */
    void scheduleFlush();
    /** Executes the core's actions, handles a role change, sends messages and takes a snapshot if one is due. */
    void flush();
    void executeActions(RaftActions actions);
    /** Records that the round that the core has just started, if any, began at @p start, and which ones are confirmed.
     */
    void recordRounds(Instant start);
    void apply(const RaftEntry &entry);
    std::string applyCommand(const RaftEntry &entry);
    void answerReads(const std::vector<RaftRead> &confirmed);
    void handleRoleChange();
    /** Logs who has granted a vote while no member has led for long. */
    void reportMissingLeader();
    /** Fails the proposals of earlier terms, or all of them if this member no longer leads. */
    void failPending();
    /** Takes a snapshot or rewrites the log file if it is due. */
    void compactIfDue();
    void takeSnapshot();
    /** Replaces the files by the current snapshot and the entries in memory. */
    void rewriteStorage();
    std::string snapshotBytes() const;
    void restore(std::string_view bytes);
    void rememberReply(const std::string &requestId, std::uint64_t index, std::string reply);
    void tryBootstrap();
    kj::Promise<Result<void>> proposeMembership(RaftMembership next);
    kj::Promise<Result<void>> promoteToVoter(std::string identity, unsigned pollsLeft);
    /** Polls until the member @p identity has the log up to @p index. */
    kj::Promise<Result<void>> waitUntilReplicated(std::string identity, std::uint64_t index, unsigned pollsLeft);
    /** Identity of the member whose name or identity is @p name. */
    [[nodiscard]] std::optional<std::string> identityOf(const std::string &name) const;
    [[nodiscard]] tl::unexpected<Error> notLeader() const;

    ControlLoop &loop; ///< Outlives this.
    const ReplicaSettings settings; ///< Configuration of this member.
    std::map<std::uint8_t, StateMachineCallbacks> stateMachines; ///< State machines by tag.
    RaftStorage storage; ///< Used by the storage thread after `open`.
    std::unique_ptr<RaftCore> core; ///< Set by `open`.
    MemberTransport transport; ///< Messages to the other members.
    std::map<std::uint64_t, PendingProposal> pendingProposals; ///< Proposals by log index.
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<BoxedResult<void>>>> reads; ///< Waiting reads by read id.
    std::map<std::string, std::string> replies; ///< First replies by request id; part of the replicated state.
    std::deque<std::pair<std::uint64_t, std::string>> replyOrder; ///< Index and request id, oldest first.
    std::uint64_t appliedIndex = 0; ///< Index of the last entry applied.
    RaftRole reportedRole = RaftRole::Follower; ///< Last role handled by handleRoleChange.
    std::uint64_t reportedTerm = 0; ///< Last term handled by handleRoleChange.
    bool leadershipReported = false; ///< Whether onBecameLeader was called in this term.
    std::deque<std::pair<std::uint64_t, Instant>> rounds; ///< Unconfirmed rounds of this term and when they began.
    std::uint64_t recordedRound = 0; ///< Latest round that `rounds` has held, or that began before this term.
    Instant lastQuorumContact{0}; ///< See `quorumContactAt`.
    bool flushScheduled = false; ///< A flush will run later in the event loop.
    bool bootstrapping = false; ///< Waiting for hello replies of the other members.
    TickPace tickPace; ///< Number of ticks in a run of `tickTimer`.
    TimerSubscription tickTimer; ///< Runs the ticks of the core.
    Instant leaderKnownAt{0}; ///< When this member last knew a leader, or last logged that there is none.
    TimerSubscription bootstrapTimer; ///< Runs tryBootstrap until the group exists.
    WorkerThread worker; ///< Compresses commands.
    std::unique_ptr<StorageThread> storageThread; ///< Declared last, so that it is stopped first.
};

} // namespace Chestnuthook
