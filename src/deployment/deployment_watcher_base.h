/** @file deployment_watcher_base.h  Follows the leader of the control members: reports this daemon to it and receives
 * updates of the deployment by long polling. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/timer_base.h"
#include "deployment/configuration_type.h"
#include "deployment/control_links_base.h"
#include "deployment/credit_batch_type.h"
#include "deployment/credit_pool_base.h"
#include "deployment/credit_relay_choice_base.h"
#include "deployment/endpoint_limit_type.h"
#include "deployment/endpoint_list_type.h"
#include "deployment/history_view_type.h"
#include "deployment/instance_registry_base.h"
#include "deployment/strike_report_type.h"
#include "rpc/control_loop_base.h"
#include "rpc/deployment.capnp.h"

namespace Chestnuthook
{

/** A daemon's copy of the deployment's state. Parts that were never received are empty. */
struct DeploymentView
{
    std::uint64_t term = 0; ///< Term of the leader that sent the last update; never decreases.
    std::string leader; ///< RPC address of the leader; empty if unknown.
    std::uint64_t newestConfiguration = 0; ///< Newest version that a leader has told of; never decreases.
    std::uint64_t configurationVersion = 0; ///< Version that this daemon holds; never decreases.
    std::string document; ///< Configuration document of that version.
    std::vector<DeployedEndpoint> endpoints; ///< Endpoint list as last received.
    std::vector<InstanceInfo> instances; ///< Daemons that are alive.
    std::set<std::uint64_t> quarantine; ///< Fingerprints of requests that crash endpoints.
    std::set<std::uint64_t> suspects; ///< Fingerprints of requests that may crash endpoints.
    HistoryView history; ///< Membership of the history store; its version never decreases.
};

/** Credit that is requested for an endpoint with a limit. */
struct EndpointCreditRequest
{
    EndpointLimitReport limit; ///< The limit as far as it is known here.
    CreditRequest wanted; ///< What is requested; `late` isn't used.
    double coldPerSecond = 0; ///< Requests per second that it tolerates while it is cold; 0 if it isn't known as cold.
};

/** What a leader has granted, in requests. */
struct CreditReply
{
    std::map<std::string, std::uint32_t> customers; ///< By name.
    std::map<std::string, std::uint32_t> endpoints; ///< By id.
    bool limitsEndpoints = false; ///< The leader counts the requests to endpoints.
};

/** Bits of Update.has. */
enum class UpdatePart : std::uint32_t { Configuration = 1, Endpoints = 2, Instances = 4, Quarantine = 8, History = 16 };

[[nodiscard]] constexpr bool hasPart(std::uint32_t parts, UpdatePart part)
{
    return (parts & static_cast<std::uint32_t>(part)) != 0;
}

/** Used by the control thread only. */
class DeploymentWatcher
{
public:
    /** @p seeds are RPC addresses of control members, possibly outdated. */
    DeploymentWatcher(ControlLoop &loop, std::vector<std::string> seeds);
    DeploymentWatcher(const DeploymentWatcher &) = delete;
    DeploymentWatcher &operator=(const DeploymentWatcher &) = delete;

    void start();
    void setSeeds(std::vector<std::string> addresses)
    {
        this->seeds = std::move(addresses);
    }
    /** Takes a configuration that was fetched because of `onNewConfiguration`. */
    void setConfiguration(std::uint64_t version, std::string document);
    /** Sends a report at once, interrupting the current watch. */
    void reportNow();

    /** Requests credit from the leader, in a large fleet through another control member that asks for many gateways.
     * The promise fails if it doesn't answer or is no longer the leader. */
    [[nodiscard]] kj::Promise<CreditReply> requestCredit(
        const CreditRequests &customers, const std::vector<EndpointCreditRequest> &endpoints);
    /** As above from the control member at @p leader itself. */
    [[nodiscard]] kj::Promise<CreditReply> requestCreditAt(const std::string &leader, const CreditRequests &customers,
        const std::vector<EndpointCreditRequest> &endpoints);

    /** Asks the leader for the software versions of the endpoints at which streams of @p service may have begun, as of
     * a time after the call. The promise fails if it doesn't answer, isn't the leader, or can't be certain. */
    [[nodiscard]] kj::Promise<std::set<std::string>> requestServiceVersions(const std::string &service);

    /** Contact to the leader counts as lost after this long without an answer. By then leaders count this daemon as
     * silent; see InstanceRegistry::SilenceTimeout. */
    [[nodiscard]] Duration leaderContactTimeout() const
    {
        return ShortContactTimeout + extraSilenceOf(this->watchWait);
    }
    /** Longest time for which the leader holds a watch of this daemon; grows with the fleet. */
    [[nodiscard]] Duration currentWatchWait() const
    {
        return this->watchWait;
    }
    /** Whether a leader has answered within leaderContactTimeout(). */
    [[nodiscard]] bool hasLeaderContact() const;
    /** Makes the leader answer within WatchTimeout, as it didn't answer another call in time. */
    void verifyLeader();
    /** When a leader last answered; the start of this process if none has. */
    [[nodiscard]] Instant lastLeaderAnswer() const
    {
        return this->lastAnswer;
    }
    /** How long the leader of `view.term` has been followed. */
    [[nodiscard]] Duration followedFor() const
    {
        return this->lastAnswer - this->termSeenAt;
    }
    /** Daemons that are alive. Empty without contact to a leader, since an old list contains some that are down. */
    [[nodiscard]] std::vector<InstanceInfo> currentInstances() const;

