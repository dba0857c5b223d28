/** @file group_plan_func.h  Which control member joins or leaves the group next. Pure. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** A member of the group as its leader knows it. */
struct GroupMemberState
{
    std::string identity; ///< Of its data folder.
    std::string address; ///< Its control port.
    bool voter = false; ///< Else a learner.
    Duration silentFor{0}; ///< Since it was heard last.
};

/** A control instance that lives. */
struct GroupCandidate
{
    std::string identity; ///< Of its data folder.
    std::string address; ///< Its control port.
};

struct GroupChange
{
    bool adds = false; ///< Else removes.
    std::string identity; ///< Who leaves; empty where one joins.
    std::string address; ///< Of who joins or leaves.
    bool operator==(const GroupChange &) const = default;
};

/** A member that hasn't been heard for this long is removed; it is added again when it comes back. */
constexpr Duration MemberLostAfter = std::chrono::seconds(5);
/** Members that the group doesn't shrink below by itself. */
constexpr std::size_t LeastMembers = 3;

[[nodiscard]] std::optional<GroupChange> planGroupChange(
    const std::vector<GroupMemberState> &members, const std::vector<GroupCandidate> &alive);

} // namespace Chestnuthook
