/** @file group_plan_test.cpp  Plan of membership changes of the control group: single steps, and random orders of
 * events in which a group must keep a majority. */
#define BOOST_TEST_MODULE group_plan
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "support/group_simulation.h"

using namespace Chestnuthook;
using Testing::GroupSimulation;

namespace
{

using Kind = GroupChangeKind;
using Reason = GroupChangeReason;

GroupMemberState voter(const std::string &address)
{
    GroupMemberState member;
    member.identity = address + ".1";
    member.address = address;
    member.isVoter = true;
    member.isAlive = true;
    member.isCaughtUp = true;
    return member;
}

GroupMemberState learner(const std::string &address)
{
    GroupMemberState member = voter(address);
    member.isVoter = false;
    return member;
}

GroupMemberState silent(GroupMemberState member, Duration silentFor)
{
    member.isAlive = false;
    member.silentFor = silentFor;
    return member;
}

GroupMemberState leaving(GroupMemberState member)
{
    member.isLeaving = true;
    return member;
}

GroupChange change(Kind kind, Reason reason, const std::string &address)
{
    return {kind, reason, address + ".1", address};
}

const std::vector<GroupMemberState> Three = {voter("a"), voter("b"), voter("c")};

std::vector<GroupMemberState> threeAnd(const std::vector<GroupMemberState> &others)
{
    std::vector<GroupMemberState> members = Three;
    members.insert(members.end(), others.begin(), others.end());
    return members;
}

void playSeeds(std::size_t members, std::size_t toleratedFailures, std::uint64_t seeds)
{
    constexpr std::size_t Ticks = 3600;
    std::size_t diskLosses = 0;
    std::size_t removals = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        GroupSimulation simulation(seed, members, toleratedFailures);
        simulation.run(Ticks);
        BOOST_REQUIRE_MESSAGE(simulation.cluster.violations.empty(),
            members << " members, seed " << seed << ": " << simulation.cluster.violations.front());
        diskLosses += simulation.diskLosses;
        removals += simulation.removals;
    }
    BOOST_TEST_MESSAGE(members << " members: " << diskLosses << " disks lost, " << removals << " removals");
    BOOST_TEST(diskLosses > seeds);
    BOOST_TEST(removals > seeds);
}

} // namespace

BOOST_AUTO_TEST_CASE(instances_join_as_learners_and_get_votes_in_pairs)
{
    const std::vector<GroupCandidate> alive = {{"a.1", "a"}, {"d.1", "d"}, {"e.1", "e"}};
    BOOST_TEST((planGroupChange(Three, alive, 1) == change(Kind::AddLearner, Reason::NewInstance, "d")));
    BOOST_TEST(
        (planGroupChange(threeAnd({learner("d")}), alive, 1) == change(Kind::AddLearner, Reason::NewInstance, "e")));
    BOOST_TEST((planGroupChange(threeAnd({learner("d"), learner("e")}), alive, 1)
        == change(Kind::Promote, Reason::OddVoters, "d")));
    BOOST_TEST((planGroupChange(threeAnd({voter("d"), learner("e")}), alive, 1)
        == change(Kind::Promote, Reason::OddVoters, "e")));
    BOOST_TEST(!planGroupChange(threeAnd({voter("d"), voter("e")}), alive, 1).has_value());
}

