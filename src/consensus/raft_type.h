/** @file raft_type.h  Entries, messages and actions of the Raft log. Plain values without I/O or a clock. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/shared_bytes_type.h"

namespace Chestnuthook
{

enum class RaftEntryKind : std::uint8_t { Command, NoOp, Membership };

/** One entry of the replicated log. */
struct RaftEntry
{
    /** What an entry takes in memory besides its data, roughly. */
    static constexpr std::uint64_t OverheadBytes = 128;

    std::uint64_t term = 0; ///< Term of the leader that created it.
    std::uint64_t index = 0; ///< Position in the log, counted from 1.
    RaftEntryKind kind = RaftEntryKind::Command; ///< Decides who applies it.
    SharedBytes data; ///< Command or encoded membership.

    /** Size for the bounds of the log. */
    [[nodiscard]] std::uint64_t bytes() const
    {
        return this->data.size() + OverheadBytes;
    }
    bool operator==(const RaftEntry &) const = default;
};

/** One member of the group. */
struct RaftMember
{
    std::string address; ///< Its control port, ip:port.
    bool voter = false; ///< False for a learner, which receives entries but has no vote.
    bool operator==(const RaftMember &) const = default;
};

/** Members by identity. An identity is the member's name and a random part created with its data folder, so that a
 * member whose folder was wiped returns under a new identity. */
using RaftMembership = std::map<std::string, RaftMember>;

[[nodiscard]] std::string encodeMembership(const RaftMembership &membership);
[[nodiscard]] RaftMembership decodeMembership(const std::string &bytes);

/** State that a member must persist besides its log. */
struct RaftHardState
{
    std::uint64_t term = 0; ///< Latest term seen; never decreases.
    std::string vote; ///< Identity that it voted for in `term`; empty if none.
    bool operator==(const RaftHardState &) const = default;
};

/** State of the state machines at a log index. */
struct RaftSnapshot
{
    std::uint64_t index = 0; ///< Last entry that it covers; 0 if there is no snapshot.
    std::uint64_t term = 0; ///< Term of that entry.
    RaftMembership membership; ///< As of that entry.
    SharedBytes data; ///< Serialized state machines.
};

enum class RaftMessageKind : std::uint8_t { Vote, VoteReply, Append, AppendReply, Snapshot, SnapshotReply };

/** A message between members; `kind` determines which fields are used. */
struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::Append; ///< Type of the message.
    std::string from; ///< Identity of the sender.
    std::string to; ///< Identity of the receiver; a member with another identity drops it.
    std::uint64_t term = 0; ///< Sender's term; in a pre-vote the term of the election that it asks about.
    bool isPreVote = false; ///< Votes: asks without changing the receiver's state.
    bool ok = false; ///< Replies: granted or appended. Snapshot: last chunk.
    std::uint64_t index = 0; ///< Last, previous or matched index, depending on `kind`.
    std::uint64_t logTerm = 0; ///< Term of the entry at `index`.
    std::uint64_t commit = 0; ///< Append: the leader's commit index.
    std::uint64_t readContext = 0; ///< Append: latest read round; the reply echoes it.
    std::uint64_t offset = 0; ///< Snapshot: bytes before this chunk. Reply: bytes received.
    std::vector<RaftEntry> entries; ///< Append: entries after `index`.
    std::string data; ///< Snapshot: this chunk.
    RaftMembership membership; ///< Snapshot: membership at its index.

    /** Size of the entries and of the chunk. */
    [[nodiscard]] std::size_t bytes() const
    {
        std::size_t total = this->data.size();
        for (const RaftEntry &entry : this->entries) {
            total += entry.data.size();
        }
        return total;
    }
};

/** A confirmed read, or a failed one if `index` is 0. */
struct RaftRead
{
    std::uint64_t id = 0; ///< Id returned by requestRead.
    std::uint64_t index = 0; ///< This entry must be applied before the state is read.
};

/** What the owner of a RaftCore must do after an input, in this order: persist, send, restore, apply, answer reads. */
struct RaftActions
{
    std::uint64_t batch = 0; ///< Pass it to `batchSynced` once this batch is durable; 0 if nothing is to persist.
    std::optional<RaftHardState> hardState; ///< To persist.
    std::vector<RaftEntry> append; ///< To persist; an entry replaces any stored entries from its index on.
    std::optional<RaftSnapshot> install; ///< To persist in place of the whole log and to restore from.
    std::vector<RaftMessage> messages; ///< To send at once; all that they promise is durable already.
    std::vector<RaftEntry> committed; ///< To apply in order.
    std::vector<RaftRead> reads; ///< To answer after `committed` is applied.
};

/** Parameters of a RaftCore; times are in ticks. */
struct RaftSettings
{
    unsigned electionTicks = 12; ///< Minimum election timeout; the maximum is twice that.
    unsigned heartbeatTicks = 3; ///< Heartbeat interval.
    std::size_t maxAppendEntries = 512; ///< Entries per message.
    std::size_t maxAppendBytes = 1U << 20U; ///< Bytes per message; a single entry may be larger.
    std::uint64_t maxInflightEntries = 2048; ///< Unacknowledged entries per member.
    std::uint64_t maxInflightBytes = 4U << 20U; ///< Their size; a single entry may be larger.
    unsigned snapshotResendHeartbeats = 8; ///< Heartbeats without progress after which a chunk is sent again.
    std::size_t snapshotChunkBytes = 256U << 10U; ///< Bytes per message.
    bool preVote = true; ///< Disabled only to test that the simulation detects the fault.
    bool commitTermCheck = true; ///< Disabled only to test that the simulation detects the fault.
    bool waitForSync = true; ///< Disabled only to test that the simulation detects the fault.
};

/** State read from disk at startup. */
struct RaftPersistentState
{
    RaftHardState hardState; ///< Last synced hard state.
    RaftSnapshot snapshot; ///< Its index is 0 if there is none.
    std::uint64_t baseIndex = 0; ///< The log starts after this index.
    std::uint64_t baseTerm = 0; ///< Term of the entry at baseIndex.
    std::vector<RaftEntry> entries; ///< Entries from baseIndex + 1, without gaps.
    std::uint64_t initialBytes = 0; ///< Size of the log file when it was put in place, already synced.
};

enum class RaftRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

} // namespace Chestnuthook
