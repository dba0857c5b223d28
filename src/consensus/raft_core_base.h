/** @file raft_core_base.h  The Raft protocol as a deterministic state machine without I/O: messages, ticks, proposals
 * and sync notifications go in, actions come out. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/raft_log_base.h"
#include "consensus/raft_type.h"

namespace Chestnuthook
{

/** Raft state of one member. After each input its owner takes the actions and executes them in order. */
class RaftCore
{
public:
    RaftCore(const RaftSettings &settings, std::string self, std::uint64_t seed, RaftPersistentState restored);

    /** Bootstraps a new group by writing its membership as first entry. Ignored unless the log is empty and the term 0.
     */
    void bootstrap(const RaftMembership &membership);

    void tick();
    void receive(const RaftMessage &message);

    /** Reports that all batches up to @p batch are durable. */
    void batchSynced(std::uint64_t batch);

    /** Appends a command. @return the entry's index, or nothing if this member doesn't lead. */
    std::optional<std::uint64_t> propose(SharedBytes command);

    /** Proposes @p next, which must differ from the current membership in one member. @return its index, or nothing if
     * this member doesn't lead, has not committed in its term, or another change is uncommitted. */
    std::optional<std::uint64_t> proposeMembership(const RaftMembership &next);

    /** Requests a confirmed read. @return an id that is returned in the actions, or nothing if this isn't the leader.
     */
    std::optional<std::uint64_t> requestRead();

    /** Gives up the lead, so that another member is elected. This one doesn't stand for election for @p ticks unless
     * there is another leader before. */
    void resign(unsigned ticks);
    /** Changes the minimum election timeout, from the next timeout on. It must not fall below that in the settings with
     * which the members began: leases rely on it. */
    void setElectionTicks(unsigned ticks);

    /** Registers a snapshot of the applied state at @p index and drops entries before @p keepFrom. */
    void compact(std::uint64_t index, std::string data, std::uint64_t keepFrom);

    [[nodiscard]] RaftActions takeActions();

    [[nodiscard]] RaftRole role() const
    {
        return this->currentRole;
    }
    [[nodiscard]] const RaftHardState &hardState() const
    {
        return this->currentHardState;
    }
    [[nodiscard]] const std::string &leader() const
    {
        return this->leaderId;
    }
    /** Members that have granted a vote in the election that this member holds; itself included. */
    [[nodiscard]] const std::set<std::string> &grantedVotes() const
    {
        return this->votes;
    }
    [[nodiscard]] std::uint64_t commitIndex() const
    {
        return this->commit;
    }
    [[nodiscard]] std::uint64_t lastIndex() const
    {
        return this->log.lastIndex();
    }
    [[nodiscard]] std::uint64_t firstIndex() const
    {
        return this->log.firstIndex();
    }
    [[nodiscard]] std::uint64_t termAt(std::uint64_t index) const
    {
        return this->log.termAt(index);
    }
    [[nodiscard]] const RaftEntry &entryAt(std::uint64_t index) const
    {
        return this->log.at(index);
    }
    [[nodiscard]] const RaftLog &entries() const
    {
        return this->log;
    }
    /** Size of the entries that are not committed. */
    [[nodiscard]] std::uint64_t uncommittedBytes() const
    {
        return this->log.bytesBetween(this->commit, this->log.lastIndex());
    }
    /** The membership in effect, which may not be committed yet. */
    [[nodiscard]] const RaftMembership &membership() const;
    [[nodiscard]] bool isMembershipCommitted() const
    {
        return this->memberships.rbegin()->first <= this->commit;
    }
    [[nodiscard]] const RaftSnapshot &snapshot() const
    {
        return this->lastSnapshot;
    }
    /** Highest index that @p member has acknowledged as durable; valid at the leader only. */
    [[nodiscard]] std::uint64_t matchIndexOf(const std::string &member) const;
    /** Whether this member leads and has committed an entry of its own term, as reads and membership changes require.
     */
    [[nodiscard]] bool committedInTerm() const;
    /** Number of the latest round of messages to all members; heartbeats and reads begin rounds. */
    [[nodiscard]] std::uint64_t startedRound() const
    {
        return this->readRound;
    }
    /** Latest round that a quorum has acknowledged while this member led in its current term; 0 for none. */
    [[nodiscard]] std::uint64_t confirmedRound() const
    {
        return this->currentRole == RaftRole::Leader ? this->quorumRound : 0;
    }

private:
    /** Replication state of another member at the leader. */
    struct Progress
    {
        std::uint64_t match = 0; ///< Highest index known to be durable there.
        std::uint64_t next = 1; ///< Next entry to send.
        bool probing = true; ///< Send one message at a time until the logs are known to match.
        bool probeSent = false; ///< A probe was sent; the next heartbeat sends another one.
        bool active = false; ///< It replied since the last quorum check.
        std::uint64_t readContext = 0; ///< Latest read round that it acknowledged.
        /** The snapshot being sent. It is sent to its end also if there is a newer one by then, so that a member is not
         * kept from catching up by snapshots that follow each other. */
        std::optional<RaftSnapshot> snapshot;
        std::uint64_t snapshotOffset = 0; ///< Bytes of it that were acknowledged.
        unsigned snapshotHeartbeats = 0; ///< Heartbeats since its last chunk was sent.
    };
    struct PendingRead
    {
        std::uint64_t id = 0; ///< Id returned by requestRead.
        std::uint64_t context = 0; ///< Read round that confirms it; 0 until the round starts.
        std::uint64_t index = 0; ///< Commit index when the round started.
    };

