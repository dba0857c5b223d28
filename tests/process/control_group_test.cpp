/** @file control_group_test.cpp  Control members as real processes: replacements and losses in the orders in which no
 * more than the tolerated number is lost at a time. */
#define BOOST_TEST_MODULE control_group
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "support/control_group.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr int Network = 52; ///< Third number of the loopback addresses.
constexpr auto StartTime = 10s; ///< Until a new group acknowledges a change.
constexpr auto CatchUpTime = 4500ms; ///< Until a new or returned member counts.
constexpr auto RecoveryTime = 12s; ///< Until the group answers after a loss.

/** A group with a configuration, whose folder stays if the test fails. */
class Fixture
{
public:
    Fixture(std::size_t members, unsigned toleratedFailures)
        : group(Network, members, toleratedFailures)
    {
        BOOST_REQUIRE(this->group.putConfiguration(this->version, StartTime));
    }
    ~Fixture()
    {
        const auto testCase = boost::unit_test::framework::current_test_case().p_id;
        const bool isFailed = boost::unit_test::results_collector.results(testCase).p_assertions_failed > 0;
        this->group.folder.isKept = isFailed || std::getenv("CHESTNUTHOOK_KEEP") != nullptr;
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    /** Adds @p count empty members and waits until they count. @return their indices. */
    std::vector<std::size_t> addSuccessors(std::size_t count)
    {
        std::vector<std::size_t> added;
        for (std::size_t i = 0; i < count; ++i) {
            added.push_back(this->group.add());
        }
        std::this_thread::sleep_for(CatchUpTime);
        return added;
    }

    void changeConfiguration()
    {
        ++this->version;
        BOOST_REQUIRE(this->group.putConfiguration(this->version, RecoveryTime));
    }

    void checkConfiguration(const std::string &when)
    {
        BOOST_TEST(this->group.readsConfiguration(this->version, RecoveryTime),
            "version " << this->version << " isn't read back " << when << ", logs in " << this->group.folder.path);
    }

    ControlGroup group;

private:
    unsigned version = 1; ///< Version that was last acknowledged.
};

} // namespace

/** Guards against a removed member that still counts as a voter, so that the loss of a disk takes the majority. */
BOOST_AUTO_TEST_CASE(disk_is_lost_as_soon_as_a_member_was_replaced)
{
    Fixture fixture(3, 1);
    fixture.addSuccessors(1);
    fixture.changeConfiguration();
    fixture.group.terminate({2});
    fixture.group.loseDisk(0);
    fixture.checkConfiguration("after the loss of a disk");
}

/** Guards against removed members that count until they have been silent for long, so that they become the majority. */
BOOST_AUTO_TEST_CASE(all_members_are_replaced_at_once)
{
    Fixture fixture(3, 1);
    const std::vector<std::size_t> successors = fixture.addSuccessors(3);
    fixture.changeConfiguration();
    fixture.group.terminate({0, 1, 2});
    fixture.group.loseDisk(successors.front());
    fixture.checkConfiguration("after the loss of a disk");
}

BOOST_AUTO_TEST_CASE(three_of_five_members_are_replaced_at_once)
{
    Fixture fixture(5, 1);
    const std::vector<std::size_t> successors = fixture.addSuccessors(3);
    fixture.changeConfiguration();
    fixture.group.terminate({0, 1, 2});
    fixture.group.loseDisk(successors.front());
    fixture.checkConfiguration("after the loss of a disk");
}

BOOST_AUTO_TEST_CASE(four_of_nine_members_are_replaced_and_two_disks_are_lost)
{
    Fixture fixture(9, 2);
    const std::vector<std::size_t> successors = fixture.addSuccessors(4);
    fixture.changeConfiguration();
    fixture.group.terminate({0, 1, 2, 3});
    fixture.group.loseDisk(successors[0]);
    fixture.group.loseDisk(successors[1]);
    fixture.checkConfiguration("after the loss of two disks");
}

/** Guards against a standby that waits for longer than a successor has time before it takes a lost member's place. */
BOOST_AUTO_TEST_CASE(member_is_removed_without_notice_and_its_successor_starts_later)
{
    Fixture fixture(3, 1);
    fixture.group.kill(2);
    fixture.addSuccessors(1);
    fixture.changeConfiguration();
    fixture.group.loseDisk(0);
    fixture.checkConfiguration("after the loss of a disk");
}

/** Guards against removals without notice that add up until most voters are gone. */
BOOST_AUTO_TEST_CASE(members_are_removed_without_notice_one_after_the_other)
{
    constexpr auto Interval = 1500ms;
    Fixture fixture(3, 1);
    fixture.addSuccessors(3);
    fixture.changeConfiguration();
    for (const std::size_t member : {0, 1, 2}) {
        fixture.group.kill(member);
        std::this_thread::sleep_for(Interval);
    }
    fixture.checkConfiguration("after the last removal");
}

/** Guards against a leader that takes the others for lost although it stood still itself. */
BOOST_AUTO_TEST_CASE(no_member_is_removed_after_all_stood_still)
{
    Fixture fixture(5, 1);
    fixture.addSuccessors(1);
    fixture.group.standStill(3s);
    std::this_thread::sleep_for(CatchUpTime);
    fixture.checkConfiguration("after all members stood still");
    for (std::size_t member = 0; member < fixture.group.processes.size(); ++member) {
        BOOST_TEST(fixture.group.log(member).find("reason=silent") == std::string::npos,
            "member " << member << " removed another one, logs in " << fixture.group.folder.path);
    }
}

/** Guards against members that leave before a restart although nothing can take their place. */
BOOST_AUTO_TEST_CASE(members_are_restarted_one_after_the_other_and_all_at_once)
{
    Fixture fixture(3, 1);
    for (const std::size_t member : {0, 1, 2}) {
        fixture.group.terminate({member});
        fixture.group.start(member);
        fixture.changeConfiguration();
    }
    fixture.group.terminate({0, 1, 2});
    for (const std::size_t member : {0, 1, 2}) {
        fixture.group.start(member);
    }
    fixture.checkConfiguration("after the restart of all");
    std::this_thread::sleep_for(CatchUpTime);
    fixture.group.loseDisk(1);
    fixture.checkConfiguration("after the loss of a disk");
}
