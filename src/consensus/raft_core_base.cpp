/** @file raft_core_base.cpp  State, inputs and actions of a RaftCore. */
#include "consensus/raft_core_base.h"

#include <algorithm>
#include <iterator>
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

RaftCore::RaftCore(const RaftSettings &settings, std::string self, std::uint64_t seed, RaftPersistentState restored)
    : settings(settings)
    , self(std::move(self))
    , random(seed)
    , currentHardState(std::move(restored.hardState))
    , log(restored.baseIndex, restored.baseTerm, std::move(restored.entries))
    , lastSnapshot(std::move(restored.snapshot))
{
    this->commit = this->lastSnapshot.index;
    this->memberships[this->lastSnapshot.index] = this->lastSnapshot.membership;
    for (std::uint64_t index = this->firstIndex(); index <= this->lastIndex(); ++index) {
        const RaftEntry &entry = this->entryAt(index);
        if (entry.kind == RaftEntryKind::Membership && entry.index > this->lastSnapshot.index) {
            this->memberships[entry.index] = decodeMembership(entry.data.str());
        }
    }
    this->syncedIndex = this->lastIndex();
    this->resetElectionTimer();
}

void RaftCore::bootstrap(const RaftMembership &membership)
{
    if (this->currentHardState.term != 0 || this->lastIndex() != 0) {
        return;
    }
    this->setHardState(1, "");
    this->appendEntry(RaftEntry{1, 1, RaftEntryKind::Membership, encodeMembership(membership)});
}

void RaftCore::tick()
{
    ++this->electionElapsed;
    if (this->currentRole != RaftRole::Leader) {
        if (this->electionElapsed >= this->electionTimeout && this->mayCampaign()) {
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
        this->readRound += this->committedInTerm() ? 1 : 0;
        this->broadcast(BroadcastReason::Heartbeat);
    }
}

void RaftCore::resign(unsigned ticks)
{
    if (this->currentRole == RaftRole::Leader) {
        this->becomeFollower(this->currentHardState.term, "");
        this->electionTimeout += ticks;
    }
}

void RaftCore::receive(const RaftMessage &message)
{
    if (message.to != this->self) {
        return; // Addressed to an earlier identity of this member.
    }
    const bool fromLeader = message.kind == RaftMessageKind::Append || message.kind == RaftMessageKind::Snapshot;
    if (message.kind == RaftMessageKind::Vote) {
        this->handleVote(message);
        return;
    }
    if (message.kind == RaftMessageKind::VoteReply && message.isPreVote && message.ok) {
        this->handleVoteReply(message);
        return;
    }
    if (message.term < this->currentHardState.term) {
        if (fromLeader) {
            this->sendAfterSync(this->makeMessage(RaftMessageKind::AppendReply, message.from));
        }
        return;
    }
    if (message.term > this->currentHardState.term || (fromLeader && this->currentRole != RaftRole::Leader)) {
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

void RaftCore::batchSynced(std::uint64_t batch)
{
    this->syncedBatch = std::max(this->syncedBatch, batch);
    while (!this->lastIndexByBatch.empty() && this->lastIndexByBatch.begin()->first <= batch) {
        this->syncedIndex = std::min(this->lastIndexByBatch.begin()->second, this->lastIndex());
        this->lastIndexByBatch.erase(this->lastIndexByBatch.begin());
    }
    while (!this->deferredMessages.empty() && this->deferredMessages.front().first <= this->syncedBatch) {
        this->actions.messages.push_back(std::move(this->deferredMessages.front().second));
        this->deferredMessages.pop_front();
    }
    if (this->currentRole == RaftRole::Leader) {
        this->advanceCommit();
    }
}

std::optional<std::uint64_t> RaftCore::propose(SharedBytes command)
{
    if (this->currentRole != RaftRole::Leader) {
        return std::nullopt;
    }
    this->appendNewEntry(RaftEntryKind::Command, std::move(command));
    return this->lastIndex();
}

RaftActions RaftCore::takeActions()
{
    if (this->currentRole == RaftRole::Leader) {
        this->startReadRound();
        this->broadcast(BroadcastReason::Entries);
    }
    if (this->persistPending) {
        this->actions.batch = this->lastBatch;
        this->lastIndexByBatch[this->lastBatch] = this->lastIndex();
        this->persistPending = false;
        if (!this->settings.waitForSync) {
            this->batchSynced(this->lastBatch);
        }
    }
    return std::exchange(this->actions, RaftActions{});
}

const RaftMembership &RaftCore::membership() const
{
    return this->memberships.rbegin()->second;
}

std::uint64_t RaftCore::matchIndexOf(const std::string &member) const
{
    if (member == this->self) {
        return this->syncedIndex;
    }
    const auto known = this->progress.find(member);
    return known == this->progress.end() ? 0 : known->second.match;
}

bool RaftCore::committedInTerm() const
{
    return this->currentRole == RaftRole::Leader && this->termAt(this->commit) == this->currentHardState.term;
}

void RaftCore::becomeFollower(std::uint64_t term, const std::string &newLeader)
{
    if (term > this->currentHardState.term) {
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
    this->currentHardState = RaftHardState{term, vote};
    this->actions.hardState = this->currentHardState;
    this->beginBatch();
}

void RaftCore::setElectionTicks(unsigned ticks)
{
    this->settings.electionTicks = ticks;
}

void RaftCore::resetElectionTimer()
{
    this->electionElapsed = 0;
    this->electionTimeout =
        this->settings.electionTicks + static_cast<unsigned>(this->random() % this->settings.electionTicks);
    if (this->isVoter(this->self) && this->hasQuorum({this->self})) {
        this->electionTimeout = 1; // The only voter needs no other votes.
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
        this->deferredMessages.emplace_back(this->lastBatch, std::move(message));
    }
}

RaftMessage RaftCore::makeMessage(RaftMessageKind kind, const std::string &to) const
{
    RaftMessage message;
    message.kind = kind;
    message.from = this->self;
    message.to = to;
    message.term = this->currentHardState.term;
    return message;
}

void RaftCore::appendNewEntry(RaftEntryKind kind, SharedBytes data)
{
    this->appendEntry(RaftEntry{this->currentHardState.term, this->lastIndex() + 1, kind, std::move(data)});
}

void RaftCore::appendEntry(const RaftEntry &entry)
{
    this->log.append(entry);
    this->actions.append.push_back(entry);
    if (entry.kind == RaftEntryKind::Membership) {
        this->memberships[entry.index] = decodeMembership(entry.data.str());
        this->updateProgress();
    }
    this->beginBatch();
}

void RaftCore::beginBatch()
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

bool RaftCore::mayCampaign() const
{
    const auto latest = this->memberships.rbegin();
    if (this->isVoter(this->self) || latest->first <= this->commit || this->memberships.size() == 1) {
        return this->isVoter(this->self);
    }
    const RaftMembership &before = std::next(latest)->second;
    const auto known = before.find(this->self);
    return known != before.end() && known->second.voter;
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