    /** Why a message goes to all members. */
    enum class BroadcastReason : std::uint8_t { Entries, Commit, Heartbeat };

    // raft_core_base.cpp
    void becomeFollower(std::uint64_t term, const std::string &newLeader);
    void setHardState(std::uint64_t term, const std::string &vote);
    void resetElectionTimer();
    void send(RaftMessage message);
    /** Sends @p message once all changes so far are durable. */
    void sendAfterSync(RaftMessage message);
    RaftMessage makeMessage(RaftMessageKind kind, const std::string &to) const;
    /** Appends a new entry of the current term at the leader. */
    void appendNewEntry(RaftEntryKind kind, SharedBytes data);
    void appendEntry(const RaftEntry &entry);
    /** Assigns a batch number to the pending actions unless they have one. */
    void beginBatch();
    /** Whether this member stands for election: as a voter, also if only a removal that may not be committed says
     * otherwise, since no other member may have as many entries. */
    [[nodiscard]] bool mayCampaign() const;
    [[nodiscard]] bool isVoter(const std::string &member) const;
    [[nodiscard]] bool hasQuorum(const std::set<std::string> &members) const;
    void failReads();

    // raft_election.cpp
    void campaign(bool isPreVote);
    void handleVote(const RaftMessage &message);
    void handleVoteReply(const RaftMessage &message);
    void becomeLeader();
    [[nodiscard]] bool hasActiveLeader() const;

    // raft_replication.cpp
    void broadcast(BroadcastReason reason);
    /** Sends the entries that @p member lacks. Without @p withEntries the message is only a heartbeat, and its reply
     * shows whether a probe that wasn't answered was lost. */
    void sendAppend(const std::string &member, Progress &follower, bool allowEmpty, bool withEntries);
    /** The next entries for @p follower within the limits of a message and of what may be unacknowledged. */
    [[nodiscard]] std::vector<RaftEntry> entriesFor(const Progress &follower) const;
    /** Sends the next chunk of a snapshot. Without @p withData the message is only a heartbeat, and its reply shows
     * whether the chunk has arrived. */
    void sendSnapshot(const std::string &member, Progress &follower, bool withData);
    void handleAppend(const RaftMessage &message);
    /** Stands for election soon after the leader has left the group: it steps down as it commits its removal, so there
     * is no lease of it to wait for. */
    void forgetRemovedLeader();
    /** Records at the leader that a member replied. @return its replication state; null if this member doesn't lead or
     * doesn't know it. */
    Progress *recordReply(const RaftMessage &message);
    void handleAppendReply(const RaftMessage &message);
    void handleSnapshot(const RaftMessage &message);
    void handleSnapshotReply(const RaftMessage &message);
    void rejectAppend(const RaftMessage &message);
    void acceptEntries(const std::vector<RaftEntry> &received);
    void truncateFrom(std::uint64_t index);
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void checkQuorum();

    // raft_read.cpp
    void startReadRound();
    void confirmReads();
    /** Adds and removes rows of `progress` at the leader to match the membership. */
    void updateProgress();
    /** The highest value that a quorum has reached, given the values of all voters. */
    [[nodiscard]] std::uint64_t quorumValue(std::vector<std::uint64_t> values) const;

    RaftSettings settings; ///< Protocol parameters; only `electionTicks` changes.
    const std::string self; ///< Identity of this member.
    std::mt19937_64 random; ///< Randomizes election timeouts.
    RaftHardState currentHardState; ///< Current term and vote.
    RaftRole currentRole = RaftRole::Follower; ///< Role in the current term.
    std::string leaderId; ///< Leader of the current term; empty if unknown.
    RaftLog log; ///< The entries.
    RaftSnapshot lastSnapshot; ///< log.baseIndex() <= its index <= commit.
    std::map<std::uint64_t, RaftMembership> memberships; ///< By entry index; never empty. The last one is in effect.
    std::uint64_t commit = 0; ///< Commit index; never decreases, at least lastSnapshot.index.
    std::uint64_t syncedIndex = 0; ///< Own log is durable up to this index.
    std::uint64_t lastBatch = 0; ///< Number of the newest batch to persist.
    std::uint64_t syncedBatch = 0; ///< All batches up to this one are durable.
    std::map<std::uint64_t, std::uint64_t> lastIndexByBatch; ///< Last index of each unsynced batch.
    std::deque<std::pair<std::uint64_t, RaftMessage>>
        deferredMessages; ///< Messages to send once their batch is durable.
    bool persistPending = false; ///< The pending actions contain something to persist.

    unsigned electionElapsed = 0; ///< Ticks since the last leader message, vote or campaign.
    unsigned electionTimeout = 0; ///< Random between electionTicks and twice that.
    unsigned heartbeatElapsed = 0; ///< Ticks since the last heartbeat sent.
    unsigned quorumElapsed = 0; ///< Ticks since the last quorum check.
    std::set<std::string> votes; ///< Members that granted a vote in this (pre-)election.
    std::map<std::string, Progress> progress; ///< Other members by identity; used at the leader.

    std::uint64_t nextRead = 1; ///< Id of the next read.
    std::uint64_t readRound = 0; ///< Latest read round.
    std::uint64_t quorumRound = 0; ///< See `confirmedRound`.
    std::vector<PendingRead> reads; ///< Unconfirmed reads.
    RaftSnapshot incomingSnapshot; ///< Partially received snapshot; its data is in `incomingData`.
    std::string incomingData; ///< Chunks of it so far.
    RaftActions actions; ///< Actions since the last takeActions.
};

} // namespace Chestnuthook
