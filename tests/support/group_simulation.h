/** @file group_simulation.h  Simulates a control group under its plan of membership changes, without a network: real
 * cores, and instances that are added, removed, restarted and robbed of their disks in a seeded random order. */
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "deployment/group_plan_func.h"
#include "support/raft_cluster.h"

namespace Chestnuthook::Testing
{

class GroupSimulation
{
public:
    /** A group of @p members, which tolerates @p toleratedFailures at a time. */
    GroupSimulation(std::uint64_t seed, std::size_t members, std::size_t toleratedFailures);

    /** Plays random events for @p ticks ticks of 25 ms, then waits until the group works. Faults are reported as
     * violations of the cluster. */
    void run(std::size_t ticks);

    RaftCluster cluster; ///< The members, with those that have ended.
    std::size_t diskLosses = 0; ///< Disks that were lost.
    std::size_t removals = 0; ///< Instances that were removed for good.

private:
    enum class State : std::uint8_t {
        Up, ///< Its process runs.
        Leaving, ///< It runs and has asked to leave the group.
        Down, ///< It will be started again.
        Gone, ///< Removed for good.
    };
    struct Instance
    {
        std::string address; ///< Address of its control port.
        std::string identity; ///< Identity of its data folder.
        State state = State::Up;
        std::uint64_t changesAt = 0; ///< Down: tick of its start. Leaving: tick at which it ends in any case.
        std::uint64_t countsFrom = 0; ///< From this tick on it counts as caught up.
        bool endsForGood = false; ///< Leaving: it won't be started again.
        bool isSuccessor = false; ///< It has taken the place of a removed instance.
    };

    void tick();
    void playEvent();
    void addInstance();
    /** Removes an instance whose successor has caught up. */
    void removeInstance(bool withNotice);
    void loseDisk();
    /** Restarts some instances, with or without notice. */
    void restartSome();
    /** Ends an episode of losses once all instances have caught up. */
    void updateEpisode();
    void advance(Instance &instance);
    void plan();
    void stop(Instance &instance, State state, std::uint64_t until);
    [[nodiscard]] std::vector<GroupMemberState> memberStates(const RaftCore &leader) const;
    [[nodiscard]] std::vector<GroupCandidate> candidates() const;
    [[nodiscard]] bool hasReported(const std::string &identity) const;
    [[nodiscard]] bool isLeaving(const std::string &identity) const;
    /** The core of the leader; null if there is none that has committed in its term. */
    [[nodiscard]] RaftCore *leaderCore();
    /** An instance that has caught up, by chance; null if there is none. */
    [[nodiscard]] Instance *pickInstance(bool asSuccessor);
    [[nodiscard]] bool hasCaughtUp(const Instance &instance) const;
    [[nodiscard]] std::size_t roll(std::size_t sides);
    /** Reports if the voters that can come back are no majority. */
    void checkMajority();

    const std::size_t toleratedFailures; ///< See the constructor.
    std::mt19937_64 random; ///< Source of the events.
    std::vector<Instance> instances; ///< All there have been.
    std::uint64_t now = 0; ///< Current tick.
    std::uint64_t leaderSince = 0; ///< Tick at which the leader was first seen.
    std::uint64_t leaderTerm = 0; ///< Its term.
    std::uint64_t planAt = 0; ///< Tick of the next plan.
    std::map<std::string, std::uint64_t> lastRanAt; ///< Last tick at which an identity ran.
    std::map<std::string, std::uint64_t> lastAskedToLeaveAt; ///< Last tick at which an identity asked to leave.
    std::uint64_t lastRemovalAt =
        0; ///< Tick at which the leader last removed a member that may come back; 0 for never.
    bool isInEpisode = false; ///< Some instance is down, or has come back and doesn't count yet.
    std::size_t episodeDisks = 0; ///< Disks lost in the episode.
    /** Ticks with a leader that must pass before the next loss, as the group hasn't been told of the last one. */
    std::uint64_t unnoticedTicks = 0;
};

} // namespace Chestnuthook::Testing
