/** @file raft_cluster.h  Cores of the replicated log under a simulated network and disks, driven by a seeded schedule,
 * with the properties that every schedule must keep. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_core_base.h"

namespace Chestnuthook::Testing
{

/** One member with its disk and its machine. */
struct RaftNode
{
    /** Something on its way to the disk. */
    struct Write
    {
        RaftActions actions; ///< What to persist.
        RaftSnapshot snapshot; ///< A compaction where its index isn't 0.
        std::uint64_t keepFrom = 0; ///< First entry that the compaction keeps.
    };

    std::unique_ptr<RaftCore> core; ///< Null while it is down.
    RaftRestored disk; ///< What was synced.
    std::deque<Write> writes; ///< Not yet synced; lost in a crash.
    std::vector<std::string> machine; ///< Commands applied, in order.
    std::uint64_t applied = 0; ///< Index of the last entry applied.
};

class RaftCluster
{
public:
    RaftCluster(std::uint64_t seed, std::size_t members, const RaftSettings &settings);

    /** Runs @p steps random events: loss, delay, duplication, reordering, crashes, partitions, membership changes. */
    void runRandom(std::size_t steps);

    /** Ends all faults, starts all members and runs until they agree. Reports a fault where they don't. */
    void healAndSettle();

    /** Lets time pass with a good network but for cut links, and disks that sync at once. */
    void runCalm(std::size_t ticks);

    void crash(const std::string &id);
    void start(const std::string &id);
    void cut(const std::string &from, const std::string &to)
    {
        this->cuts.insert({from, to});
    }
    void isolate(const std::string &id);
    void heal()
    {
        this->cuts.clear();
    }
    bool propose(const std::string &id);
    /** Takes the actions of @p id and carries them out. */
    void drain(const std::string &id);
    void syncAll(const std::string &id);
    /** Delivers all messages under way between @p from and @p to, at most @p limit. */
    std::size_t deliver(const std::string &from, const std::string &to, std::size_t limit = 1000);
    /** Compares the logs of all members that are up. */
    void checkLogs();

    /** The leader with the highest term, or empty. */
    [[nodiscard]] std::string leader() const;

    std::map<std::string, RaftNode> nodes; ///< By identity.
    std::vector<RaftMessage> network; ///< Under way.
    std::vector<std::string> faults; ///< Properties that were broken.
    std::map<std::uint64_t, RaftEntry> committed; ///< By index, as first seen anywhere.
    std::size_t confirmedReads = 0; ///< Reads that were confirmed.
    std::size_t membershipChanges = 0; ///< Changes that were proposed.

private:
    void randomEvent();
    void randomFault(std::uint64_t dice);
    void deliverRandom();
    void syncSome(const std::string &id, std::size_t count);
    void carryOut(const std::string &id, RaftActions actions);
    void applyEntry(const std::string &id, const RaftEntry &entry);
    void checkLeader(const std::string &id);
    void compact(const std::string &id);
    void changeMembership();
    void requestRead(const std::string &id);
    void fault(const std::string &what);
    const std::string &anyNode();

    const std::uint64_t seed; ///< Names the schedule.
    const RaftSettings settings; ///< Of all cores.
    std::mt19937_64 random; ///< Chooses events.
    std::set<std::pair<std::string, std::string>> cuts; ///< Links that lose everything, by direction.
    std::map<std::uint64_t, std::string> leaders; ///< By term.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> reads; ///< Least index, by node and read.
    std::uint64_t nextCommand = 1; ///< Makes commands unique.
    std::uint64_t starts = 0; ///< Seeds of restarted cores differ.
    std::size_t step = 0; ///< For reports.
};

} // namespace Chestnuthook::Testing
