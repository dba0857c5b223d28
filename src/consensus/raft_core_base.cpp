/** @file raft_core_base.cpp  State, inputs and actions of the core. */
#include "consensus/raft_core_base.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Chestnuthook
{

std::string encodeMembership(const RaftMembership &membership)
{
    std::ostringstream stream;
    for (const auto &[id, member] : membership) {
        stream << id << ' ' << member.address << ' ' << (member.voter ? "voter" : "learner") << '\n';
    }
    return stream.str();
}

RaftMembership decodeMembership(const std::string &bytes)
{
    RaftMembership membership;
    std::istringstream stream(bytes);
    std::string id;
    std::string address;
    std::string role;
    while (stream >> id >> address >> role) {
        membership[id] = RaftMember{address, role == "voter"};
    }
    return membership;
}

RaftCore::RaftCore(const RaftSettings &settings, std::string self, std::uint64_t seed, RaftRestored restored)
    : settings(settings)
    , self(std::move(self))
    , random(seed)
    , hard(std::move(restored.hardState))
    , baseIndex(restored.baseIndex)
    , baseTerm(restored.baseTerm)
    , entries(restored.entries.begin(), restored.entries.end())
    , lastSnapshot(std::move(restored.snapshot))
{
    this->commit = this->lastSnapshot.index;
    this->memberships[this->lastSnapshot.index] = this->lastSnapshot.membership;
    for (const RaftEntry &entry : this->entries) {
        if (entry.kind == RaftEntryKind::Membership && entry.index > this->lastSnapshot.index) {
            this->memberships[entry.index] = decodeMembership(entry.data);
        }
    }
    this->syncedIndex = this->lastIndex();
    this->resetElectionTimer();
}

void RaftCore::found(const RaftMembership &membership)
{
    if (this->hard.term != 0 || this->lastIndex() != 0) {
        return;
    }
    this->setHardState(1, "");
    this->store(RaftEntry{1, 1, RaftEntryKind::Membership, encodeMembership(membership)});
}

void RaftCore::tick()
{
    ++this->electionElapsed;
    if (this->currentRole != RaftRole::Leader) {
        if (this->electionElapsed >= this->electionTimeout && this->isVoter(this->self)) {
            this->campaign(this->settings.preVote);
        }
        return;
    }
    ++this->quorumElapsed;
    ++this->heartbeatElapsed;
    if (this->quorumElapsed >= this->settings.electionTicks) {
        this->checkQuorum();
    }
    if (this->currentRole == RaftRole::Leader && this->heartbeatElapsed >= this->settings.heartbeatTicks) {
        this->heartbeatElapsed = 0;
        this->broadcast(Occasion::Heartbeat);
    }
}

void RaftCore::receive(const RaftMessage &message)
{
    if (message.to != this->self) {
        return; // Meant for an earlier identity.
    }
    const bool fromLeader = message.kind == RaftMessageKind::Append || message.kind == RaftMessageKind::Snapshot;
    if (message.kind == RaftMessageKind::Vote) {
        this->handleVote(message);
        return;
    }
    if (message.kind == RaftMessageKind::VoteReply && message.pre && message.ok) {
        this->handleVoteReply(message);
        return;
    }
    if (message.term < this->hard.term) {
        if (fromLeader) {
            this->sendAfterSync(this->makeMessage(RaftMessageKind::AppendReply, message.from));
        }
        return;
    }
    if (message.term > this->hard.term || (fromLeader && this->currentRole != RaftRole::Leader)) {
        this->becomeFollower(message.term, fromLeader ? message.from : "");
    }
    switch (message.kind) {
    case RaftMessageKind::Vote:
        break;
    case RaftMessageKind::VoteReply:
        this->handleVoteReply(message);
        break;
    case RaftMessageKind::Append:
        this->handleAppend(message);
        break;
    case RaftMessageKind::AppendReply:
        this->handleAppendReply(message);
        break;
    case RaftMessageKind::Snapshot:
        this->handleSnapshot(message);
        break;
    case RaftMessageKind::SnapshotReply:
        this->handleSnapshotReply(message);
        break;
    }
}

void RaftCore::synced(std::uint64_t batch)
{
    this->syncedBatch = std::max(this->syncedBatch, batch);
    while (!this->batchLast.empty() && this->batchLast.begin()->first <= batch) {
        this->syncedIndex = std::min(this->batchLast.begin()->second, this->lastIndex());
        this->batchLast.erase(this->batchLast.begin());
    }
    while (!this->held.empty() && this->held.front().first <= this->syncedBatch) {
        this->actions.messages.push_back(std::move(this->held.front().second));
        this->held.pop_front();
    }
    if (this->currentRole == RaftRole::Leader) {
        this->advanceCommit();
    }
}

std::optional<std::uint64_t> RaftCore::propose(std::string command)
{
    if (this->currentRole != RaftRole::Leader) {
        return std::nullopt;
    }
    this->appendOwn(RaftEntryKind::Command, std::move(command));
    return this->lastIndex();
}

RaftActions RaftCore::takeActions()
{
    if (this->currentRole == RaftRole::Leader) {
        this->startReadRound();
        this->broadcast(Occasion::Entries);
    }
    if (this->persistPending) {
        this->actions.batch = this->lastBatch;
        this->batchLast[this->lastBatch] = this->lastIndex();
        this->persistPending = false;
        if (!this->settings.waitForSync) {
            this->synced(this->lastBatch);
        }
    }
    return std::exchange(this->actions, RaftActions{});
}

std::uint64_t RaftCore::termAt(std::uint64_t index) const
{
    if (index == this->baseIndex) {
        return this->baseTerm;
    }
    return index > this->baseIndex && index <= this->lastIndex() ? this->entryAt(index).term : 0;
}

const RaftMembership &RaftCore::membership() const
{
    return this->memberships.rbegin()->second;
}

std::uint64_t RaftCore::matchOf(const std::string &member) const
{
    if (member == this->self) {
        return this->syncedIndex;
    }
    const auto known = this->progress.find(member);
    return known == this->progress.end() ? 0 : known->second.match;
}

bool RaftCore::committedInTerm() const
{
    return this->currentRole == RaftRole::Leader && this->termAt(this->commit) == this->hard.term;
}

void RaftCore::becomeFollower(std::uint64_t term, const std::string &newLeader)
{
    if (term > this->hard.term) {
        this->setHardState(term, "");
    }
    if (this->currentRole == RaftRole::Leader) {
        this->failReads();
    }
    this->currentRole = RaftRole::Follower;
    this->leaderId = newLeader;
    this->progress.clear();
    this->votes.clear();
    this->resetElectionTimer();
}

void RaftCore::setHardState(std::uint64_t term, const std::string &vote)
{
    this->hard = RaftHardState{term, vote};
    this->actions.hardState = this->hard;
    this->noteBatch();
}

void RaftCore::resetElectionTimer()
{
    this->electionElapsed = 0;
    this->electionTimeout =
        this->settings.electionTicks + static_cast<unsigned>(this->random() % this->settings.electionTicks);
    if (this->isVoter(this->self) && this->hasQuorum({this->self})) {
        this->electionTimeout = 1; // Nobody else to wait for.
    }
}

void RaftCore::send(RaftMessage message)
{
    this->actions.messages.push_back(std::move(message));
}

void RaftCore::sendAfterSync(RaftMessage message)
{
    if (this->lastBatch <= this->syncedBatch || !this->settings.waitForSync) {
        this->send(std::move(message));
    } else {
        this->held.emplace_back(this->lastBatch, std::move(message));
    }
}

RaftMessage RaftCore::makeMessage(RaftMessageKind kind, const std::string &to) const
{
    RaftMessage message;
    message.kind = kind;
    message.from = this->self;
    message.to = to;
    message.term = this->hard.term;
    return message;
}

void RaftCore::appendOwn(RaftEntryKind kind, std::string data)
{
    this->store(RaftEntry{this->hard.term, this->lastIndex() + 1, kind, std::move(data)});
}

void RaftCore::store(const RaftEntry &entry)
{
    this->entries.push_back(entry);
    this->actions.append.push_back(entry);
    if (entry.kind == RaftEntryKind::Membership) {
        this->memberships[entry.index] = decodeMembership(entry.data);
        this->followMembership();
    }
    this->noteBatch();
}

void RaftCore::noteBatch()
{
    if (!this->persistPending) {
        ++this->lastBatch;
        this->persistPending = true;
    }
}

bool RaftCore::isVoter(const std::string &member) const
{
    const auto known = this->membership().find(member);
    return known != this->membership().end() && known->second.voter;
}

bool RaftCore::hasQuorum(const std::set<std::string> &members) const
{
    std::size_t voters = 0;
    std::size_t counted = 0;
    for (const auto &[id, member] : this->membership()) {
        voters += member.voter ? 1 : 0;
        counted += member.voter && members.contains(id) ? 1 : 0;
    }
    return counted * 2 > voters;
}

void RaftCore::failReads()
{
    for (const PendingRead &read : this->reads) {
        this->actions.reads.push_back(RaftRead{read.id, 0});
    }
    this->reads.clear();
}

} // namespace Chestnuthook
