/** @file raft_replication.cpp  Appends, snapshots, commit and the check of the quorum. */
#include "consensus/raft_core_base.h"

#include <algorithm>
#include <utility>

namespace Chestnuthook
{

void RaftCore::broadcast(Occasion occasion)
{
    const bool heartbeat = occasion == Occasion::Heartbeat;
    for (auto &[member, known] : this->progress) {
        if (known.next <= this->baseIndex) {
            if (heartbeat || known.snapshotIndex == 0) {
                this->sendSnapshot(member, known);
            }
            continue;
        }
        const bool waits = known.probing && known.probeSent;
        const bool news = occasion == Occasion::Commit || known.next <= this->lastIndex();
        if (heartbeat || (news && !waits)) {
            this->sendAppend(member, known, occasion != Occasion::Entries);
        }
    }
}

void RaftCore::sendAppend(const std::string &member, Progress &known, bool evenEmpty)
{
    do {
        const bool room = known.next <= known.match + this->settings.maxInflightEntries;
        RaftMessage message = this->makeMessage(RaftMessageKind::Append, member);
        message.index = known.next - 1;
        message.logTerm = this->termAt(message.index);
        message.commit = this->commit;
        message.readContext = this->readRound;
        std::size_t bytes = 0;
        for (std::uint64_t i = known.next; room && i <= this->lastIndex(); ++i) {
            const RaftEntry &entry = this->entryAt(i);
            bytes += entry.data.size();
            const bool full =
                message.entries.size() >= this->settings.maxAppendEntries || bytes > this->settings.maxAppendBytes;
            if (full && !message.entries.empty()) {
                break;
            }
            message.entries.push_back(entry);
        }
        if (message.entries.empty() && !evenEmpty) {
            return;
        }
        evenEmpty = false;
        known.probeSent = true;
        if (!known.probing) {
            known.next += message.entries.size();
        }
        this->send(std::move(message));
    } while (!known.probing && known.next <= this->lastIndex());
}

void RaftCore::sendSnapshot(const std::string &member, Progress &known)
{
    const RaftSnapshot &snapshot = this->lastSnapshot;
    if (known.snapshotIndex != snapshot.index) {
        known.snapshotIndex = snapshot.index;
        known.snapshotOffset = 0;
    }
    RaftMessage message = this->makeMessage(RaftMessageKind::Snapshot, member);
    message.index = snapshot.index;
    message.logTerm = snapshot.term;
    message.membership = snapshot.membership;
    message.readContext = this->readRound;
    message.offset = std::min<std::uint64_t>(known.snapshotOffset, snapshot.data.size());
    message.data = snapshot.data.substr(message.offset, this->settings.snapshotChunkBytes);
    message.ok = message.offset + message.data.size() == snapshot.data.size();
    this->send(std::move(message));
}

void RaftCore::handleAppend(const RaftMessage &message)
{
    if (this->currentRole == RaftRole::Leader) {
        return;
    }
    const bool before = message.index < this->baseIndex;
    const bool meets = message.index <= this->lastIndex() && this->termAt(message.index) == message.logTerm;
    if (!before && !meets) {
        this->refuseAppend(message);
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
}

void RaftCore::refuseAppend(const RaftMessage &message)
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
        if (entry.index <= this->baseIndex
            || (entry.index <= this->lastIndex() && this->termAt(entry.index) == entry.term)) {
            continue; // Held already; entries of one index and term are equal.
        }
        if (entry.index <= this->lastIndex()) {
            this->truncateFrom(entry.index);
        }
        this->store(entry);
    }
}

void RaftCore::truncateFrom(std::uint64_t index)
{
    this->entries.resize(index - this->baseIndex - 1);
    std::erase_if(this->actions.append, [index](const RaftEntry &entry) {
        return entry.index >= index;
    });
    this->memberships.erase(this->memberships.lower_bound(index), this->memberships.end());
    for (auto &[batch, last] : this->batchLast) {
        last = std::min(last, index - 1);
    }
    this->syncedIndex = std::min(this->syncedIndex, index - 1);
}

RaftCore::Progress *RaftCore::hearFrom(const RaftMessage &message)
{
    const auto found = this->progress.find(message.from);
    if (this->currentRole != RaftRole::Leader || found == this->progress.end()) {
        return nullptr;
    }
    Progress &known = found->second;
    known.heard = true;
    known.readContext = std::max(known.readContext, message.readContext);
    return &known;
}

void RaftCore::handleAppendReply(const RaftMessage &message)
{
    Progress *const heard = this->hearFrom(message);
    if (heard == nullptr) {
        return;
    }
    Progress &known = *heard;
    if (message.ok) {
        known.match = std::max(known.match, message.index);
        known.next = std::max(known.next, known.match + 1);
        known.probing = false;
        if (known.match >= this->baseIndex) {
            known.snapshotIndex = 0;
        }
        this->advanceCommit();
    } else {
        known.next = std::min(known.next, std::max(message.index, known.match) + 1);
        known.probing = true;
        known.probeSent = false;
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
    const bool held = message.index <= this->lastIndex() && this->termAt(message.index) == message.logTerm;
    if (message.index <= this->commit || held) {
        // What follows it in the log may be acknowledged already, so the log stays.
        this->commitTo(message.index);
        this->sendAfterSync(std::move(reply));
        return;
    }
    if (this->incoming.index != message.index || this->incoming.term != message.logTerm) {
        this->incoming = RaftSnapshot{message.index, message.logTerm, message.membership, ""};
    }
    if (message.offset != this->incoming.data.size() || !message.ok) {
        if (message.offset == this->incoming.data.size()) {
            this->incoming.data += message.data;
        }
        reply.kind = RaftMessageKind::SnapshotReply;
        reply.offset = this->incoming.data.size();
        this->sendAfterSync(std::move(reply));
        return;
    }
    this->incoming.data += message.data;
    this->entries.clear();
    this->actions.append.clear();
    this->baseIndex = this->incoming.index;
    this->baseTerm = this->incoming.term;
    this->commit = this->incoming.index;
    this->syncedIndex = this->incoming.index;
    this->batchLast.clear();
    this->actions.committed.clear();
    this->memberships = {{this->incoming.index, this->incoming.membership}};
    this->lastSnapshot = std::exchange(this->incoming, RaftSnapshot{});
    this->actions.install = this->lastSnapshot;
    this->noteBatch();
    this->sendAfterSync(std::move(reply));
}

void RaftCore::handleSnapshotReply(const RaftMessage &message)
{
    Progress *const heard = this->hearFrom(message);
    if (heard == nullptr) {
        return;
    }
    Progress &known = *heard;
    if (known.snapshotIndex == message.index && message.offset != known.snapshotOffset) {
        known.snapshotOffset = message.offset;
        this->sendSnapshot(message.from, known);
    }
    this->confirmReads();
}

void RaftCore::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const auto &[id, member] : this->membership()) {
        if (member.voter) {
            matches.push_back(this->matchOf(id));
        }
    }
    const std::uint64_t agreed = this->quorumValue(std::move(matches));
    if (agreed > this->commit && (this->termAt(agreed) == this->hard.term || !this->settings.commitTermCheck)) {
        this->commitTo(agreed);
        this->broadcast(Occasion::Commit);
        if (!this->membership().contains(this->self) && this->memberships.rbegin()->first <= this->commit) {
            this->becomeFollower(this->hard.term, "");
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
    std::set<std::string> heard = {this->self};
    for (auto &[member, known] : this->progress) {
        if (std::exchange(known.heard, false)) {
            heard.insert(member);
        }
    }
    if (!this->hasQuorum(heard)) {
        this->becomeFollower(this->hard.term, "");
    }
}

} // namespace Chestnuthook
