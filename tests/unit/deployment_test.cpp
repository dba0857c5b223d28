/** @file deployment_test.cpp  The replicated state of a deployment, who lives, and changes of the control group. */
#define BOOST_TEST_MODULE deployment
#include <boost/test/unit_test.hpp>

#include "deployment/deployment_state_base.h"
#include "deployment/group_plan_func.h"
#include "deployment/instance_registry_base.h"
#include "deployment/strike_tracker_base.h"

using namespace Chestnuthook;

namespace
{

InstanceInfo gateway(const std::string &name, bool ready = true)
{
    return {name, Wire::InstanceRole::GATEWAY, "x", "10.0.0.1:80", "10.0.0.1:7000", {}, ready};
}

GroupMemberState voter(const std::string &address, Duration silentFor = Duration(0))
{
    return {address + ".1", address, true, silentFor};
}

} // namespace

BOOST_AUTO_TEST_CASE(only_a_higher_version_takes_effect)
{
    DeploymentState state;
    state.apply(1, configurationCommand(7, "seven"));
    state.apply(2, configurationCommand(7, "other"));
    state.apply(3, configurationCommand(5, "five"));
    BOOST_TEST(state.document == "seven");
    state.apply(4, configurationCommand(9, "nine"));
    BOOST_TEST(state.configurationVersion == 9U);
    BOOST_TEST(state.document == "nine");
}

BOOST_AUTO_TEST_CASE(a_view_takes_effect_only_after_the_one_it_was_planned_from)
{
    DeploymentState state;
    const std::vector<HistoryMember> members = {{"a.1", "a", "x"}};
    state.apply(1, viewCommand({1, members, {}}));
    state.apply(2, viewCommand({3, {}, {}}));
    state.apply(3, viewCommand({1, {}, {}}));
    BOOST_TEST(state.view.version == 1U);
    BOOST_TEST((state.view.current == members));
}

BOOST_AUTO_TEST_CASE(a_snapshot_gives_the_same_state)
{
    DeploymentState state;
    state.apply(1, configurationCommand(7, std::string("nul\0byte", 8)));
    state.apply(2, viewCommand({1, {{"a.1", "a", "x"}}, {{"b.1", "b", "y"}}}));
    state.apply(3, retireCommand("a"));
    DeploymentState copy;
    copy.restore(state.snapshot());
    BOOST_TEST(copy.document == state.document);
    BOOST_TEST((copy.view == state.view));
    BOOST_TEST((copy.retiring == state.retiring));
}

BOOST_AUTO_TEST_CASE(a_silent_daemon_leaves_the_directory_and_comes_back)
{
    InstanceRegistry board;
    Instant now(1);
    BOOST_TEST(board.note(now, gateway("a"), 0));
    BOOST_TEST(!board.note(now, gateway("a"), 0));
    BOOST_TEST(board.note(now, gateway("a", false), 0));
    now += InstanceRegistry::SilentAfter + Duration(1);
    BOOST_TEST(board.expire(now));
    BOOST_TEST(board.alive().empty());
    BOOST_TEST(board.gatewaysAndSilent().second == 1U);
    BOOST_TEST(board.note(now, gateway("a"), 0));
    BOOST_TEST(board.alive().size() == 1U);
}

BOOST_AUTO_TEST_CASE(members_never_heard_by_a_new_leader_count_as_lost_only_after_a_while)
{
    const InstanceRegistry board;
    const HistoryView view{3, {{"a.1", "a", "x"}}, {}};
    const Instant since(1);
    BOOST_TEST(!board.historyCandidates(since, view, {}, since).front().lost);
    const Instant later = since + InstanceRegistry::LostAfter + Duration(1);
    BOOST_TEST(board.historyCandidates(later, view, {}, since).front().lost);
}

/** Incident of 2026-12-04 on kortagatt: each new leader proposed to replace all history members. */
BOOST_AUTO_TEST_CASE(a_new_leader_that_knows_a_member_by_hearsay_does_not_replace_it)
{
    InstanceRegistry board;
    const HistoryView view{3, {{"a.1", "a", "x"}, {"b.1", "b", "y"}, {"c.1", "c", "z"}}, {}};
    const Instant now(1);
    board.adopt(now,
        {{"a", Wire::InstanceRole::HISTORY, "x", {}, "x", {}, true},
            {"b", Wire::InstanceRole::HISTORY, "y", {}, "y", "b.1", true},
            {"c", Wire::InstanceRole::HISTORY, "z", {}, "z", "c.1", true}});
    BOOST_TEST(!planHistoryView(view, board.historyCandidates(now, view, {}, now), 3).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_that_brings_down_three_endpoints_is_refused_for_a_while)
{
    StrikeTracker board;
    const Instant now(1);
    BOOST_TEST(!board.note(now, {7, "a"}));
    BOOST_TEST(!board.note(now, {7, "a"})); // One crash hits all that were there.
    BOOST_TEST(!board.note(now, {7, "b"}));
    BOOST_TEST(board.refused().empty());
    BOOST_TEST(board.note(now, {7, "c"}));
    BOOST_TEST(!board.note(now, {8, "c"}));
    BOOST_TEST((board.refused() == std::set<std::uint64_t>{7}));
    BOOST_TEST(board.expire(now + StrikeTracker::StrikeLife + Duration(1)));
    BOOST_TEST(board.refused().empty());
}

BOOST_AUTO_TEST_CASE(control_instances_join_one_after_the_other)
{
    const std::vector<GroupMemberState> three = {voter("a"), voter("b"), voter("c")};
    const std::vector<GroupCandidate> alive = {{"a.1", "a"}, {"b.1", "b"}, {"c.1", "c"}, {"d.1", "d"}};
    BOOST_TEST((planGroupChange(three, alive) == GroupChange{true, {}, "d"}));
    auto four = three;
    four.push_back({"d.1", "d", false, Duration(0)});
    BOOST_TEST((planGroupChange(four, alive) == GroupChange{true, {}, "d"})); // A learner is still to get its vote.
    four.back().voter = true;
    BOOST_TEST(!planGroupChange(four, alive).has_value());
}

BOOST_AUTO_TEST_CASE(a_member_with_a_lost_folder_leaves_before_its_successor_joins)
{
    const std::vector<GroupMemberState> members = {voter("a"), voter("b"), voter("c")};
    const std::vector<GroupCandidate> alive = {{"a.1", "a"}, {"b.1", "b"}, {"c.2", "c"}};
    BOOST_TEST((planGroupChange(members, alive) == GroupChange{false, "c.1", "c"}));
}

BOOST_AUTO_TEST_CASE(a_silent_member_leaves_a_group_that_stays_large_enough)
{
    const Duration tooLong = MemberLostAfter + Duration(1);
    const std::vector<GroupMemberState> four = {voter("a"), voter("b"), voter("c"), voter("d", tooLong)};
    BOOST_TEST((planGroupChange(four, {{"a.1", "a"}}) == GroupChange{false, "d.1", "d"}));
    const std::vector<GroupMemberState> three = {voter("a"), voter("b"), voter("c", tooLong)};
    BOOST_TEST(!planGroupChange(three, {{"a.1", "a"}}).has_value());
}
