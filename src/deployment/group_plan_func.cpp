/** @file group_plan_func.cpp  Rules for adding and removing control members. */
#include "deployment/group_plan_func.h"

#include <algorithm>

namespace Chestnuthook
{

std::optional<GroupChange> planGroupChange(
    const std::vector<GroupMemberState> &members, const std::vector<GroupCandidate> &alive)
{
    for (const GroupCandidate &candidate : alive) {
        const auto known = std::find_if(members.begin(), members.end(), [&candidate](const GroupMemberState &member) {
            return member.identity == candidate.identity;
        });
        if (known != members.end()) {
            if (!known->voter) {
                return GroupChange{true, {}, candidate.address};
            }
            continue;
        }
        const auto former = std::find_if(members.begin(), members.end(), [&candidate](const GroupMemberState &member) {
            return member.address == candidate.address;
        });
        if (former != members.end()) {
            return GroupChange{false, former->identity, former->address}; // It has lost its data folder.
        }
        return GroupChange{true, {}, candidate.address};
    }
    if (members.size() > MinMembers) {
        for (const GroupMemberState &member : members) {
            if (member.silentFor > MemberLostTimeout) {
                return GroupChange{false, member.identity, member.address};
            }
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook
