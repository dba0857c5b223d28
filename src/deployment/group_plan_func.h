/** @file group_plan_func.h  Plans the next membership change of the control group. No I/O, no clock. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** State of a member of the group, as the leader knows it. */
struct GroupMemberState
{
    std::string identity; ///< Identity of its data folder.
    std::string address; ///< Address of its control port.
    bool voter = false; ///< Voter, otherwise learner.
    Duration silentFor{0}; ///< Time since its last report.
};

/** A control instance that is alive. */
struct GroupCandidate
{
    std::string identity; ///< Identity of its data folder.
    std::string address; ///< Address of its control port.
};

struct GroupChange
{
    bool adds = false; ///< Adds a member, otherwise removes one.
    std::string identity; ///< Identity of the removed member; empty when adding.
    std::string address; ///< Address of the added or removed member.
    bool operator==(const GroupChange &) const = default;
};

/** A member without a report for this long is removed; it is added again when it comes back. */
constexpr Duration MemberLostTimeout = std::chrono::seconds(5);
/** Silent members are removed only while the group has more members than this. */
constexpr std::size_t MinMembers = 3;

/** The next change, if any. Adding an alive instance takes precedence over removing a silent member. */
[[nodiscard]] std::optional<GroupChange> planGroupChange(
    const std::vector<GroupMemberState> &members, const std::vector<GroupCandidate> &alive);

} // namespace Chestnuthook
