/** @file raft_read.cpp  Reads confirmed by a quorum, membership changes and log compaction. */
#include "consensus/raft_core_base.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace Chestnuthook
{

std::optional<std::uint64_t> RaftCore::requestRead()
{
    if (this->currentRole != RaftRole::Leader) {
        return std::nullopt;
    }
    this->reads.push_back(PendingRead{this->nextRead, 0, 0});
    return this->nextRead++;
}

void RaftCore::startReadRound()
{
    const bool anyUnsent = std::any_of(this->reads.begin(), this->reads.end(), [](const PendingRead &read) {
        return read.context == 0;
    });
    if (!anyUnsent || !this->committedInTerm()) {
        return; // Until then this leader may not know that entries acknowledged by an earlier leader are committed.
    }
    ++this->readRound;
    for (PendingRead &read : this->reads) {
        if (read.context == 0) {
            read.context = this->readRound;
            read.index = this->commit;
        }
    }
    this->broadcast(BroadcastReason::Commit);
    this->confirmReads();
}

void RaftCore::confirmReads()
{
    std::vector<std::uint64_t> rounds;
    for (const auto &[id, member] : this->membership()) {
        if (member.voter) {
            const auto known = this->progress.find(id);
            rounds.push_back(id == this->self       ? this->readRound
                    : known == this->progress.end() ? 0
                                                    : known->second.readContext);
        }
    }
    const std::uint64_t confirmed = this->quorumValue(std::move(rounds));
    this->quorumRound = confirmed;
    std::erase_if(this->reads, [this, confirmed](const PendingRead &read) {
        const bool done = read.context != 0 && read.context <= confirmed;
        if (done) {
            this->actions.reads.push_back(RaftRead{read.id, read.index});
        }
        return done;
    });
}

std::uint64_t RaftCore::quorumValue(std::vector<std::uint64_t> values) const
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

void RaftCore::updateProgress()
{
    if (this->currentRole != RaftRole::Leader) {
        return;
    }
    std::erase_if(this->progress, [this](const auto &known) {
        return !this->membership().contains(known.first);
    });
    for (const auto &[id, member] : this->membership()) {
        if (id != this->self && !this->progress.contains(id)) {
            Progress known;
            known.next = this->lastIndex() + 1;
            known.active = true;
            this->progress[id] = known;
        }
    }
}

std::optional<std::uint64_t> RaftCore::proposeMembership(const RaftMembership &next)
{
    if (!this->committedInTerm() || !this->isMembershipCommitted()) {
        return std::nullopt;
    }
    std::size_t changes = 0;
    for (const auto &[id, member] : next) {
        const auto known = this->membership().find(id);
        changes += known == this->membership().end() || known->second != member ? 1 : 0;
    }
    for (const auto &[id, member] : this->membership()) {
        changes += next.contains(id) ? 0 : 1;
    }
    const bool hasVoter = std::any_of(next.begin(), next.end(), [](const auto &row) {
        return row.second.voter;
    });
    if (changes != 1 || !hasVoter) {
        return std::nullopt;
    }
    this->appendNewEntry(RaftEntryKind::Membership, encodeMembership(next));
    return this->lastIndex();
}

void RaftCore::compact(std::uint64_t index, std::string data, std::uint64_t keepFrom)
{
    if (index <= this->lastSnapshot.index || index > this->commit) {
        return;
    }
    const auto membershipAtIndex = std::prev(this->memberships.upper_bound(index));
    this->lastSnapshot = RaftSnapshot{index, this->termAt(index), membershipAtIndex->second, std::move(data)};
    this->memberships.erase(this->memberships.begin(), membershipAtIndex);
    this->log.dropTo(std::min(index, keepFrom == 0 ? 0 : keepFrom - 1));
}

} // namespace Chestnuthook
