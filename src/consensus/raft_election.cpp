/** @file raft_election.cpp  Pre-votes, votes and the start of a leader's term. */
#include "consensus/raft_core_base.h"

namespace Chestnuthook
{

void RaftCore::campaign(bool pre)
{
    this->resetElectionTimer();
    this->leaderId.clear();
    this->votes = {this->self};
    this->currentRole = pre ? RaftRole::PreCandidate : RaftRole::Candidate;
    if (!pre) {
        this->setHardState(this->hard.term + 1, this->self);
    }
    for (const auto &[id, member] : this->membership()) {
        if (id == this->self || !member.voter) {
            continue;
        }
        RaftMessage request = this->makeMessage(RaftMessageKind::Vote, id);
        request.pre = pre;
        request.term = pre ? this->hard.term + 1 : this->hard.term;
        request.index = this->lastIndex();
        request.logTerm = this->termAt(this->lastIndex());
        this->sendAfterSync(std::move(request));
    }
    if (this->hasQuorum(this->votes)) {
        if (pre) {
            this->campaign(false);
        } else {
            this->becomeLeader();
        }
    }
}

bool RaftCore::hearsLeader() const
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
    reply.pre = message.pre;
    if (message.pre) {
        reply.ok = message.term > this->hard.term && upToDate && !this->hearsLeader();
        reply.term = reply.ok ? message.term : this->hard.term;
        this->sendAfterSync(std::move(reply));
        return;
    }
    if (message.term > this->hard.term) {
        if (this->hearsLeader()) {
            return; // The leader is well; a member that was cut off must not depose it.
        }
        this->becomeFollower(message.term, "");
    }
    reply.term = this->hard.term;
    const bool free = this->hard.vote.empty() || this->hard.vote == message.from;
    if (message.term == this->hard.term && upToDate && free) {
        if (this->hard.vote.empty()) {
            this->setHardState(this->hard.term, message.from);
        }
        this->resetElectionTimer();
        reply.ok = true;
    }
    this->sendAfterSync(std::move(reply));
}

void RaftCore::handleVoteReply(const RaftMessage &message)
{
    const std::uint64_t asked = this->hard.term + (message.pre ? 1 : 0);
    const bool waiting =
        message.pre ? this->currentRole == RaftRole::PreCandidate : this->currentRole == RaftRole::Candidate;
    if (!message.ok || !waiting || message.term != asked) {
        return;
    }
    this->votes.insert(message.from);
    if (!this->hasQuorum(this->votes)) {
        return;
    }
    if (message.pre) {
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
    this->quorumElapsed = 0;
    this->progress.clear();
    this->followMembership();
    this->appendOwn(RaftEntryKind::NoOp, "");
}

} // namespace Chestnuthook
