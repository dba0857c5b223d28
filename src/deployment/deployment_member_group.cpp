/** @file deployment_member_group.cpp  Membership of the control group: the changes that the leader plans, and how a
 * member leaves before its process ends. */
#include <algorithm>
#include <utility>

#include "deployment/deployment_member_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

/** Entries that a standby may lack, as they may be on their way to it. */
constexpr std::uint64_t MaxStandbyLag = 16;
/** The leader plans more often than this unless its process has stood still. Then it has heard nothing meanwhile, and
 * the silence of the others counts anew. */
constexpr Duration MaxPlanInterval = std::chrono::milliseconds(600);
/** A new learner usually has the log by then. */
constexpr auto CatchUpTime = 50 * kj::MILLISECONDS;
constexpr auto LeavePollInterval = 25 * kj::MILLISECONDS;
constexpr auto LeaveCallTimeout = 250 * kj::MILLISECONDS;
/** Members that were removed may come back within this time, as after a restart, and take another one's place. */
constexpr Duration ReturnTime = std::chrono::seconds(3);
/** A member that hasn't repeated its request to leave for this long has ended, and may have been started again. */
constexpr Duration LeaveRequestTtl = std::chrono::seconds(1);

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

} // namespace

bool DeploymentMember::isLeaving(const std::string &identity) const
{
    const auto request = this->leaveRequests.find(identity);
    return request != this->leaveRequests.end() && this->loop.timers().now() - request->second <= LeaveRequestTtl;
}

std::vector<GroupMemberState> DeploymentMember::groupMembers() const
{
    const Instant now = this->loop.timers().now();
    std::vector<GroupMemberState> members;
    for (const MemberView &view : this->node.members()) {
        const auto report = this->registry.controlReport(view.identity);
        const bool isSelf = view.identity == this->node.identity();
        GroupMemberState member;
        member.identity = view.identity;
        member.address = view.address;
        member.isVoter = view.role != "learner";
        member.isLeader = isSelf;
        member.isAlive = isSelf || (report && report->isAlive);
        const Instant heardAt = std::max(report ? report->at : Instant(0), this->groupObservedSince);
        member.silentFor = isSelf ? Duration(0) : now - heardAt;
        member.isCaughtUp = view.matchIndex + MaxStandbyLag >= this->node.commitIndex();
        member.isLeaving = this->isLeaving(view.identity);
        members.push_back(std::move(member));
    }
    return members;
}

std::vector<GroupCandidate> DeploymentMember::groupCandidates() const
{
    std::vector<GroupCandidate> candidates;
    for (const InstanceInfo &instance : this->registry.aliveControlInstances()) {
        const bool isLeaving = !instance.ready || this->isLeaving(instance.identity);
        candidates.push_back({instance.identity, instance.rpcAddress, isLeaving});
    }
    return candidates;
}

void DeploymentMember::planGroup()
{
    if (!this->isLeader()) {
        return;
    }
    const Instant now = this->loop.timers().now();
    if (now - std::exchange(this->groupPlannedAt, now) > MaxPlanInterval) {
        this->groupObservedSince = now;
    }
    if (this->isChangingGroup) {
        return;
    }
    const std::vector<GroupMemberState> members = this->groupMembers();
    const auto change = planGroupChange(members, this->groupCandidates(), this->settings.toleratedFailures);
    if (!change) {
        return;
    }
    const auto member = std::ranges::find(members, change->identity, &GroupMemberState::identity);
    const Duration silentFor = member == members.end() ? Duration(0) : member->silentFor;
    logEvent(EventKind::MembershipChanged,
        {{"what", std::string(nameOf(change->kind))}, {"reason", std::string(nameOf(change->reason))},
            {"identity", change->identity}, {"address", change->address}, {"silent_ms", millisecondsText(silentFor)}});
    this->changeGroup(*change);
}

