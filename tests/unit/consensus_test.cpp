/** @file consensus_test.cpp  Raft safety under seeded schedules of faults, and tests that the schedules detect a core
 * with one rule disabled. */
#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "support/raft_cluster.h"

using namespace Chestnuthook;
using Testing::RaftCluster;

namespace
{

constexpr std::size_t Steps = 4000;
constexpr std::uint64_t SchedulesPerSize = 1100; ///< Two sizes: 2,200 schedules.

/** Small messages, so that schedules include partly replicated logs and chunked snapshots. */
RaftSettings smallSettings()
{
    RaftSettings settings;
    settings.electionTicks = 6;
    settings.heartbeatTicks = 2;
    settings.maxAppendEntries = 2;
    settings.snapshotChunkBytes = 40;
    return settings;
}

/** Runs schedules until one violates a safety property. @return how many ran. */
std::uint64_t schedulesUntilViolation(const RaftSettings &settings, std::size_t members, std::uint64_t limit)
{
    for (std::uint64_t seed = 1; seed <= limit; ++seed) {
        RaftCluster cluster(seed, members, settings);
        cluster.runRandom(Steps);
        if (cluster.violations.empty()) {
            cluster.healAndConverge();
        }
        if (!cluster.violations.empty()) {
            BOOST_TEST_MESSAGE(cluster.violations.front());
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
        cluster.healAndConverge();
        BOOST_REQUIRE_MESSAGE(cluster.violations.empty(), cluster.violations.front());
        commits += cluster.committed.size();
        reads += cluster.confirmedReads;
        changes += cluster.membershipChanges;
    }
    BOOST_TEST_MESSAGE(SchedulesPerSize << " schedules, " << commits << " commits, " << reads << " reads, " << changes
                                        << " membership changes");
    BOOST_TEST(commits > SchedulesPerSize * 10); // The schedules make progress.
    BOOST_TEST(reads > SchedulesPerSize);
    BOOST_TEST(changes > SchedulesPerSize / 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(three_members_stay_safe_under_faults)
{
    runSchedules(3);
}

BOOST_AUTO_TEST_CASE(five_members_stay_safe_under_faults)
{
    runSchedules(5);
}

/** Guards against faults of compaction and replication that only entries of very different sizes show. */
BOOST_AUTO_TEST_CASE(members_stay_safe_with_entries_of_any_size)
{
    constexpr std::uint64_t Schedules = 150;
    RaftSettings settings = smallSettings();
    settings.maxAppendEntries = 8;
    settings.maxAppendBytes = 600;
    settings.maxInflightBytes = 1500;
    settings.snapshotChunkBytes = 2000;
    std::size_t commits = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        RaftCluster cluster(seed, 3 + 2 * (seed % 2), settings);
        cluster.maxCommandBytes = 1000;
        cluster.keptBytes = 1 + seed * 37 % 3000;
        cluster.runRandom(Steps);
        cluster.healAndConverge();
        BOOST_REQUIRE_MESSAGE(cluster.violations.empty(), cluster.violations.front());
        commits += cluster.committed.size();
    }
    BOOST_TEST(commits > Schedules * 10);
}

BOOST_AUTO_TEST_CASE(loss_of_all_power_and_one_disk_loses_nothing_committed)
{
    constexpr std::uint64_t Schedules = 800;
    std::uint64_t losses = 0;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        RaftCluster cluster(seed, 5, smallSettings());
        cluster.runRandom(seed * 7 % Steps); // The loss comes at any point from the first start on.
        const bool lost = cluster.losePowerAndOneDisk();
        if (cluster.committed.empty()) {
            continue; // The member that founds the group may be the one that is lost.
        }
        losses += lost ? 1 : 0;
        cluster.healAndConverge();
        BOOST_REQUIRE_MESSAGE(cluster.violations.empty(), cluster.violations.front());
    }
    BOOST_TEST_MESSAGE(losses << " losses");
    BOOST_TEST(losses > Schedules / 2);
}

BOOST_AUTO_TEST_CASE(simulation_detects_acknowledgement_before_sync)
{
    RaftSettings settings = smallSettings();
    settings.waitForSync = false;
    BOOST_TEST(schedulesUntilViolation(settings, 3, 200) <= 200);
}

namespace
{

/** Gets @p id elected with the votes of @p voters only. Restarts all of them first, so that none knows a leader. */
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
        cluster.processActions(id);
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

/** Delivers one message from @p from to @p to and the replies back, @p rounds times. */
void exchange(RaftCluster &cluster, const std::string &from, const std::string &to, int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        cluster.deliver(from, to, 1);
        cluster.syncAll(to);
        cluster.deliver(to, from);
    }
}

/** An entry of an earlier term reaches a majority, then a member without it is elected. Committing that entry by
 * counting replicas would lose it. @return whether a safety property was violated. */
bool earlierTermSchedule(bool commitTermCheck)
{
    RaftSettings settings = smallSettings();
    settings.maxAppendEntries = 1;
    settings.commitTermCheck = commitTermCheck;
    RaftCluster cluster(1, 5, settings);
    cluster.runWithoutFaults(100);
    const std::string first = cluster.leader();
    std::vector<std::string> other;
    for (const auto &[id, node] : cluster.nodes) {
        if (id != first) {
            other.push_back(id);
        }
    }
    cluster.network.clear();
    BOOST_REQUIRE(cluster.propose(first)); // Replicated to `first` and other[0] only.
    cluster.syncAll(first);
    cluster.deliver(first, other[0]);
    cluster.syncAll(other[0]);
    cluster.crash(first);
    BOOST_REQUIRE(elect(cluster, other[3], {other[1], other[2]})); // Its no-op entry isn't replicated.
    cluster.crash(other[3]);
    BOOST_REQUIRE(elect(cluster, first, {other[0], other[1]}));
    exchange(cluster, first, other[0], 1);
    exchange(cluster, first, other[1], 2); // A rejection, then the old entry alone: a majority has it now.
    cluster.crash(first);
    BOOST_REQUIRE(elect(cluster, other[3], {other[1], other[2]}));
    return !cluster.violations.empty();
}

} // namespace

BOOST_AUTO_TEST_CASE(entry_of_earlier_term_is_lost_only_without_commit_term_check)
{
    BOOST_TEST(!earlierTermSchedule(true));
    BOOST_TEST(earlierTermSchedule(false));
}

namespace
{

/** Whether a member that was partitioned for a long time deposes the leader when it reconnects. */
bool returningMemberDeposes(const RaftSettings &settings)
{
    RaftCluster cluster(1, 3, settings);
    cluster.runWithoutFaults(100);
    const std::string leader = cluster.leader();
    BOOST_REQUIRE(!leader.empty());
    const std::uint64_t term = cluster.nodes[leader].core->hardState().term;
    cluster.isolate(leader == "m1" ? "m2" : "m1");
    cluster.runWithoutFaults(300);
    cluster.heal();
    cluster.runWithoutFaults(100);
    BOOST_TEST(cluster.violations.empty());
    return cluster.leader() != leader || cluster.nodes[leader].core->hardState().term != term;
}

} // namespace

BOOST_AUTO_TEST_CASE(returning_member_deposes_leader_only_without_pre_vote)
{
    RaftSettings settings = smallSettings();
    BOOST_TEST(!returningMemberDeposes(settings));
    settings.preVote = false;
    BOOST_TEST(returningMemberDeposes(settings));
}

BOOST_AUTO_TEST_CASE(heartbeats_do_not_repeat_entries_that_a_member_has_not_answered)
{
    RaftCluster cluster(1, 3, smallSettings());
    cluster.runWithoutFaults(100);
    const std::string leader = cluster.leader();
    std::string behind;
    for (const auto &[id, node] : cluster.nodes) {
        behind = id == leader ? behind : id;
    }
    cluster.cutLink(leader, behind);
    BOOST_REQUIRE(cluster.propose(leader));
    cluster.runWithoutFaults(10);
    BOOST_REQUIRE(cluster.leader() == leader);
    cluster.heal();
    const auto exchange = [&cluster](const std::string &from, const std::string &to) {
        cluster.processActions(from);
        cluster.syncAll(from);
        cluster.processActions(from);
        return cluster.deliver(from, to);
    };
    const auto entriesInTransit = [&cluster, &behind]() {
        return std::count_if(cluster.network.begin(), cluster.network.end(), [&behind](const RaftMessage &message) {
            return message.to == behind && !message.entries.empty();
        });
    };
    for (int i = 0; i < 40 && entriesInTransit() == 0; ++i) {
        cluster.nodes.at(leader).core->tick();
        cluster.processActions(leader);
        if (entriesInTransit() == 0) {
            static_cast<void>(exchange(leader, behind));
            static_cast<void>(exchange(behind, leader)); // It lacks the entry before the heartbeat.
            cluster.processActions(leader);
        }
    }
    BOOST_REQUIRE(entriesInTransit() == 1);
    for (unsigned i = 0; i < 4 * smallSettings().heartbeatTicks; ++i) {
        cluster.nodes.at(leader).core->tick();
        cluster.processActions(leader);
    }
    BOOST_TEST(entriesInTransit() == 1);
}

namespace
{

/** A leader and a member that doesn't answer it. */
struct SilentMember
{
    explicit SilentMember(RaftCluster &cluster)
    {
        cluster.runWithoutFaults(100);
        this->leader = cluster.leader();
        BOOST_REQUIRE(!this->leader.empty());
        for (const auto &[id, node] : cluster.nodes) {
            this->silent = id == this->leader ? this->silent : id;
        }
        cluster.cutLink(this->silent, this->leader);
    }

