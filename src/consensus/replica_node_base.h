/** @file replica_node_base.h  Runs one replicated log among the control members and hosts the state machines on it. */
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

#include "consensus/member_links_base.h"
#include "consensus/raft_core_base.h"
#include "consensus/raft_storage_base.h"
#include "consensus/storage_thread_base.h"
#include "core/error_type.h"
#include "core/timer_base.h"
#include "rpc/consensus.capnp.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** One state machine as the node sees it. */
struct MachineHooks
{
    std::function<std::string(std::uint64_t, std::string_view)> apply; ///< Applies a command; gives the reply.
    std::function<std::string()> snapshot; ///< The whole state.
    std::function<void(std::string_view)> restore; ///< Replaces the state.
};

/** How a member takes part. */
struct ReplicaSettings
{
    std::string name; ///< Of this member.
    std::string address; ///< Our control port.
    std::map<std::string, std::string> initialMembers; ///< Names and addresses of a new group; empty: we alone.
    bool join = false; ///< Never founds a group: waits to be added to one.
    std::uint64_t snapshotEntries = 10000; ///< Entries applied between snapshots.
    RaftSettings raft; ///< Bounds of the log's rules.
};

/** One member as operators see it. */
struct MemberView
{
    std::string identity; ///< Name and random part.
    std::string address; ///< ip:port.
    std::string role; ///< leader, follower, candidate or learner.
    std::uint64_t matchIndex = 0; ///< What it holds, as the leader knows.
};

/** A result on its way to a waiter. It stands on the heap, because the compiler takes a Result within a promise of kj
 * for one that may be uninitialized. */
template<typename T>
using BoxedResult = std::unique_ptr<Result<T>>;

template<typename T>
[[nodiscard]] BoxedResult<T> boxResult(Result<T> result)
{
    return std::make_unique<Result<T>>(std::move(result));
}

/** For the control thread. */
class ReplicaNode
{
public:
    ReplicaNode(ControlLoop &loop, ReplicaSettings settings);
    ReplicaNode(const ReplicaNode &) = delete;
    ReplicaNode &operator=(const ReplicaNode &) = delete;

    /** Hosts a machine under @p tag, before `open`. */
    void host(std::uint8_t tag, MachineHooks hooks);

    /** Restores what the folder holds. Errors: StorageFailed, StorageCorrupt. */
    Result<void> open(const std::string &folder);

    /** Starts to take part. */
    void start();

    /** Commits @p command. A resend under the same non-empty @p requestId gets the first reply.
     * Errors: NotLeader; NoQuorum where the leader was lost meanwhile and the command may still be committed. */
    [[nodiscard]] kj::Promise<Result<std::string>> propose(
        std::uint8_t tag, std::string command, std::string requestId);

    /** Resolves once the machines here hold all that was committed when it was called, and a quorum said so.
     * Errors: NotLeader, NoQuorum. */
    [[nodiscard]] kj::Promise<Result<void>> confirmRead();

    /** Adds a member as a learner and gives it a vote once it has caught up; done when it holds all that is committed.
     * May be called again after a failure. Errors: NotLeader, NoQuorum, Conflict. */
    [[nodiscard]] kj::Promise<Result<void>> addMember(std::string name, std::string address);
    /** Errors: NotLeader, NoQuorum, NotFound, Conflict. */
    [[nodiscard]] kj::Promise<Result<void>> removeMember(std::string name);

    /** The capability for other members. */
    [[nodiscard]] Wire::Member::Client makeService();

    /** Whether this member leads and has committed in its term, so that its machines hold all that is committed. */
    [[nodiscard]] bool isLeader() const
    {
        return this->core->committedInTerm();
    }
    [[nodiscard]] std::uint64_t term() const
    {
        return this->core->hardState().term;
    }
    /** Address of the leader; empty where unknown. */
    [[nodiscard]] std::string leaderAddress() const;
    [[nodiscard]] std::vector<MemberView> members() const;
    [[nodiscard]] const std::string &identity() const
    {
        return this->storage.identity();
    }

    /** Called when this member has become a leader in the sense of `isLeader`. */
    std::function<void()> onBecameLeader;

    bool dropTraffic = false; ///< Test hook: nothing goes to or comes from other members.

    // For the Member service.
    void learnAddress(const std::string &member, const std::string &address);
    void receive(const RaftMessage &message);
    [[nodiscard]] bool hasTakenPart() const;

private:
    /** A proposal that waits for its commit. */
    struct Pending
    {
        std::uint64_t term = 0; ///< Of the entry; another term there means that it was replaced.
        kj::Own<kj::PromiseFulfiller<BoxedResult<std::string>>> fulfiller; ///< For the proposer.
    };

    kj::Promise<Result<std::string>> awaitCommit(std::uint64_t index);
    void flushSoon();
    void flush();
    void carryOut(RaftActions actions);
    void apply(const RaftEntry &entry);
    std::string applyCommand(const RaftEntry &entry);
    void answerReads(const std::vector<RaftRead> &reads);
    void noteRole();
    void failPending();
    void takeSnapshot();
    std::string snapshotBytes() const;
    void restore(std::string_view bytes);
    void rememberReply(const std::string &requestId, std::uint64_t index, std::string reply);
    void tryFound();
    kj::Promise<Result<void>> proposeMembership(RaftMembership next);
    kj::Promise<Result<void>> promote(std::string identity, unsigned triesLeft);
    kj::Promise<Result<void>> awaitMatch(std::string identity, std::uint64_t index, unsigned triesLeft);
    [[nodiscard]] std::optional<std::string> identityOf(const std::string &name) const;
    [[nodiscard]] tl::unexpected<Error> notLeader() const;

    ControlLoop &loop; ///< Outlives this.
    const ReplicaSettings settings; ///< As given.
    std::map<std::uint8_t, MachineHooks> machines; ///< By tag.
    RaftStorage storage; ///< Used by the storage thread after `open`.
    std::unique_ptr<RaftCore> core; ///< Set by `open`.
    MemberLinks links; ///< To the other members.
    std::map<std::uint64_t, Pending> pending; ///< By index.
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<BoxedResult<void>>>> reads; ///< By id of the read.
    std::map<std::string, std::string> replies; ///< First replies by request id; part of the replicated state.
    std::deque<std::pair<std::uint64_t, std::string>> replyOrder; ///< Index and request id, oldest first.
    std::uint64_t applied = 0; ///< Index of the last entry applied.
    RaftRole seenRole = RaftRole::Follower; ///< To tell changes.
    std::uint64_t seenTerm = 0; ///< To tell changes.
    bool leads = false; ///< As onBecameLeader was told.
    bool flushPlanned = false; ///< A flush runs at the end of this turn of the loop.
    bool founding = false; ///< Questions to the other members are under way.
    TimerSubscription ticking; ///< Runs the core's ticks.
    TimerSubscription foundingTimer; ///< Runs tryFound until the group is there.
    std::unique_ptr<StorageThread> syncing; ///< Last, so that it ends first.
};

} // namespace Chestnuthook
