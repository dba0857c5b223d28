/** @file group_plan_func.cpp  Rules for adding, promoting and removing control members. */
#include "deployment/group_plan_func.h"

#include <algorithm>

namespace Chestnuthook
{

namespace
{

constexpr std::size_t LeastVoters = 3; ///< With fewer, the loss of one stops the group.

/** The group as one planning step sees it. Each step changes one member, so that the majorities before and after it
 * have a voter in common. */
class GroupPlanner
{
public:
    GroupPlanner(const std::vector<GroupMemberState> &members, const std::vector<GroupCandidate> &alive,
        std::size_t toleratedFailures)
        : members(members)
        , alive(alive)
        , toleratedFailures(toleratedFailures)
        , minVoters(std::max(LeastVoters, 2 * toleratedFailures + 1))
    {
        for (const GroupMemberState &member : members) {
            this->voters += member.isVoter ? 1 : 0;
            this->aliveVoters += member.isVoter && member.isAlive ? 1 : 0;
            if (this->isStandby(member)) {
                this->standby = this->standby == nullptr ? &member : this->standby;
                ++this->standbys;
            }
        }
    }

    /** A member that has lost its data has no vote under its identity any more. */
    [[nodiscard]] std::optional<GroupChange> planLostData() const
    {
        const auto lost = std::ranges::find_if(this->members, [this](const GroupMemberState &member) {
            return this->hasLostData(member);
        });
        return this->change(lost, GroupChangeKind::Remove, GroupChangeReason::DataLost);
    }

    /** Removes first and promotes afterwards, so that a commit never needs more of the remaining voters than before. */
    [[nodiscard]] std::optional<GroupChange> planSilent() const
    {
        const auto silent = std::ranges::find_if(this->members, [this](const GroupMemberState &member) {
            if (member.isVoter && this->standby != nullptr) {
                return member.silentFor > StandbyTakeoverTimeout;
            }
            return member.silentFor > MemberLostTimeout && (!member.isVoter || this->mayShrink());
        });
        return this->change(silent, GroupChangeKind::Remove, GroupChangeReason::Silent);
    }