    std::string leader; ///< Identity of the leader.
    std::string silent; ///< Identity of the other member.
};

} // namespace

/** Guards against a leader that copies its whole log into messages for a slow member. */
BOOST_AUTO_TEST_CASE(bytes_sent_to_a_member_that_does_not_answer_are_bounded)
{
    constexpr std::size_t CommandBytes = 100000;
    RaftSettings settings;
    settings.electionTicks = 6;
    settings.heartbeatTicks = 2;
    settings.maxAppendBytes = 3 * CommandBytes;
    settings.maxInflightBytes = 10 * CommandBytes;
    RaftCluster cluster(1, 3, settings);
    const SilentMember member(cluster);
    RaftCore &core = *cluster.nodes.at(member.leader).core;
    std::size_t sent = 0;
    for (int i = 0; i < 100; ++i) {
        BOOST_REQUIRE(core.propose(std::string(CommandBytes, 'x')));
        RaftActions actions = core.takeActions();
        for (const RaftMessage &message : actions.messages) {
            sent += message.to == member.silent ? message.bytes() : 0;
        }
    }
    BOOST_TEST(sent > 0U);
    BOOST_TEST(sent <= settings.maxInflightBytes);
    BOOST_TEST(core.uncommittedBytes() >= 100 * CommandBytes);
}

/** Guards against a member that never catches up because each newer snapshot begins its transfer anew. */
BOOST_AUTO_TEST_CASE(snapshot_arrives_although_newer_ones_follow)
{
    constexpr unsigned MaxTicks = 2000;
    RaftSettings settings = smallSettings();
    settings.snapshotChunkBytes = 200;
    RaftCluster cluster(1, 3, settings);
    cluster.maxCommandBytes = 300;
    cluster.keptBytes = 1;
    const SilentMember member(cluster);
    cluster.isolate(member.silent);
    const auto addSnapshot = [&]() {
        BOOST_REQUIRE(cluster.propose(member.leader));
        cluster.runWithoutFaults(1);
        RaftCore &core = *cluster.nodes.at(member.leader).core;
        core.compact(core.commitIndex(), std::string(20000, 's'), core.commitIndex() + 1);
    };
    addSnapshot();
    const std::uint64_t before = cluster.nodes.at(member.silent).core->commitIndex();
    cluster.heal();
    unsigned ticks = 0;
    while (cluster.nodes.at(member.silent).core->commitIndex() == before && ticks < MaxTicks) {
        addSnapshot();
        ++ticks;
    }
    BOOST_TEST(ticks < MaxTicks);
}

/** Guards against heartbeats that send the same part of a snapshot to a slow member again and again. */
BOOST_AUTO_TEST_CASE(heartbeats_do_not_repeat_a_snapshot_chunk)
{
    RaftCluster cluster(1, 3, smallSettings());
    const SilentMember member(cluster);
    cluster.isolate(member.silent);
    BOOST_REQUIRE(cluster.propose(member.leader));
    cluster.runWithoutFaults(10);
    RaftCore &core = *cluster.nodes.at(member.leader).core;
    core.compact(core.commitIndex(), std::string(1000, 's'), core.commitIndex() + 1);
    cluster.heal();
    cluster.network.clear();
    const auto chunksInTransit = [&cluster, &member]() {
        return std::count_if(cluster.network.begin(), cluster.network.end(), [&member](const RaftMessage &message) {
            return message.to == member.silent && !message.data.empty();
        });
    };
    for (int i = 0; i < 200 && chunksInTransit() == 0; ++i) {
        core.tick();
        cluster.processActions(member.leader);
        cluster.deliver(member.leader, member.silent, chunksInTransit() == 0 ? 1000 : 0);
        cluster.syncAll(member.silent);
        cluster.deliver(member.silent, member.leader);
        for (const auto &[id, node] : cluster.nodes) { // The third member keeps the leader in office.
            if (id != member.leader && id != member.silent) {
                cluster.deliver(member.leader, id);
                cluster.syncAll(id);
                cluster.deliver(id, member.leader);
            }
        }
    }
    BOOST_REQUIRE(chunksInTransit() == 1);
    for (unsigned i = 0; i < 4 * smallSettings().heartbeatTicks; ++i) {
        core.tick();
        cluster.processActions(member.leader);
    }
    BOOST_TEST(chunksInTransit() == 1);
}

BOOST_AUTO_TEST_CASE(another_member_leads_soon_after_the_leader_resigns)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RaftCluster cluster(seed, 5, smallSettings());
        cluster.runWithoutFaults(100);
        const std::string former = cluster.leader();
        BOOST_REQUIRE(!former.empty());
        cluster.nodes.at(former).core->resign(4 * smallSettings().electionTicks);
        cluster.processActions(former);
        cluster.runWithoutFaults(4 * smallSettings().electionTicks);
        BOOST_TEST(!cluster.leader().empty());
        BOOST_TEST(cluster.leader() != former);
        BOOST_TEST(cluster.propose(cluster.leader()));
        cluster.healAndConverge();
        BOOST_TEST(cluster.violations.empty());
    }
}

/** Guards against a lease that a leader renews with heartbeats beyond the election of another one. */
/** Guards against a group without a leader for an election timeout whenever its leader leaves as planned. */
BOOST_AUTO_TEST_CASE(another_member_leads_soon_after_the_leader_has_left_the_group)
{
    RaftSettings settings = smallSettings();
    settings.electionTicks = 60;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        RaftCluster cluster(seed, 5, settings);
        cluster.runWithoutFaults(300);
        const std::string leader = cluster.leader();
        BOOST_REQUIRE(!leader.empty());
        RaftMembership next = cluster.nodes[leader].core->membership();
        next.erase(leader);
        BOOST_REQUIRE(cluster.nodes[leader].core->proposeMembership(next));
        cluster.runWithoutFaults(3);
        BOOST_TEST((cluster.nodes[leader].core->role() != RaftRole::Leader));
        cluster.crash(leader);
        cluster.runWithoutFaults(settings.electionTicks / 2);
        BOOST_TEST(!cluster.leader().empty(), "seed " << seed);
        cluster.checkLogs();
        BOOST_TEST(cluster.violations.empty());
    }
}

BOOST_AUTO_TEST_CASE(round_confirmed_by_heartbeats_began_an_election_timeout_before_another_member_leads)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const RaftSettings settings = smallSettings();
        RaftCluster cluster(seed, 5, settings);
        cluster.runWithoutFaults(100);
        const std::string leader = cluster.leader();
        BOOST_REQUIRE(!leader.empty());
        const RaftCore &core = *cluster.nodes.at(leader).core;
        std::map<std::uint64_t, unsigned> startedIn; // Tick in which each round began.
        unsigned tick = 0;
        const auto run = [&]() {
            ++tick;
            cluster.runWithoutFaults(1);
            startedIn.try_emplace(core.startedRound(), tick);
        };
        const std::uint64_t before = core.confirmedRound();
        for (unsigned i = 0; i < 5 * settings.heartbeatTicks; ++i) {
            run();
        }
        BOOST_TEST(core.confirmedRound() >= before + 4); // Without any read.
        cluster.isolate(leader);
        std::uint64_t confirmed = 0;
        while (cluster.leader() == leader && tick < 1000) {
            confirmed = std::max(confirmed, core.confirmedRound());
            run();
        }
        BOOST_REQUIRE(startedIn.contains(confirmed));
        BOOST_TEST(tick - startedIn.at(confirmed) >= settings.electionTicks);
    }
}
