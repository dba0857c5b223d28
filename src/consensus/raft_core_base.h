/** @file raft_core_base.h  The replicated log's rules as a pure function of its inputs: messages, ticks, proposals and
 * notices of what was synced go in, actions come out. */
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

#include "consensus/raft_type.h"

namespace Chestnuthook
{

/** One member. After each input its owner takes the actions and carries them out in their order. */
class RaftCore
{
public:
    RaftCore(const RaftSettings &settings, std::string self, std::uint64_t seed, RaftRestored restored);

    /** Writes the first entry of a new group: its membership. Only for a member with an empty log and term 0. */
    void found(const RaftMembership &membership);

    void tick();
    void receive(const RaftMessage &message);

    /** Everything up to @p batch lasts. */
    void synced(std::uint64_t batch);

    /** @return the entry's index, or nothing where this member doesn't lead. */
    std::optional<std::uint64_t> propose(std::string command);

    /** Proposes @p next, which differs from the current membership in one member. @return its index, or nothing where
     * this member doesn't lead, has not committed in its term, or another change is under way. */
    std::optional<std::uint64_t> proposeMembership(const RaftMembership &next);

    /** Asks for a confirmed read. @return an id that comes back in the actions, or nothing where this isn't the leader.
     */
    std::optional<std::uint64_t> requestRead();

    /** The owner holds a snapshot at @p index, which is applied; entries before @p keepFrom are dropped. */
    void compact(std::uint64_t index, std::string data, std::uint64_t keepFrom);

    [[nodiscard]] RaftActions takeActions();

    [[nodiscard]] RaftRole role() const
    {
        return this->currentRole;
    }
    [[nodiscard]] const RaftHardState &hardState() const
    {
        return this->hard;
    }
    [[nodiscard]] const std::string &leader() const
    {
        return this->leaderId;
    }
    [[nodiscard]] std::uint64_t commitIndex() const
    {
        return this->commit;
    }
    [[nodiscard]] std::uint64_t lastIndex() const
    {
        return this->baseIndex + this->entries.size();
    }
    [[nodiscard]] std::uint64_t firstIndex() const
    {
        return this->baseIndex + 1;
    }
    [[nodiscard]] std::uint64_t termAt(std::uint64_t index) const;
    [[nodiscard]] const RaftEntry &entryAt(std::uint64_t index) const
    {
        return this->entries.at(index - this->baseIndex - 1);
    }
    [[nodiscard]] const RaftMembership &membership() const;
    [[nodiscard]] const RaftSnapshot &snapshot() const
    {
        return this->lastSnapshot;
    }
    /** Highest index that @p member has said to hold, synced; meaningful at the leader. */
    [[nodiscard]] std::uint64_t matchOf(const std::string &member) const;
    /** Whether the leader has committed an entry of its own term, so that reads and membership changes may go on. */
    [[nodiscard]] bool committedInTerm() const;

private:
    /** What the leader knows of another member. */
    struct Progress
    {
        std::uint64_t match = 0; ///< Held and synced there.
        std::uint64_t next = 1; ///< First entry to send.
        bool probing = true; ///< One message at a time until the logs are known to meet.
        bool probeSent = false; ///< The probe is under way; a heartbeat sends the next.
        bool heard = false; ///< A reply came since the last check of the quorum.
        std::uint64_t readContext = 0; ///< Latest read round that it answered.
        std::uint64_t snapshotIndex = 0; ///< Snapshot under transfer; 0 for none.
        std::uint64_t snapshotOffset = 0; ///< Bytes of it that arrived.
    };
    struct PendingRead
    {
        std::uint64_t id = 0; ///< For the owner.
        std::uint64_t context = 0; ///< Round that confirms it; 0 until one is sent.
        std::uint64_t index = 0; ///< Commit index when the round was sent.
    };

    /** Why all members are sent to. */
    enum class Occasion : std::uint8_t { Entries, Commit, Heartbeat };

    // raft_core_base.cpp
    void becomeFollower(std::uint64_t term, const std::string &newLeader);
    void setHardState(std::uint64_t term, const std::string &vote);
    void resetElectionTimer();
    void send(RaftMessage message);
    void sendAfterSync(RaftMessage message);
    RaftMessage makeMessage(RaftMessageKind kind, const std::string &to) const;
    void appendOwn(RaftEntryKind kind, std::string data);
    void store(const RaftEntry &entry);
    void noteBatch();
    [[nodiscard]] bool isVoter(const std::string &member) const;
    [[nodiscard]] bool hasQuorum(const std::set<std::string> &members) const;
    void failReads();

    // raft_election.cpp
    void campaign(bool pre);
    void handleVote(const RaftMessage &message);
    void handleVoteReply(const RaftMessage &message);
    void becomeLeader();
    [[nodiscard]] bool hearsLeader() const;

    // raft_replication.cpp
    void broadcast(Occasion occasion);
    void sendAppend(const std::string &member, Progress &known, bool evenEmpty);
    void sendSnapshot(const std::string &member, Progress &known);
    void handleAppend(const RaftMessage &message);
    /** Notes at the leader that a follower answered. @return what the leader knows of it; null where that is nothing.
     */
    Progress *hearFrom(const RaftMessage &message);
    void handleAppendReply(const RaftMessage &message);
    void handleSnapshot(const RaftMessage &message);
    void handleSnapshotReply(const RaftMessage &message);
    void refuseAppend(const RaftMessage &message);
    void acceptEntries(const std::vector<RaftEntry> &received);
    void truncateFrom(std::uint64_t index);
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void checkQuorum();

    // raft_read.cpp
    void startReadRound();
    void confirmReads();
    void followMembership();
    [[nodiscard]] std::uint64_t quorumValue(std::vector<std::uint64_t> values) const;

    const RaftSettings settings; ///< Bounds.
    const std::string self; ///< Our identity.
    std::mt19937_64 random; ///< Spreads election timeouts.
    RaftHardState hard; ///< Term and vote.
    RaftRole currentRole = RaftRole::Follower; ///< What we are.
    std::string leaderId; ///< Leader of the term; empty where unknown.
    std::uint64_t baseIndex = 0; ///< Entries up to here are dropped.
    std::uint64_t baseTerm = 0; ///< Term of the entry at baseIndex.
    std::deque<RaftEntry> entries; ///< From baseIndex + 1.
    RaftSnapshot lastSnapshot; ///< baseIndex <= its index <= commit.
    std::map<std::uint64_t, RaftMembership> memberships; ///< By index of entry; never empty. The last one is in force.
    std::uint64_t commit = 0; ///< Never falls; at least lastSnapshot.index.
    std::uint64_t syncedIndex = 0; ///< Our own log lasts up to here.
    std::uint64_t lastBatch = 0; ///< Number of the newest batch to persist.
    std::uint64_t syncedBatch = 0; ///< All batches up to this last.
    std::map<std::uint64_t, std::uint64_t> batchLast; ///< Last index of each unsynced batch.
    std::deque<std::pair<std::uint64_t, RaftMessage>> held; ///< Messages that wait for a batch, in order.
    bool persistPending = false; ///< The actions hold something to persist.

    unsigned electionElapsed = 0; ///< Ticks since the leader was heard or we campaigned.
    unsigned electionTimeout = 0; ///< Random between electionTicks and twice that.
    unsigned heartbeatElapsed = 0; ///< Ticks since our last heartbeat.
    unsigned quorumElapsed = 0; ///< Ticks since the last check of the quorum.
    std::set<std::string> votes; ///< Granted in this (pre-)election.
    std::map<std::string, Progress> progress; ///< At the leader: the other members.

    std::uint64_t nextRead = 1; ///< Id of the next read.
    std::uint64_t readRound = 0; ///< Latest read round.
    std::vector<PendingRead> reads; ///< Not yet confirmed.
    RaftSnapshot incoming; ///< Snapshot under receipt.
    RaftActions actions; ///< Since the last takeActions.
};

} // namespace Chestnuthook