void DeploymentMember::changeGroup(const GroupChange &change)
{
    this->isChangingGroup = true;
    auto done = change.kind == GroupChangeKind::AddLearner ? this->node.addLearner(change.identity, change.address)
        : change.kind == GroupChangeKind::Promote          ? this->node.promoteLearner(change.identity)
                                                           : this->node.removeMember(change.identity);
    const Instant start = this->loop.timers().now();
    this->loop.detach(done.then([this, change, start](Result<void> &&result) -> kj::Promise<void> {
        this->isChangingGroup = false;
        logEvent(EventKind::MembershipChanged,
            {{"what", "change of the control group"}, {"identity", change.identity},
                {"outcome", result ? "committed" : errorText(result.error())},
                {"ms", millisecondsText(this->loop.timers().now() - start)}});
        if (!result) {
            return kj::READY_NOW; // The next leader task plans again.
        }
        if (change.reason == GroupChangeReason::Leaving || change.reason == GroupChangeReason::Silent) {
            this->lastRemoval = this->loop.timers().now();
        }
        auto next = change.kind == GroupChangeKind::AddLearner ? this->loop.kjTimer().afterDelay(CatchUpTime)
                                                               : kj::Promise<void>(kj::READY_NOW);
        return next.then([this]() {
            this->planGroup();
        });
    }));
}

std::optional<LeaveState> DeploymentMember::requestLeave(const std::string &identity)
{
    if (!this->isLeader()) {
        return std::nullopt;
    }
    const Instant now = this->loop.timers().now();
    std::erase_if(this->leaveRequests, [now](const auto &request) {
        return now - request.second > LeaveRequestTtl;
    });
    if (this->leaveRequests.insert_or_assign(identity, now).second) {
        logEvent(EventKind::MembershipChanged, {{"what", "control member asks to leave"}, {"identity", identity}});
    }
    this->planGroup();
    if (this->isChangingGroup) {
        return LeaveState::Pending;
    }
    const LeaveState state =
        leaveState(this->groupMembers(), this->groupCandidates(), this->settings.toleratedFailures, identity);
    const bool isReturnDue = this->lastRemoval.us != 0 && now - this->lastRemoval <= ReturnTime;
    return state == LeaveState::Refused && isReturnDue ? LeaveState::Pending : state;
}

kj::Promise<std::optional<LeaveState>> DeploymentMember::askToLeave()
{
    using Answer = std::optional<LeaveState>;
    if (this->node.isOutsideGroup()) {
        return Answer(LeaveState::Left);
    }
    const std::string leader = this->node.leaderAddress();
    if (this->isLeader() || leader.empty() || leader == this->settings.self.rpcAddress) {
        return this->requestLeave(this->node.identity());
    }
    auto called = this->watcher.links.services(leader).then([this](OfferedServices &&services) {
        auto request = services.deployment.castAs<Wire::Deployment>().leaveGroupRequest();
        request.setIdentity(wireText(this->node.identity()));
        return request.send();
    });
    return this->loop.kjTimer()
        .timeoutAfter(LeaveCallTimeout, kj::mv(called))
        .then(
            [](auto &&response) -> Answer {
                switch (response.getState()) {
                case Wire::LeaveState::NOT_LEADER:
                    return std::nullopt;
                case Wire::LeaveState::PENDING:
                    return LeaveState::Pending;
                case Wire::LeaveState::LEFT:
                    return LeaveState::Left;
                case Wire::LeaveState::REFUSED:
                    return LeaveState::Refused;
                }
                return LeaveState::Refused; // A state that only later builds know.
            },
            [](kj::Exception &&exception) -> Answer {
                // A leader of a build before this call keeps the member until it has been silent for long.
                const bool isUnknown = exception.getType() == kj::Exception::Type::UNIMPLEMENTED;
                return isUnknown ? Answer(LeaveState::Refused) : std::nullopt;
            });
}

kj::Promise<void> DeploymentMember::leaveGroup(Duration limit)
{
    this->settings.self.ready = false; // It isn't added again while it finishes requests.
    this->watcher.reportNow();
    const Instant start = this->loop.timers().now();
    return this->leaveUntil(start, start + limit);
}

kj::Promise<void> DeploymentMember::leaveUntil(Instant start, Instant end)
{
    return this->askToLeave().then([this, start, end](std::optional<LeaveState> state) -> kj::Promise<void> {
        const Instant now = this->loop.timers().now();
        const bool isDecided = state && *state != LeaveState::Pending;
        if (!isDecided && now < end) {
            return this->loop.kjTimer().afterDelay(LeavePollInterval).then([this, start, end]() {
                return this->leaveUntil(start, end);
            });
        }
        logEvent(EventKind::MembershipChanged,
            {{"what", "leaves the control group"}, {"outcome", state ? std::string(nameOf(*state)) : "no leader"},
                {"ms", millisecondsText(now - start)}});
        return kj::READY_NOW;
    });
}

} // namespace Chestnuthook
