/** @file raft_election.cpp  Pre-votes, votes and the start of a leader's term. */
#include "consensus/raft_core_base.h"

namespace Chestnuthook
{

void RaftCore::campaign(bool isPreVote)
{
    this->resetElectionTimer();
    this->leaderId.clear();
    this->votes = {this->self};
    this->currentRole = isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    if (!isPreVote) {
        this->setHardState(this->currentHardState.term + 1, this->self);
    }
    for (const auto &[id, member] : this->membership()) {
        if (id == this->self || !member.voter) {
            continue;
        }
        RaftMessage request = this->makeMessage(RaftMessageKind::Vote, id);
        request.isPreVote = isPreVote;
        request.term = isPreVote ? this->currentHardState.term + 1 : this->currentHardState.term;
        request.index = this->lastIndex();
        request.logTerm = this->termAt(this->lastIndex());
        this->sendAfterSync(std::move(request));
    }
    if (this->hasQuorum(this->votes)) {
        if (isPreVote) {
            this->campaign(false);
        } else {
            this->becomeLeader();
        }
    }
}

bool RaftCore::hasActiveLeader() const
{
    return this->currentRole == RaftRole::Leader
        || (!this->leaderId.empty() && this->electionElapsed < this->settings.electionTicks);
}

void RaftCore::handleVote(const RaftMessage &message)
{
    const std::uint64_t lastTerm = this->termAt(this->lastIndex());
    const bool upToDate =
        message.logTerm > lastTerm || (message.logTerm == lastTerm && message.index >= this->lastIndex());
    RaftMessage reply = this->makeMessage(RaftMessageKind::VoteReply, message.from);
    reply.isPreVote = message.isPreVote;
    if (message.isPreVote) {
        reply.ok = message.term > this->currentHardState.term && upToDate && !this->hasActiveLeader();
        reply.term = reply.ok ? message.term : this->currentHardState.term;
        this->sendAfterSync(std::move(reply));
        return;
    }
    if (message.term > this->currentHardState.term) {
        if (this->hasActiveLeader()) {
            return; // The leader is alive; a member that was partitioned must not depose it.
        }
        this->becomeFollower(message.term, "");
    }
    reply.term = this->currentHardState.term;
    const bool canVote = this->currentHardState.vote.empty() || this->currentHardState.vote == message.from;
    if (message.term == this->currentHardState.term && upToDate && canVote) {
        if (this->currentHardState.vote.empty()) {
            this->setHardState(this->currentHardState.term, message.from);
        }
        this->resetElectionTimer();
        reply.ok = true;
    }
    this->sendAfterSync(std::move(reply));
}

void RaftCore::handleVoteReply(const RaftMessage &message)
{
    const std::uint64_t expectedTerm = this->currentHardState.term + (message.isPreVote ? 1 : 0);
    const bool expectsVotes =
        message.isPreVote ? this->currentRole == RaftRole::PreCandidate : this->currentRole == RaftRole::Candidate;
    if (!message.ok || !expectsVotes || message.term != expectedTerm) {
        return;
    }
    this->votes.insert(message.from);
    if (!this->hasQuorum(this->votes)) {
        return;
    }
    if (message.isPreVote) {
        this->campaign(false);
    } else {
        this->becomeLeader();
    }
}

void RaftCore::becomeLeader()
{
    this->currentRole = RaftRole::Leader;
    this->leaderId = this->self;
    this->heartbeatElapsed = 0;
    this->quorumRound = 0;
    this->quorumElapsed = 0;
    this->progress.clear();
    this->updateProgress();
    this->appendNewEntry(RaftEntryKind::NoOp, "");
}

} // namespace Chestnuthook
