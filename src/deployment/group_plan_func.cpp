/** @file group_plan_func.cpp  The plan of the control group's membership. */
#include "deployment/group_plan_func.h"

#include <algorithm>

namespace Chestnuthook
{

std::optional<GroupChange> planGroupChange(
    const std::vector<GroupMemberState> &members, const std::vector<GroupCandidate> &alive)
{
    for (const GroupCandidate &one : alive) {
        const auto known = std::find_if(members.begin(), members.end(), [&one](const GroupMemberState &member) {
            return member.identity == one.identity;
        });
        if (known != members.end()) {
            if (!known->voter) {
                return GroupChange{true, {}, one.address};
            }
            continue;
        }
        const auto former = std::find_if(members.begin(), members.end(), [&one](const GroupMemberState &member) {
            return member.address == one.address;
        });
        if (former != members.end()) {
            return GroupChange{false, former->identity, former->address}; // Its data folder is lost.
        }
        return GroupChange{true, {}, one.address};
    }
    if (members.size() > LeastMembers) {
        for (const GroupMemberState &member : members) {
            if (member.silentFor > MemberLostAfter) {
                return GroupChange{false, member.identity, member.address};
            }
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook
