/** @file raft_replication.cpp  Log replication, snapshot transfer, commit and the quorum check. */
#include "consensus/raft_core_base.h"

#include <algorithm>
#include <utility>

namespace Chestnuthook
{

void RaftCore::broadcast(BroadcastReason reason)
{
    const bool heartbeat = reason == BroadcastReason::Heartbeat;
    for (auto &[member, follower] : this->progress) {
        if (follower.next <= this->log.baseIndex()) {
            if (heartbeat || !follower.snapshot) {
                follower.snapshotHeartbeats += heartbeat ? 1 : 0;
                const bool isOverdue = follower.snapshotHeartbeats >= this->settings.snapshotResendHeartbeats;
                this->sendSnapshot(member, follower, isOverdue);
            }
            continue;
        }
        const bool awaitsProbeReply = follower.probing && follower.probeSent;
        const bool hasNews = reason == BroadcastReason::Commit || follower.next <= this->lastIndex();
        if (heartbeat || (hasNews && !awaitsProbeReply)) {
            this->sendAppend(member, follower, reason != BroadcastReason::Entries, !awaitsProbeReply);
        }
    }
}

std::vector<RaftEntry> RaftCore::entriesFor(const Progress &follower) const
{
    std::vector<RaftEntry> entries;
    const std::uint64_t inflightBytes =
        follower.probing ? 0 : this->log.bytesBetween(follower.match, follower.next - 1);
    std::uint64_t bytes = 0;
    const std::uint64_t last = std::min(this->lastIndex(), follower.match + this->settings.maxInflightEntries);
    for (std::uint64_t i = follower.next; i <= last && entries.size() < this->settings.maxAppendEntries; ++i) {
        const RaftEntry &entry = this->entryAt(i);
        bytes += entry.bytes();
        const bool isOver = bytes > this->settings.maxAppendBytes && !entries.empty();
        const bool isAlone = inflightBytes == 0 && entries.empty();
        if (isOver || (!isAlone && inflightBytes + bytes > this->settings.maxInflightBytes)) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

void RaftCore::sendAppend(const std::string &member, Progress &follower, bool allowEmpty, bool withEntries)
{
    do {
        RaftMessage message = this->makeMessage(RaftMessageKind::Append, member);
        message.index = follower.next - 1;
        message.logTerm = this->termAt(message.index);
        message.commit = this->commit;
        message.readContext = this->readRound;
        if (withEntries) {
            message.entries = this->entriesFor(follower);
        }
        if (message.entries.empty() && !allowEmpty) {
            return;
        }
        allowEmpty = false;
        follower.probeSent = true;
        if (!follower.probing) {
            follower.next += message.entries.size();
        }
        this->send(std::move(message));
    } while (!follower.probing && follower.next <= this->lastIndex());
}

void RaftCore::sendSnapshot(const std::string &member, Progress &follower, bool withData)
{
    if (!follower.snapshot) {
        follower.snapshot = this->lastSnapshot;
        follower.snapshotOffset = 0;
        withData = true;
    }
    const RaftSnapshot &snapshot = *follower.snapshot;
    RaftMessage message = this->makeMessage(RaftMessageKind::Snapshot, member);
    message.index = snapshot.index;
    message.logTerm = snapshot.term;
    message.membership = snapshot.membership;
    message.readContext = this->readRound;
    message.offset = std::min<std::uint64_t>(follower.snapshotOffset, snapshot.data.size());
    if (withData) {
        message.data = snapshot.data.str().substr(message.offset, this->settings.snapshotChunkBytes);
        message.ok = message.offset + message.data.size() == snapshot.data.size();
        follower.snapshotHeartbeats = 0;
    }
    this->send(std::move(message));
}

void RaftCore::handleAppend(const RaftMessage &message)
{
    if (this->currentRole == RaftRole::Leader) {
        return;
    }
    const bool beforeBase = message.index < this->log.baseIndex();
    const bool matches = message.index <= this->lastIndex() && this->termAt(message.index) == message.logTerm;
    if (!beforeBase && !matches) {
        this->rejectAppend(message);
        return;
    }
    this->acceptEntries(message.entries);
    const std::uint64_t match = message.index + message.entries.size();
    RaftMessage reply = this->makeMessage(RaftMessageKind::AppendReply, message.from);
    reply.ok = true;
    reply.index = match;
    reply.readContext = message.readContext;
    this->sendAfterSync(std::move(reply));
    this->commitTo(std::min(message.commit, match));
    this->forgetRemovedLeader();
}

void RaftCore::forgetRemovedLeader()
{
    if (!this->isVoter(this->self) || !this->isMembershipCommitted() || this->membership().contains(this->leaderId)) {
        return;
    }
    this->leaderId.clear();
    const auto isVoterBefore = [this](const auto &row) {
        return row.second.voter && row.first < this->self;
    };
    const auto rank = std::ranges::count_if(this->membership(), isVoterBefore); // One after the other, no split votes.
    const unsigned wait = 1 + static_cast<unsigned>(rank) * this->settings.heartbeatTicks;
    this->electionTimeout = std::min(this->electionTimeout, this->electionElapsed + wait);
}

void RaftCore::rejectAppend(const RaftMessage &message)
{
    std::uint64_t hint = std::min(message.index - 1, this->lastIndex());
    const std::uint64_t conflicting = this->termAt(message.index);
    while (conflicting != 0 && hint > this->commit && this->termAt(hint) == conflicting) {
        --hint;
    }
    RaftMessage reply = this->makeMessage(RaftMessageKind::AppendReply, message.from);
    reply.index = hint;
    reply.readContext = message.readContext;
    this->sendAfterSync(std::move(reply));
}

void RaftCore::acceptEntries(const std::vector<RaftEntry> &received)
{
    for (const RaftEntry &entry : received) {
        if (entry.index <= this->log.baseIndex()
            || (entry.index <= this->lastIndex() && this->termAt(entry.index) == entry.term)) {
            continue; // Already in the log; entries with the same index and term are identical.
        }
        if (entry.index <= this->lastIndex()) {
            this->truncateFrom(entry.index);
        }
        this->appendEntry(entry);
    }
}

void RaftCore::truncateFrom(std::uint64_t index)
{
    this->log.truncateFrom(index);
    std::erase_if(this->actions.append, [index](const RaftEntry &entry) {
        return entry.index >= index;
    });
    this->memberships.erase(this->memberships.lower_bound(index), this->memberships.end());
    for (auto &[batch, last] : this->lastIndexByBatch) {
        last = std::min(last, index - 1);
    }
    this->syncedIndex = std::min(this->syncedIndex, index - 1);
}

RaftCore::Progress *RaftCore::recordReply(const RaftMessage &message)
{
    const auto found = this->progress.find(message.from);
    if (this->currentRole != RaftRole::Leader || found == this->progress.end()) {
        return nullptr;
    }
    Progress &follower = found->second;
    follower.active = true;
    follower.readContext = std::max(follower.readContext, message.readContext);
    return &follower;
}

void RaftCore::handleAppendReply(const RaftMessage &message)
{
    Progress *const sender = this->recordReply(message);
    if (sender == nullptr) {
        return;
    }
    Progress &follower = *sender;
    if (message.ok) {
        follower.match = std::max(follower.match, message.index);
        follower.next = std::max(follower.next, follower.match + 1);
        follower.probing = false;
        if (follower.snapshot
            && (follower.match >= this->log.baseIndex() || follower.match >= follower.snapshot->index)) {
            follower.snapshot.reset();
        }
        this->advanceCommit();
    } else {
        follower.next = std::min(follower.next, std::max(message.index, follower.match) + 1);
        follower.probing = true;
        follower.probeSent = false;
    }
    this->confirmReads();
}

void RaftCore::handleSnapshot(const RaftMessage &message)
{
    if (this->currentRole == RaftRole::Leader) {
        return;
    }
    RaftMessage reply = this->makeMessage(RaftMessageKind::AppendReply, message.from);
    reply.readContext = message.readContext;
    reply.ok = true;
    reply.index = message.index;
    const bool alreadyHeld = message.index <= this->lastIndex() && this->termAt(message.index) == message.logTerm;
    if (message.index <= this->commit || alreadyHeld) {
        // Later entries in the log may already be acknowledged, so the log is kept.
        this->commitTo(message.index);
        this->sendAfterSync(std::move(reply));
        return;
    }
    if (this->incomingSnapshot.index != message.index || this->incomingSnapshot.term != message.logTerm) {
        this->incomingSnapshot = RaftSnapshot{message.index, message.logTerm, message.membership, {}};
        this->incomingData.clear();
    }
    if (message.offset != this->incomingData.size() || !message.ok) {
        if (message.offset == this->incomingData.size()) {
            this->incomingData += message.data;
        }
        reply.kind = RaftMessageKind::SnapshotReply;
        reply.offset = this->incomingData.size();
        this->sendAfterSync(std::move(reply));
        return;
    }
    this->incomingData += message.data;
    this->incomingSnapshot.data = std::exchange(this->incomingData, {});
    this->log.reset(this->incomingSnapshot.index, this->incomingSnapshot.term);
    this->actions.append.clear();
    this->commit = this->incomingSnapshot.index;
    this->syncedIndex = this->incomingSnapshot.index;
    this->lastIndexByBatch.clear();
    this->actions.committed.clear();
    this->memberships = {{this->incomingSnapshot.index, this->incomingSnapshot.membership}};
    this->lastSnapshot = std::exchange(this->incomingSnapshot, RaftSnapshot{});
    this->actions.install = this->lastSnapshot;
    this->beginBatch();
    this->sendAfterSync(std::move(reply));
}

void RaftCore::handleSnapshotReply(const RaftMessage &message)
{
    Progress *const sender = this->recordReply(message);
    if (sender == nullptr) {
        return;
    }
    Progress &follower = *sender;
    const bool isCurrent = follower.snapshot && follower.snapshot->index == message.index;
    if (isCurrent && message.offset != follower.snapshotOffset) {
        follower.snapshotOffset = message.offset;
        this->sendSnapshot(message.from, follower, true);
    }
    this->confirmReads();
}

void RaftCore::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const auto &[id, member] : this->membership()) {
        if (member.voter) {
            matches.push_back(this->matchIndexOf(id));
        }
    }
    const std::uint64_t agreed = this->quorumValue(std::move(matches));
    if (agreed > this->commit
        && (this->termAt(agreed) == this->currentHardState.term || !this->settings.commitTermCheck)) {
        this->commitTo(agreed);
        this->broadcast(BroadcastReason::Commit);
        if (!this->membership().contains(this->self) && this->memberships.rbegin()->first <= this->commit) {
            this->becomeFollower(this->currentHardState.term, "");
        }
    }
}

void RaftCore::commitTo(std::uint64_t index)
{
    while (this->commit < std::min(index, this->lastIndex())) {
        ++this->commit;
        this->actions.committed.push_back(this->entryAt(this->commit));
    }
}

void RaftCore::checkQuorum()
{
    this->quorumElapsed = 0;
    std::set<std::string> active = {this->self};
    for (auto &[member, follower] : this->progress) {
        if (std::exchange(follower.active, false)) {
            active.insert(member);
        }
    }
    if (!this->hasQuorum(active)) {
        this->becomeFollower(this->currentHardState.term, "");
    }
}

} // namespace Chestnuthook
