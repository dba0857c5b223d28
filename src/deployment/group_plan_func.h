/** @file group_plan_func.h  Plans the next membership change of the control group. No I/O, no clock.
 *
 * Votes of members that have ended for good count until they are removed, so the group must not get to where those are
 * half of all. A further instance therefore stays a learner, a standby that holds the log, until it makes the number of
 * voters odd: an even number bears no more losses than the odd one below it, and needs one more voter for each commit.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/name_table_type.h"
#include "core/timer_type.h"

namespace Chestnuthook
{

/** State of a member of the group, as the leader knows it. */
struct GroupMemberState
{
    std::string identity; ///< Identity of its data folder.
    std::string address; ///< Address of its control port.
    bool isVoter = false; ///< Voter, otherwise learner.
    Duration silentFor{0}; ///< Time since its last report, at most since the leader was elected.
    bool isAlive = false; ///< Has reported to this leader lately.
    bool isCaughtUp = false; ///< Holds the whole log but for entries that are on their way.
    bool isLeaving = false; ///< Its process is about to end, perhaps for good.
    bool isLeader = false; ///< The leader itself.
};

/** A control instance that is alive. */
struct GroupCandidate
{
    std::string identity; ///< Identity of its data folder.
    std::string address; ///< Address of its control port.
    bool isLeaving = false; ///< Its process is about to end.
};

enum class GroupChangeKind : std::uint8_t {
    AddLearner, ///< A new member, without a vote.
    Promote, ///< A learner becomes a voter.
    Remove, ///< A member is removed.
};

template<>
struct NameTable<GroupChangeKind>
{
    static constexpr auto Rows = std::to_array<NameRow<GroupChangeKind>>({
        {GroupChangeKind::AddLearner, "control member joins"},
        {GroupChangeKind::Promote, "control member gets a vote"},
        {GroupChangeKind::Remove, "control member is removed"},
    });
};

enum class GroupChangeReason : std::uint8_t {
    NewInstance, ///< An instance outside of the group is alive.
    OddVoters, ///< The number of voters becomes odd, or at least the wanted one.
    Replacement, ///< A standby takes the place of a voter that is about to leave.
    DataLost, ///< The instance at its address has another data folder.
    Silent, ///< It hasn't reported for too long.
    Leaving, ///< Its process is about to end.
};

template<>
struct NameTable<GroupChangeReason>
{
    static constexpr auto Rows = std::to_array<NameRow<GroupChangeReason>>({
        {GroupChangeReason::NewInstance, "new_instance"},
        {GroupChangeReason::OddVoters, "odd_voters"},
        {GroupChangeReason::Replacement, "replacement"},
        {GroupChangeReason::DataLost, "data_lost"},
        {GroupChangeReason::Silent, "silent"},
        {GroupChangeReason::Leaving, "leaving"},
    });
};

struct GroupChange
{
    GroupChangeKind kind = GroupChangeKind::AddLearner;
    GroupChangeReason reason = GroupChangeReason::NewInstance;
    std::string identity; ///< Identity of the member that is added, promoted or removed.
    std::string address; ///< Its address.
    bool operator==(const GroupChange &) const = default;
};

/** A voter without a report for this long is removed if a standby can take its place. It is added again when it comes
 * back. */
constexpr Duration StandbyTakeoverTimeout = std::chrono::seconds(1);
/** A member without a report for this long is removed even without a standby, as long as enough voters remain. Longer
 * than a process restart takes. */
constexpr Duration MemberLostTimeout = std::chrono::seconds(2);

/** The next change, if any. The disks of @p toleratedFailures members may be lost at a time, while any others are down
 * for a while. */
[[nodiscard]] std::optional<GroupChange> planGroupChange(const std::vector<GroupMemberState> &members,
    const std::vector<GroupCandidate> &alive, std::size_t toleratedFailures);

/** Progress of a member's request to leave the group before its process ends. */
enum class LeaveState : std::uint8_t {
    Pending, ///< It is to ask again.
    Left, ///< It has no vote.
    Refused, ///< No other instance can take its place, so it stays a member while its process is down.
};

template<>
struct NameTable<LeaveState>
{
    static constexpr auto Rows = std::to_array<NameRow<LeaveState>>({
        {LeaveState::Pending, "pending"},
        {LeaveState::Left, "left"},
        {LeaveState::Refused, "refused"},
    });
};

/** Progress of the request of @p identity while no change is in progress, without regard to instances that may come
 * back; the arguments are those of planGroupChange. */
[[nodiscard]] LeaveState leaveState(const std::vector<GroupMemberState> &members,
    const std::vector<GroupCandidate> &alive, std::size_t toleratedFailures, const std::string &identity);

} // namespace Chestnuthook
