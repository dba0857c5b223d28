/** @file raft_type.h  Entries, messages and actions of the replicated log. Plain values: no I/O and no clock. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chestnuthook
{

enum class RaftEntryKind : std::uint8_t { Command, NoOp, Membership };

/** One entry of the log. */
struct RaftEntry
{
    std::uint64_t term = 0; ///< Term of the leader that made it.
    std::uint64_t index = 0; ///< Place in the log, from 1.
    RaftEntryKind kind = RaftEntryKind::Command; ///< Who consumes it.
    std::string data; ///< A command, or an encoded membership.
    bool operator==(const RaftEntry &) const = default;
};

/** One member of the group. */
struct RaftMember
{
    std::string address; ///< ip:port of its control port.
    bool voter = false; ///< A learner gets entries and has no vote.
    bool operator==(const RaftMember &) const = default;
};

/** Members by identity. An identity is the member's name and a random part made with its data folder, so that a wiped
 * member comes back as another one. */
using RaftMembership = std::map<std::string, RaftMember>;

[[nodiscard]] std::string encodeMembership(const RaftMembership &membership);
[[nodiscard]] RaftMembership decodeMembership(const std::string &bytes);

/** What a member may never forget besides its log. */
struct RaftHardState
{
    std::uint64_t term = 0; ///< Latest term seen. Never falls.
    std::string vote; ///< Whom it voted for in `term`; empty for none.
    bool operator==(const RaftHardState &) const = default;
};

/** State of the machines at an index. */
struct RaftSnapshot
{
    std::uint64_t index = 0; ///< Last entry that it covers; 0 for none.
    std::uint64_t term = 0; ///< Term of that entry.
    RaftMembership membership; ///< As of that entry.
    std::string data; ///< The machines' bytes.
};

enum class RaftMessageKind : std::uint8_t { Vote, VoteReply, Append, AppendReply, Snapshot, SnapshotReply };

/** A message between members; which fields count depends on the kind. */
struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::Append; ///< What it is.
    std::string from; ///< Identity of the sender.
    std::string to; ///< Identity of the receiver; another incarnation drops it.
    std::uint64_t term = 0; ///< Sender's term; the term asked for in a pre-vote.
    bool pre = false; ///< Votes: a question that changes nothing.
    bool ok = false; ///< Replies: granted, or appended. Snapshot: the last chunk.
    std::uint64_t index = 0; ///< Last, previous or matched index, by kind.
    std::uint64_t logTerm = 0; ///< Term of the entry at `index`.
    std::uint64_t commit = 0; ///< Append: the leader's commit index.
    std::uint64_t readContext = 0; ///< Append: latest read round. Reply: the same, echoed.
    std::uint64_t offset = 0; ///< Snapshots: bytes before this chunk. Reply: bytes held.
    std::vector<RaftEntry> entries; ///< Append.
    std::string data; ///< Snapshot: the chunk.
    RaftMembership membership; ///< Snapshot.
};

/** A read that was confirmed, or failed where `index` is 0. */
struct RaftRead
{
    std::uint64_t id = 0; ///< As requestRead gave it.
    std::uint64_t index = 0; ///< The state must hold this entry before it is read.
};

/** What the owner of a core does after an input, in this order: persist, send, restore, apply, answer reads. */
struct RaftActions
{
    std::uint64_t batch = 0; ///< To name in `synced` once what is to be persisted lasts; 0 where nothing is.
    std::optional<RaftHardState> hardState; ///< To persist.
    std::vector<RaftEntry> append; ///< To persist; an index that is there already replaces it and all after it.
    std::optional<RaftSnapshot> install; ///< To persist in place of the whole log, and to restore.
    std::vector<RaftMessage> messages; ///< May leave at once: all that they promise lasts.
    std::vector<RaftEntry> committed; ///< To apply, in order.
    std::vector<RaftRead> reads; ///< To answer after applying.
};

/** Bounds of the core, in ticks where they are times. */
struct RaftSettings
{
    unsigned electionTicks = 12; ///< Least election timeout; the greatest is twice that.
    unsigned heartbeatTicks = 3; ///< Between heartbeats.
    std::size_t maxAppendEntries = 512; ///< In one message.
    std::size_t maxAppendBytes = 1U << 20U; ///< In one message, but for a single larger entry.
    std::uint64_t maxInflightEntries = 2048; ///< Sent to one member and not yet acknowledged.
    std::size_t snapshotChunkBytes = 256U << 10U; ///< In one message.
    bool preVote = true; ///< Off only in the test of the test.
    bool commitTermCheck = true; ///< Off only in the test of the test.
    bool waitForSync = true; ///< Off only in the test of the test.
};

/** What was found on disk. */
struct RaftRestored
{
    RaftHardState hardState; ///< Last one synced.
    RaftSnapshot snapshot; ///< Index 0 where there is none.
    std::uint64_t baseIndex = 0; ///< The log starts after this.
    std::uint64_t baseTerm = 0; ///< Term of the entry at baseIndex.
    std::vector<RaftEntry> entries; ///< From baseIndex + 1, without gaps.
    std::uint64_t wholeBytes = 0; ///< Of the log; up to here it was synced before it was used.
};

enum class RaftRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

} // namespace Chestnuthook