/** Guards against a fourth voter: with one member removed and one wiped, it leaves two of four. */
BOOST_AUTO_TEST_CASE(fourth_member_stays_a_learner)
{
    BOOST_TEST(!planGroupChange(threeAnd({learner("d")}), {{"d.1", "d"}}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(learner_gets_no_vote_before_it_has_caught_up)
{
    GroupMemberState behind = learner("e");
    behind.isCaughtUp = false;
    BOOST_TEST(!planGroupChange(threeAnd({learner("d"), behind}), {}, 1).has_value());
    BOOST_TEST(!planGroupChange(threeAnd({learner("d"), silent(learner("e"), Duration(1))}), {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(member_with_a_lost_data_folder_leaves_before_its_successor_joins)
{
    const std::vector<GroupCandidate> alive = {{"a.1", "a"}, {"b.1", "b"}, {"c.2", "c"}};
    BOOST_TEST((planGroupChange(Three, alive, 1) == change(Kind::Remove, Reason::DataLost, "c")));
}

BOOST_AUTO_TEST_CASE(silent_member_is_removed_only_from_a_large_enough_group)
{
    const GroupMemberState lost = silent(voter("e"), MemberLostTimeout + Duration(1));
    BOOST_TEST((planGroupChange(threeAnd({lost}), {}, 1) == change(Kind::Remove, Reason::Silent, "e")));
    const std::vector<GroupMemberState> three = {voter("a"), voter("b"), lost};
    BOOST_TEST(!planGroupChange(three, {}, 1).has_value());
    BOOST_TEST(!planGroupChange(threeAnd({voter("d"), lost}), {}, 2).has_value());
    BOOST_TEST((planGroupChange(threeAnd({voter("d"), lost}), {}, 1) == change(Kind::Remove, Reason::Silent, "e")));
}

BOOST_AUTO_TEST_CASE(standby_takes_the_place_of_a_silent_member)
{
    const GroupMemberState lost = silent(voter("c"), StandbyTakeoverTimeout + Duration(1));
    BOOST_TEST((planGroupChange({voter("a"), voter("b"), lost, learner("d")}, {}, 1)
        == change(Kind::Remove, Reason::Silent, "c")));
    BOOST_TEST((planGroupChange({voter("a"), voter("b"), learner("d")}, {}, 1)
        == change(Kind::Promote, Reason::OddVoters, "d")));
}

BOOST_AUTO_TEST_CASE(standby_gets_its_vote_before_a_member_leaves)
{
    const std::vector<GroupMemberState> before = {voter("a"), voter("b"), leaving(voter("c")), learner("d")};
    BOOST_TEST((planGroupChange(before, {}, 1) == change(Kind::Promote, Reason::Replacement, "d")));
    const std::vector<GroupMemberState> after = {voter("a"), voter("b"), leaving(voter("c")), voter("d")};
    BOOST_TEST((planGroupChange(after, {}, 1) == change(Kind::Remove, Reason::Leaving, "c")));
    BOOST_TEST((leaveState(before, {}, 1, "c.1") == LeaveState::Pending));
    BOOST_TEST((leaveState(threeAnd({}), {}, 1, "d.1") == LeaveState::Left));
}

/** Guards against a removal that can't be committed, as another voter has just been lost: nothing can be after it. */
BOOST_AUTO_TEST_CASE(member_does_not_leave_while_another_one_is_down)
{
    const std::vector<GroupMemberState> members = {
        voter("a"), silent(voter("b"), Duration(1)), leaving(voter("c")), voter("d")};
    BOOST_TEST(!planGroupChange(members, {}, 1).has_value());
    BOOST_TEST((leaveState(members, {}, 1, "c.1") == LeaveState::Pending));
}

BOOST_AUTO_TEST_CASE(leader_leaves_last)
{
    GroupMemberState leader = leaving(voter("a"));
    leader.isLeader = true;
    const std::vector<GroupMemberState> members = {
        leader, voter("b"), leaving(voter("c")), voter("d"), voter("e"), voter("f")};
    BOOST_TEST((planGroupChange(members, {}, 1) == change(Kind::Remove, Reason::Leaving, "c")));
}

BOOST_AUTO_TEST_CASE(member_without_a_standby_is_refused)
{
    const std::vector<GroupMemberState> members = {voter("a"), voter("b"), leaving(voter("c"))};
    BOOST_TEST(!planGroupChange(members, {}, 1).has_value());
    BOOST_TEST((leaveState(members, {}, 1, "c.1") == LeaveState::Refused));
}

BOOST_AUTO_TEST_CASE(leaving_instance_is_not_added_again)
{
    BOOST_TEST(!planGroupChange(Three, {{"d.1", "d", true}}, 1).has_value());
}

/** Guards against groups that lose their majority for good though no more was lost at a time than is tolerated. */
BOOST_AUTO_TEST_CASE(three_members_keep_a_majority)
{
    playSeeds(3, 1, 120);
}

BOOST_AUTO_TEST_CASE(five_members_keep_a_majority)
{
    playSeeds(5, 1, 80);
}

BOOST_AUTO_TEST_CASE(nine_members_keep_a_majority_with_two_losses)
{
    playSeeds(9, 2, 40);
}
