/** @file deployment_watcher_base.h  Keeps a daemon's view of its deployment up to date, and reports the daemon to the
 * leader of the control members. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/timer_base.h"
#include "deployment/configuration_type.h"
#include "deployment/credit_pool_base.h"
#include "deployment/endpoint_list_type.h"
#include "deployment/history_view_type.h"
#include "deployment/instance_registry_base.h"
#include "deployment/strike_tracker_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** What a daemon knows of its deployment. Parts that were never told are empty. */
struct DeploymentView
{
    std::uint64_t term = 0; ///< Of the leader that told it last; never falls.
    std::string leader; ///< RPC address of the leader; empty where unknown.
    std::uint64_t configurationVersion = 0; ///< Never falls.
    std::string document; ///< Configuration of that version.
    std::vector<DeployedEndpoint> endpoints; ///< Last list that was told.
    std::vector<InstanceInfo> instances; ///< Those that live.
    std::set<std::uint64_t> quarantine; ///< Fingerprints of requests that crash endpoints.
    HistoryView history; ///< Its version never falls.
};

/** Bits of Update.has. */
enum class UpdatePart : std::uint32_t { Configuration = 1, Endpoints = 2, Instances = 4, Quarantine = 8, History = 16 };

[[nodiscard]] constexpr bool hasPart(std::uint32_t parts, UpdatePart part)
{
    return (parts & static_cast<std::uint32_t>(part)) != 0;
}

/** For the control thread. */
class DeploymentWatcher
{
public:
    /** @p seeds are RPC addresses of control members; they may be out of date. */
    DeploymentWatcher(ControlLoop &loop, std::vector<std::string> seeds);
    DeploymentWatcher(const DeploymentWatcher &) = delete;
    DeploymentWatcher &operator=(const DeploymentWatcher &) = delete;

    void start();
    void setSeeds(std::vector<std::string> addresses)
    {
        this->seeds = std::move(addresses);
    }
    /** Reports at once, without waiting for the watch that is under way. */
    void reportNow();

    /** Calls credit at the leader. The promise fails where it doesn't answer or no longer leads. */
    [[nodiscard]] kj::Promise<std::map<std::string, std::uint32_t>> requestCredit(
        const std::map<std::string, CreditRequest> &wanted);

    /** Whether a leader has answered lately. */
    [[nodiscard]] bool hasLeaderContact() const;
    /** Daemons that live; none while out of touch, since an old list names some that are down. */
    [[nodiscard]] std::vector<InstanceInfo> currentInstances() const;

    std::function<InstanceInfo()> describeSelf; ///< This daemon as it is now; set before `start`.
    std::function<std::uint64_t()> copiedView; ///< May be empty.
    std::function<std::vector<EndpointStrike>()> takeStrikes; ///< May be empty.
    std::function<bool()> isPaused; ///< While true nothing is watched: this daemon leads. May be empty.
    std::function<void(std::uint32_t)> onUpdate; ///< Called with the parts that changed. May be empty.

    DeploymentView view; ///< Read by the daemon; changed here only.

private:
    /** Longest time that the leader may hold a watch. */
    static constexpr unsigned WatchWaitMs = 200;
    /** For the answer to a watch, counted from the first one that was not answered. */
    static constexpr Duration WatchTimeout = std::chrono::milliseconds(450);
    /** For the answer of a member that isn't known to lead. It may be down while others are up; each further one gets
     * more time, since all may be slow. */
    static constexpr Duration ProbeTimeout = std::chrono::milliseconds(100);
    static constexpr Duration ProbeTimeoutStep = std::chrono::milliseconds(50);
    static constexpr unsigned MostProbeSteps = 8;
    static constexpr auto RetryDelay = 20 * kj::MILLISECONDS;
    static constexpr auto CreditTimeout = 150 * kj::MILLISECONDS;
    /** Without an answer for this long the leader counts as out of touch. */
    static constexpr Duration OutOfTouchAfter = std::chrono::milliseconds(1000);

    kj::Promise<void> run();
    kj::Promise<void> watchOnce();
    void take(Wire::Update::Reader update);
    void tryNext();
    RpcLink &linkTo(const std::string &address);

    ControlLoop &loop; ///< Outlives this.
    std::vector<std::string> seeds; ///< As given.
    std::string target; ///< RPC address to ask next.
    std::size_t rotation = 0; ///< Next of the known addresses to try.
    std::map<std::string, std::unique_ptr<RpcLink>> links; ///< By address.
    std::uint64_t endpointsVersion = 0; ///< Under `view.term`.
    std::uint64_t instancesVersion = 0; ///< Under `view.term`.
    std::uint64_t quarantineVersion = 0; ///< Under `view.term`.
    Instant answered{0}; ///< When a leader answered last.
    kj::Own<kj::PromiseFulfiller<void>> interrupt; ///< Ends the watch under way.
    bool reportWanted = false; ///< A report is due at once.
    Instant unansweredSince{0}; ///< When the first watch that was not answered left; 0 where all were.
    unsigned probes = 0; ///< Members asked in vain since a leader answered.
};

} // namespace Chestnuthook
