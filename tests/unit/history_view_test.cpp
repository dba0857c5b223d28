/** @file history_view_test.cpp  Membership of the history store: quorums, and replacement of members. */
#define BOOST_TEST_MODULE history_view
#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "deployment/history_view_type.h"

using namespace Chestnuthook;

namespace
{

HistoryMember member(const std::string &name, const std::string &identity = {})
{
    return {identity.empty() ? name + ".1" : identity, name, "10.0.0.1:" + name};
}

HistoryCandidate candidate(const std::string &name, const std::string &dataCentre, const std::string &identity = {})
{
    HistoryCandidate one;
    one.member = member(name, identity);
    one.dataCentre = dataCentre;
    one.alive = true;
    return one;
}

const std::vector<HistoryMember> Three = {member("a"), member("b"), member("c")};

} // namespace

BOOST_AUTO_TEST_CASE(initial_view_waits_for_enough_members)
{
    const std::vector<HistoryCandidate> two = {candidate("a", "x"), candidate("b", "y")};
    BOOST_TEST(!planHistoryView({}, two, 3).has_value());
    const std::vector<HistoryCandidate> four = {
        candidate("a", "x"), candidate("b", "x"), candidate("c", "y"), candidate("d", "z")};
    const auto view = planHistoryView({}, four, 3);
    BOOST_REQUIRE(view.has_value());
    BOOST_TEST(view->version == 1U);
    BOOST_TEST(view->current.size() == 3U);
}

BOOST_AUTO_TEST_CASE(member_with_another_data_folder_joins_only_after_its_copy)
{
    const HistoryView view{4, Three, {}};
    std::vector<HistoryCandidate> candidates = {candidate("a", "x"), candidate("b", "y"), candidate("c", "z", "c.2")};
    const auto joint = planHistoryView(view, candidates, 3);
    BOOST_REQUIRE(joint.has_value());
    BOOST_TEST(joint->isChanging());
    BOOST_TEST((joint->current == Three));
    BOOST_TEST(joint->isMember("c.2"));
    BOOST_TEST(!planHistoryView(*joint, candidates, 3).has_value());
    candidates[2].copiedView = joint->version;
    const auto done = planHistoryView(*joint, candidates, 3);
    BOOST_REQUIRE(done.has_value());
    BOOST_TEST(!done->isChanging());
    BOOST_TEST(done->isCurrent("c.2"));
    BOOST_TEST(!done->isCurrent("c.1"));
}

BOOST_AUTO_TEST_CASE(lost_member_is_replaced_only_if_a_spare_exists)
{
    const HistoryView view{4, Three, {}};
    std::vector<HistoryCandidate> candidates = {candidate("a", "x"), candidate("b", "y"), candidate("c", "z")};
    candidates[2].alive = false;
    BOOST_TEST(!planHistoryView(view, candidates, 3).has_value());
    candidates[2].lost = true;
    BOOST_TEST(!planHistoryView(view, candidates, 3).has_value());
    candidates.push_back(candidate("d", "z"));
    BOOST_TEST(planHistoryView(view, candidates, 3)->isMember("d.1"));
}

BOOST_AUTO_TEST_CASE(change_is_aborted_when_the_joining_member_is_lost)
{
    const HistoryView joint{5, Three, {member("a"), member("b"), member("d")}};
    std::vector<HistoryCandidate> candidates = {
        candidate("a", "x"), candidate("b", "y"), candidate("c", "z"), candidate("d", "z")};
    candidates[3].lost = true;
    const auto back = planHistoryView(joint, candidates, 3);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back->current == Three));
    BOOST_TEST(!back->isChanging());
}

BOOST_AUTO_TEST_CASE(retiring_a_member_needs_a_spare)
{
    const HistoryView view{4, Three, {}};
    std::vector<HistoryCandidate> candidates = {candidate("a", "x"), candidate("b", "y"), candidate("c", "z")};
    BOOST_TEST(!canRetire(view, candidates, "a"));
    candidates.push_back(candidate("d", "x"));
    BOOST_TEST(canRetire(view, candidates, "a"));
    BOOST_TEST(canRetire(view, candidates, "d"));
    candidates[0].retiring = true;
    BOOST_TEST(planHistoryView(view, candidates, 3)->isMember("d.1"));
}

BOOST_AUTO_TEST_CASE(write_quorum_of_a_joint_view_meets_the_read_quorums_of_both_views)
{
    const bool holds = rc::check("each write quorum intersects each read quorum of both views", []() {
        const std::vector<std::string> all = {"a.1", "b.1", "c.1", "d.1"};
        const HistoryView joint{5, Three, {member("a"), member("b"), member("d")}};
        const HistoryView after{6, joint.next, {}};
        const HistoryView before{4, Three, {}};
        std::set<std::string> wrote;
        std::set<std::string> read;
        for (const std::string &one : all) {
            if (*rc::gen::arbitrary<bool>()) {
                wrote.insert(one);
            }
            if (*rc::gen::arbitrary<bool>()) {
                read.insert(one);
            }
        }
        if (!joint.hasWriteQuorum(wrote)) {
            return;
        }
        std::vector<std::string> common;
        std::set_intersection(wrote.begin(), wrote.end(), read.begin(), read.end(), std::back_inserter(common));
        if (before.hasReadQuorum(read) || after.hasReadQuorum(read)) {
            RC_ASSERT(!common.empty());
        }
    });
    BOOST_TEST(holds);
}