    /** Promotes first where the group would become too small, as all concerned are alive. The leader goes last: it
     * serves the requests of the others. */
    [[nodiscard]] std::optional<GroupChange> planLeaving() const
    {
        for (const bool isLeader : {false, true}) {
            const auto leaving = std::ranges::find_if(this->members, [isLeader](const GroupMemberState &member) {
                return member.isVoter && member.isLeaving && member.isLeader == isLeader;
            });
            if (leaving == this->members.end()) {
                continue;
            }
            if (this->mayShrink() && this->isRemovalSafe(*leaving)) {
                return this->change(leaving, GroupChangeKind::Remove, GroupChangeReason::Leaving);
            }
            if (this->standby != nullptr && !this->mayShrink()) {
                return this->promoteStandby(GroupChangeReason::Replacement);
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::optional<GroupChange> planPromotion() const
    {
        const bool becomesOdd = this->voters % 2 == 0 || this->standbys > 1;
        if (this->standby == nullptr || (!becomesOdd && this->voters >= this->minVoters)) {
            return std::nullopt;
        }
        return this->promoteStandby(GroupChangeReason::OddVoters);
    }

    [[nodiscard]] std::optional<GroupChange> planJoining() const
    {
        const auto joining = std::ranges::find_if(this->alive, [this](const GroupCandidate &candidate) {
            return !candidate.isLeaving
                && std::ranges::none_of(this->members, [&candidate](const GroupMemberState &member) {
                       return member.identity == candidate.identity || member.address == candidate.address;
                   });
        });
        if (joining == this->alive.end()) {
            return std::nullopt;
        }
        return GroupChange{
            GroupChangeKind::AddLearner, GroupChangeReason::NewInstance, joining->identity, joining->address};
    }

    /** Whether @p leaving should wait until other members have answered, come back or caught up. */
    [[nodiscard]] bool mayLeaveLater(const GroupMemberState &leaving) const
    {
        const bool hasLearner = !std::ranges::all_of(this->members, &GroupMemberState::isVoter);
        return this->mayShrink() || hasLearner || !this->hasQuorumWithout(leaving);
    }

private:
    using Members = std::vector<GroupMemberState>;

    [[nodiscard]] bool hasLostData(const GroupMemberState &member) const
    {
        return std::ranges::any_of(this->alive, [&member](const GroupCandidate &candidate) {
            return candidate.address == member.address && candidate.identity != member.identity;
        });
    }

    [[nodiscard]] bool isStandby(const GroupMemberState &member) const
    {
        return !member.isVoter && member.isAlive && member.isCaughtUp && !member.isLeaving
            && !this->hasLostData(member);
    }

    /** Whether the group has a voter more than it needs. */
    [[nodiscard]] bool mayShrink() const
    {
        return this->voters > this->minVoters;
    }

    /** Number of voters that are alive besides @p leaving. */
    [[nodiscard]] std::size_t aliveWithout(const GroupMemberState &leaving) const
    {
        return this->aliveVoters - (leaving.isAlive ? 1 : 0);
    }

    /** Whether the group keeps its majority while the process of @p leaving is down. */
    [[nodiscard]] bool hasQuorumWithout(const GroupMemberState &leaving) const
    {
        return 2 * this->aliveWithout(leaving) > this->voters;
    }

    /** Whether the group keeps its majority without @p leaving, even if the tolerated number of those that seem to be
     * alive has just been lost. Otherwise the removal might never be committed, and nothing after it. */
    [[nodiscard]] bool isRemovalSafe(const GroupMemberState &leaving) const
    {
        const std::size_t majority = (this->voters - 1) / 2 + 1;
        return this->aliveWithout(leaving) >= majority + this->toleratedFailures;
    }

    [[nodiscard]] std::optional<GroupChange> change(
        Members::const_iterator member, GroupChangeKind kind, GroupChangeReason reason) const
    {
        if (member == this->members.end()) {
            return std::nullopt;
        }
        return GroupChange{kind, reason, member->identity, member->address};
    }

    [[nodiscard]] GroupChange promoteStandby(GroupChangeReason reason) const
    {
        return {GroupChangeKind::Promote, reason, this->standby->identity, this->standby->address};
    }

    const Members &members; ///< Members of the group.
    const std::vector<GroupCandidate> &alive; ///< Control instances, members or not.
    const std::size_t toleratedFailures; ///< See planGroupChange().
    /** With fewer, the loss of the tolerated number of disks could take the majority. */
    const std::size_t minVoters;
    std::size_t voters = 0; ///< Number of voters.
    std::size_t aliveVoters = 0; ///< Those of them that are alive.
    std::size_t standbys = 0; ///< Learners that could become voters at once.
    const GroupMemberState *standby = nullptr; ///< The first of them; null if there is none.
};

} // namespace

std::optional<GroupChange> planGroupChange(const std::vector<GroupMemberState> &members,
    const std::vector<GroupCandidate> &alive, std::size_t toleratedFailures)
{
    const GroupPlanner planner(members, alive, toleratedFailures);
    for (const auto step : {&GroupPlanner::planLostData, &GroupPlanner::planSilent, &GroupPlanner::planLeaving,
             &GroupPlanner::planPromotion, &GroupPlanner::planJoining}) {
        if (auto change = (planner.*step)()) {
            return change;
        }
    }
    return std::nullopt;
}

LeaveState leaveState(const std::vector<GroupMemberState> &members, const std::vector<GroupCandidate> &alive,
    std::size_t toleratedFailures, const std::string &identity)
{
    const auto leaving = std::ranges::find(members, identity, &GroupMemberState::identity);
    if (leaving == members.end() || !leaving->isVoter) {
        return LeaveState::Left;
    }
    const bool isChanging = planGroupChange(members, alive, toleratedFailures).has_value();
    const bool mayLeaveLater = GroupPlanner(members, alive, toleratedFailures).mayLeaveLater(*leaving);
    return isChanging || mayLeaveLater ? LeaveState::Pending : LeaveState::Refused;
}

} // namespace Chestnuthook
