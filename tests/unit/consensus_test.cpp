/** @file consensus_test.cpp  The rules of the replicated log under seeded schedules of faults, and the proof that the
 * schedules find a core with a rule taken out. */
#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "support/raft_cluster.h"

using namespace Chestnuthook;
using Testing::RaftCluster;

namespace
{

constexpr std::size_t Steps = 4000;
constexpr std::uint64_t SchedulesPerSize = 1100; ///< Two sizes: 2,200 schedules.

/** Small messages, so that schedules meet partly replicated logs and chunked snapshots. */
RaftSettings smallSettings()
{
    RaftSettings settings;
    settings.electionTicks = 6;
    settings.heartbeatTicks = 2;
    settings.maxAppendEntries = 2;
    settings.snapshotChunkBytes = 40;
    return settings;
}

/** Runs schedules until one breaks a property. @return how many ran. */
std::uint64_t schedulesUntilFault(const RaftSettings &settings, std::size_t members, std::uint64_t limit)
{
    for (std::uint64_t seed = 1; seed <= limit; ++seed) {
        RaftCluster cluster(seed, members, settings);
        cluster.runRandom(Steps);
        if (cluster.faults.empty()) {
            cluster.healAndSettle();
        }
        if (!cluster.faults.empty()) {
            BOOST_TEST_MESSAGE(cluster.faults.front());
            return seed;
        }
    }
    return limit + 1;
}

void runSchedules(std::size_t members)
{
    std::size_t commits = 0;
    std::size_t reads = 0;
    std::size_t changes = 0;
    for (std::uint64_t seed = 1; seed <= SchedulesPerSize; ++seed) {
        RaftCluster cluster(seed, members, smallSettings());
        cluster.runRandom(Steps);
        cluster.healAndSettle();
        BOOST_REQUIRE_MESSAGE(cluster.faults.empty(), cluster.faults.front());
        commits += cluster.committed.size();
        reads += cluster.confirmedReads;
        changes += cluster.membershipChanges;
    }
    BOOST_TEST_MESSAGE(SchedulesPerSize << " schedules, " << commits << " commits, " << reads << " reads, " << changes
                                        << " membership changes");
    BOOST_TEST(commits > SchedulesPerSize * 10); // The schedules do something.
    BOOST_TEST(reads > SchedulesPerSize);
    BOOST_TEST(changes > SchedulesPerSize / 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(three_members_keep_all_properties_under_faults)
{
    runSchedules(3);
}

BOOST_AUTO_TEST_CASE(five_members_keep_all_properties_under_faults)
{
    runSchedules(5);
}

BOOST_AUTO_TEST_CASE(the_schedules_find_a_core_that_does_not_wait_for_the_sync)
{
    RaftSettings settings = smallSettings();
    settings.waitForSync = false;
    BOOST_TEST(schedulesUntilFault(settings, 3, 200) <= 200);
}

namespace
{

/** Has @p id elected by @p voters alone. Restarts them all first, so that none remembers a leader. */
bool elect(RaftCluster &cluster, const std::string &id, const std::vector<std::string> &voters)
{
    cluster.network.clear();
    cluster.crash(id);
    cluster.start(id);
    for (const std::string &voter : voters) {
        cluster.crash(voter);
        cluster.start(voter);
    }
    for (int i = 0; i < 200; ++i) {
        cluster.nodes[id].core->tick();
        cluster.drain(id);
        for (const std::string &voter : voters) {
            cluster.syncAll(id);
            cluster.deliver(id, voter);
            cluster.syncAll(voter);
            cluster.deliver(voter, id);
            if (cluster.nodes[id].core->role() == RaftRole::Leader) {
                cluster.syncAll(id);
                return true;
            }
        }
    }
    return false;
}

/** Passes messages from @p from to @p to and the replies back, one each way, @p rounds times. */
void exchange(RaftCluster &cluster, const std::string &from, const std::string &to, int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        cluster.deliver(from, to, 1);
        cluster.syncAll(to);
        cluster.deliver(to, from);
    }
}

/** An entry of an earlier term reaches a majority, and a member without it can still be elected. @return whether a
 * property broke. */
bool earlierTermSchedule(bool commitTermCheck)
{
    RaftSettings settings = smallSettings();
    settings.maxAppendEntries = 1;
    settings.commitTermCheck = commitTermCheck;
    RaftCluster cluster(1, 5, settings);
    cluster.runCalm(100);
    const std::string first = cluster.leader();
    std::vector<std::string> other;
    for (const auto &[id, node] : cluster.nodes) {
        if (id != first) {
            other.push_back(id);
        }
    }
    cluster.network.clear();
    BOOST_REQUIRE(cluster.propose(first)); // Held by the first and other[0] only.
    cluster.syncAll(first);
    cluster.deliver(first, other[0]);
    cluster.syncAll(other[0]);
    cluster.crash(first);
    BOOST_REQUIRE(elect(cluster, other[3], {other[1], other[2]})); // Its own entry stays with it.
    cluster.crash(other[3]);
    BOOST_REQUIRE(elect(cluster, first, {other[0], other[1]}));
    exchange(cluster, first, other[0], 1);
    exchange(cluster, first, other[1], 2); // A refusal, then the old entry alone: now a majority holds it.
    cluster.crash(first);
    BOOST_REQUIRE(elect(cluster, other[3], {other[1], other[2]}));
    return !cluster.faults.empty();
}

} // namespace

BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_term_is_lost_only_without_the_term_check_on_commit)
{
    BOOST_TEST(!earlierTermSchedule(true));
    BOOST_TEST(earlierTermSchedule(false));
}

namespace
{

/** Whether a member that was silently isolated for long deposes the leader when it comes back. */
bool returningMemberDeposes(const RaftSettings &settings)
{
    RaftCluster cluster(1, 3, settings);
    cluster.runCalm(100);
    const std::string leader = cluster.leader();
    BOOST_REQUIRE(!leader.empty());
    const std::uint64_t term = cluster.nodes[leader].core->hardState().term;
    cluster.isolate(leader == "m1" ? "m2" : "m1");
    cluster.runCalm(300);
    cluster.heal();
    cluster.runCalm(100);
    BOOST_TEST(cluster.faults.empty());
    return cluster.leader() != leader || cluster.nodes[leader].core->hardState().term != term;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_returning_member_deposes_the_leader_only_without_the_pre_vote)
{
    RaftSettings settings = smallSettings();
    BOOST_TEST(!returningMemberDeposes(settings));
    settings.preVote = false;
    BOOST_TEST(returningMemberDeposes(settings));
}