    std::function<InstanceInfo()> describeSelf; ///< Describes this daemon as it is now; set before `start`.
    std::function<std::uint64_t()> copiedView; ///< Returns the copied view for the report. May be empty.
    /** Takes what is new about requests that may crash endpoints. It is reported until the leader has recorded it. May
     * be empty. */
    std::function<StrikeReport()> takeStrikes;
    /** Takes the changed limits of endpoints for the report. May be empty. */
    std::function<std::vector<EndpointLimitReport>()> takeLimits;
    std::function<std::uint64_t()> configurationInForce; ///< Version for the report; the one held if it is empty.
    std::function<bool()> isPaused; ///< Whether to stop watching because this daemon leads. May be empty.
    /** Called with the newest version that a leader knows, and when it was asked by the boot clock. May be empty. */
    std::function<void(Instant, std::uint64_t)> onNewestTold;
    std::function<void(std::uint64_t)> onNewConfiguration; ///< Called with the version of a newer one. May be empty.
    std::function<void(std::uint32_t)> onUpdate; ///< Called with the UpdatePart bits that changed. May be empty.

    DeploymentView view; ///< Read by the daemon; modified only here.
    ControlLinks links; ///< Connections to control members.

private:
    /** Contact timeout while watches wait for MinWatchWait. */
    static constexpr Duration ShortContactTimeout = std::chrono::milliseconds(1000);
    /** Time limit for the answer to a watch beyond the time for which the leader holds it. */
    static constexpr Duration AnswerTimeout = std::chrono::milliseconds(250);
    /** Time limit for the answer to a watch that isn't held. */
    static constexpr Duration WatchTimeout = MinWatchWait + AnswerTimeout;
    /** By how much `watchWait` decreases with an update: leaders allow for the longer silence that they were told. */
    static constexpr Duration WatchWaitStep = std::chrono::milliseconds(100);
    /** Time limit for the answer of a member that isn't known to be the leader. It is short because the member may be
     * down while others are up, and grows with each failed probe because all may be slow. */
    static constexpr Duration ProbeTimeout = std::chrono::milliseconds(100);
    static constexpr Duration ProbeTimeoutStep = std::chrono::milliseconds(50);
    static constexpr unsigned MaxProbeSteps = 8;
    /** A connection on which nothing was answered for this long is replaced, while watches wait for MinWatchWait. */
    static constexpr Duration SilenceTimeout = WatchTimeout;
    static constexpr Duration FailureLogInterval = std::chrono::seconds(1);
    /** Least time between two watches that are interrupted because of other calls. Many calls fail at once where the
     * leader is busy. */
    static constexpr Duration VerificationInterval = 3 * MaxWatchWait;
    static constexpr auto RetryDelay = 20 * kj::MILLISECONDS;
    /** A later answer would bring credit that has expired. */
    static constexpr Duration CreditTimeout = CreditTtl;

    [[nodiscard]] kj::Promise<CreditReply> requestRelayedCredit(
        const std::string &relay, const CreditRequests &customers);
    /** RPC address of the control member through which credit is requested; empty if the leader is asked itself. */
    [[nodiscard]] std::string findCreditRelay() const;
    kj::Promise<void> watchLoop();
    kj::Promise<void> watchOnce();
    void applyUpdate(Wire::Update::Reader update);
    void applyInstances(Wire::Update::Reader update);
    /** Writes the strikes that the leader has not recorded yet, if there are any. */
    void writeStrikes(Wire::InstanceReport::Builder report);
    /** RPC addresses of the control members, as last received, without this daemon's own. */
    [[nodiscard]] std::vector<std::string> controlAddresses() const;
    void selectNextTarget();
    /** Records that the watch at `target` failed, and turns to another member. */
    void handleFailure(const kj::Exception &exception);

    ControlLoop &loop; ///< Must outlive this object.
    std::vector<std::string> seeds; ///< RPC addresses of control members, from the settings.
    std::string target; ///< RPC address of the member to call next.
    std::size_t nextCandidate = 0; ///< Index of the known address to try next, modulo their number.
    Instant failureLoggedAt{0}; ///< When a failure of a member that isn't known to lead was last logged.
    std::uint64_t endpointsVersion = 0; ///< Valid within `view.term`.
    std::uint64_t instancesVersion = 0; ///< Valid within `view.term`.
    std::uint64_t quarantineVersion = 0; ///< Valid within `view.term`.
    StrikeReport unrecordedStrikes; ///< Taken by `takeStrikes`, and not known to be recorded.
    std::uint64_t strikeReportId = 0; ///< Id of `unrecordedStrikes`; 0 if that is empty.
    std::mt19937_64 random{std::random_device()()}; ///< Source of ids.
    Instant termSeenAt{0}; ///< When the leader of `view.term` first answered.
    Instant lastAnswer{0}; ///< Time of the last answer of a leader.
    kj::Own<kj::PromiseFulfiller<void>> interrupt; ///< Ends the current watch.
    bool isReportPending = false; ///< The next watch returns at once instead of waiting for an update.
    /** The last responses are held until the next call of their kind is sent: the message that releases one then
     * arrives together with that call, which saves the leader a wake-up for each call. */
    kj::Maybe<capnp::Response<Wire::Deployment::WatchResults>> lastWatch;
    kj::Maybe<capnp::Response<Wire::Deployment::CreditResults>> lastCredit;
    kj::Maybe<capnp::Response<Wire::Deployment::RelayCreditResults>> lastRelayedCredit;
    CreditRelayChoice creditRelays; ///< Chooses the control member through which credit is requested.
    Instant verifiedAt{0}; ///< When `verifyLeader` last interrupted a watch.
    Instant answerDue{0}; ///< When the first unanswered watch must be answered at the latest; 0 if there is none.
    Duration watchWait = MinWatchWait; ///< Longest time for which the leader holds a watch without an update.
    unsigned failedProbes = 0; ///< Failed calls since a leader answered, at most MaxProbeSteps.
};

} // namespace Chestnuthook
