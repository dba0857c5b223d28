/** @file deployment_member_base.h  A control member: a replica of the deployment's state. While it is the leader, it
 * also tracks the other daemons, distributes updates and plans membership changes. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/replica_group_base.h"
#include "deployment/cold_endpoints_base.h"
#include "deployment/cold_limit_func.h"
#include "deployment/configuration_type.h"
#include "deployment/credit_pool_base.h"
#include "deployment/credit_relay_base.h"
#include "deployment/deployment_state_base.h"
#include "deployment/deployment_watcher_base.h"
#include "deployment/endpoint_limit_type.h"
#include "deployment/endpoint_list_type.h"
#include "deployment/endpoint_versions_type.h"
#include "deployment/group_plan_func.h"
#include "deployment/instance_registry_base.h"
#include "deployment/leader_load_base.h"
#include "deployment/loop_lag_base.h"
#include "deployment/strike_table_type.h"
#include "rpc/worker_thread_base.h"

namespace Chestnuthook
{

/** Called on a worker thread. */
using ConfigurationParser = std::function<Result<ConfigurationPtr>(const std::string &document)>;

/** A configuration document as daemons get it. */
struct CompressedConfiguration
{
    std::uint64_t version = 0; ///< Version of the configuration; 0 for none.
    std::string bytes; ///< The document in the zlib format.
};

struct DeploymentMemberSettings
{
    InstanceInfo self; ///< Description of this daemon; `open` sets its identity.
    std::vector<std::string> seeds; ///< RPC addresses of control members.
    RateTolerance rateTolerance; ///< Tolerated excess over the customers' rates.
    ColdTolerance coldTolerance; ///< Requests that cold endpoints may get.
    unsigned toleratedFailures = 1; ///< Number of instances with a disk whose simultaneous loss is tolerated.
    bool isBootstrap = false; ///< The deployment starts for the first time; its seeds form the group.
    std::vector<std::string> dataCentres = {}; ///< Data centres of the deployment, as far as the settings name them.
    LogBudget logBudget = Chestnuthook::logBudget(0, 0); ///< Bounds of the replicated log.
};

/** An operator's change is acknowledged at the latest this long after it was committed, though some gateways may not
 * have it in force: they may be slow or just gone. Operators try another member after a second. */
inline constexpr auto MaxInForceWait = 600 * kj::MILLISECONDS;

/** Progress of retiring a history instance. */
enum class RetireState : std::uint8_t { Running, Completed };

/** Used by the control thread only. */
class DeploymentMember
{
public:
    DeploymentMember(ControlLoop &loop, DeploymentMemberSettings settings, ConfigurationParser parseConfiguration,
        EndpointSource &endpointSource);

    /** Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<void> open(const std::string &folder);
    void start();
    void setSeeds(std::vector<std::string> addresses)
    {
        this->watcher.setSeeds(std::move(addresses));
    }
    void setDataCentres(std::vector<std::string> names)
    {
        this->settings.dataCentres = std::move(names);
    }

    /** Commits @p document if it is valid. A version that isn't higher than the current one has no effect. Resolves
     * once the gateways in contact have the result in force, or MaxInForceWait later. Errors: BadDeclaration,
     * NotLeader, NoQuorum; without any effect those of `ReplicaNode::checkRoom`. */
    [[nodiscard]] kj::Promise<BoxedResult<void>> putConfiguration(std::string document);
    /** Linearizable read of the newest configuration. Errors: NotLeader, NoQuorum, NotFound if there is none. */
    [[nodiscard]] kj::Promise<BoxedResult<std::string>> readConfiguration();
    /** Starts to move the history of @p instance to another one. Errors: NotLeader, NoQuorum, NotFound, Conflict if too
     * few instances would remain. */
    [[nodiscard]] kj::Promise<BoxedResult<void>> startRetire(std::string instance);
    /** Errors: NotLeader, NoQuorum, NotFound. */
    [[nodiscard]] kj::Promise<BoxedResult<RetireState>> retireState(std::string instance);

    /** Begins or ends the evacuation of @p dataCentre: while it lasts, its endpoints get no request. Resolves once the
     * change is committed and the gateways in contact hold the list that shows it, or MaxInForceWait later. Errors:
     * NotLeader, NoQuorum, NotFound if nothing names the data centre, NotReady if there is no endpoint list yet. */
    [[nodiscard]] kj::Promise<BoxedResult<void>> setEvacuation(std::string dataCentre, bool active);

    /** Operator address of the leader; empty if it is unknown or this member. */
    [[nodiscard]] std::string leaderOperatorAddress() const;
    /** Daemons that are alive, as far as this member knows. */
    [[nodiscard]] std::vector<InstanceInfo> instances() const;

    /** Creates the RPC service for other daemons. */
    [[nodiscard]] Wire::Deployment::Client makeService();

    // For the Deployment service.
    /** Handles a report. @return a promise that resolves when there is something newer than @p held, or after @p waitMs
     * milliseconds. */
    [[nodiscard]] kj::Promise<void> awaitUpdate(
        Wire::InstanceReport::Reader report, Wire::HeldVersions::Reader held, unsigned waitMs);
    /** Writes the parts that are newer than @p held; only the leader's address if this member isn't the leader. */
    void writeUpdate(
        Wire::InstanceReport::Reader report, Wire::HeldVersions::Reader held, Wire::Update::Builder update);
    [[nodiscard]] bool isLeader() const
    {
        return this->node.isLeader();
    }
    /** Counts a credit call that is answered after @p waited. */
    void recordCreditCall(Duration waited)
    {
        this->load.recordCredit(waited);
    }
    /** Whether this member is the leader, and no other one can have been elected so far. */
    [[nodiscard]] kj::Promise<bool> confirmLead();
    /** As confirmLead(), once the configuration with the customers' rates has been read. */
    [[nodiscard]] kj::Promise<bool> prepareGrant();
    /** Resolves once `compressedConfiguration` holds the newest configuration that this member has applied. */
    [[nodiscard]] kj::Promise<void> compressConfiguration();
    /** The configuration that was last compressed, which may be older than the newest one. */
    [[nodiscard]] const CompressedConfiguration &compressedConfiguration() const
    {
        return this->compressed;
    }
    /** Counts a configuration of @p bytes that was sent to a daemon. */
    void recordConfigurationSent(std::size_t bytes);
    [[nodiscard]] std::uint64_t configurationVersion() const
    {
        return this->group.machine.configurationVersion;
    }
    /** Whether `endpointVersions` names all versions that gateways may have used. For the leader. */
    [[nodiscard]] bool knowsEndpointVersions() const;
    /** Software versions of the endpoints at which streams of @p service may have begun. */
    [[nodiscard]] std::set<std::string> endpointVersions(const std::string &service) const;
    /** Grants requests to an endpoint whose limits are as @p known says, as far as the gateway knows. */
    [[nodiscard]] std::uint32_t grantEndpointCredit(const EndpointCreditRequest &known);
    [[nodiscard]] std::uint32_t grantCredit(const std::string &customer, const CreditRequest &request);
    /** Requests credit from the leader for a gateway; see CreditRelay. */
    [[nodiscard]] kj::Promise<BoxedGrants> relayCredit(const CreditRequests &requests);

    /** Takes this member out of the group before its process ends, so that its vote doesn't count while it is down.
     * Resolves once that is committed, or is refused as no other instance can take its place, or after @p limit. */
    [[nodiscard]] kj::Promise<void> leaveGroup(Duration limit);
    /** Records that the member @p identity is about to end. Empty if this member isn't the leader. */
    [[nodiscard]] std::optional<LeaveState> requestLeave(const std::string &identity);

    ReplicaNode node; ///< The replicated log.

private:
    /** Requests credit from the leader, which may be this member. */
    [[nodiscard]] kj::Promise<BoxedGrants> requestCredit(const CreditRequests &requests);
    void startLeaderTerm();
    void notifyWatchers();
    /** Ends the next of `endingWatches`, and the others soon. */
    void endWatches();
    /** Forgets watches that were answered without a change. */
    void dropEndedWatches();
    /** Notifies the watches that need a new list of instances at once. */
    void publishInstances();
    /** Writes what has changed since @p held, or the whole list. */
    void writeInstances(Wire::HeldVersions::Reader held, Wire::Update::Builder update) const;
    void runLeaderTasks();
    void planHistory();
    [[nodiscard]] std::vector<GroupMemberState> groupMembers() const;
    [[nodiscard]] std::vector<GroupCandidate> groupCandidates() const;
    /** Begins the next change of the group, if one is due. */
    void planGroup();
    void changeGroup(const GroupChange &change);
    /** Whether the member @p identity has lately told this leader that it is about to end. */
    [[nodiscard]] bool isLeaving(const std::string &identity) const;
    /** Asks the leader to remove this member. Empty if none answers. */
    [[nodiscard]] kj::Promise<std::optional<LeaveState>> askToLeave();
    /** Asks until the request is decided, or until @p end. */
    [[nodiscard]] kj::Promise<void> leaveUntil(Instant start, Instant end);
    void beginVersionTerm(Instant now);
    /** Waits until the versions that leaders of earlier terms recorded are applied; then reads the endpoint list. */
    void readVersionRecord();
    void pollEndpoints();
    /** Publishes @p list once its versions are recorded. */
    void takeEndpoints(std::vector<DeployedEndpoint> list);
    void publishEndpoints(std::vector<DeployedEndpoint> list);
    /** Publishes which endpoints are cold if that has changed since the list was published. */
    void updateColdEndpoints();
    void logColdChanges();
    void removeExpiredVersions();
    /** Commits what a gateway reports of requests that may crash endpoints, unless that is done or in progress. */
    void recordStrikes(Wire::InstanceReport::Reader report);
    /** Commits @p strikes and that those of @p cleared are forgotten. */
    [[nodiscard]] kj::Promise<bool> commitStrikes(
        const std::vector<EndpointStrike> &strikes, const std::vector<std::uint64_t> &cleared);
    /** Takes over the strikes that leaders of earlier terms recorded. */
    void beginStrikeTerm();
    void expireStrikes(Instant now);
    /** Publishes the quarantined requests if they have changed, and the suspects too if @p withSuspects. */
    void refreshQuarantine(bool withSuspects);
    void writeQuarantine(Wire::Update::Builder update) const;
    /** Writes which report of the gateway @p name is recorded. */
    void writeRecordedStrikes(const std::string &name, Wire::Update::Builder update) const;
    /** Records what a gateway knows of the limit of an endpoint, and tells the others if it is new. */
    void recordLimit(const EndpointLimitReport &report);
    /** Reads @p document on the worker thread. */
    [[nodiscard]] kj::Promise<std::shared_ptr<Result<ConfigurationPtr>>> readDocument(
        std::shared_ptr<const std::string> document);
    /** Commits @p document, which reads as @p read. Resolves as `putConfiguration`. */
    [[nodiscard]] kj::Promise<BoxedResult<void>> commitConfiguration(
        std::shared_ptr<const std::string> document, ConfigurationPtr read, Instant start);
    /** Begins to read the configuration of the replicated state unless that is done or in progress. */
    void refreshConfiguration();
    /** Ends what `refreshConfiguration` has begun. */
    void endReading();
    /** Resolves once some configuration of the replicated state has been read, or can't be; at once if there is none.
     */
    [[nodiscard]] kj::Promise<void> awaitConfiguration();
    /** Resolves once the gateways in contact have @p version in force, or MaxInForceWait later. */
    [[nodiscard]] kj::Promise<void> awaitInForce(std::uint64_t version);
    /** Logs which gateways didn't have @p version in force as it was acknowledged after @p waited. */
    void logAcknowledged(std::uint64_t version, Duration waited) const;
    /** Whether the settings, an instance, an endpoint or an evacuation in force names @p dataCentre. */
    [[nodiscard]] bool isKnownDataCentre(const std::string &dataCentre) const;
    /** Waits for the first endpoint list of this term, at most until @p until, and publishes the evacuations in force.
     * Resolves as `setEvacuation`. */
    [[nodiscard]] kj::Promise<BoxedResult<void>> publishEvacuations(Instant until);
    /** Marks the endpoints of evacuated data centres in @p list. */
    void markEvacuated(std::vector<DeployedEndpoint> &list) const;
    /** Keeps the newest list of the terms before as `formerEndpoints`. Must be called when a term as leader starts. */
    void rememberEndpoints();
    /** Publishes the list again if the evacuations have changed. Publishes the list of the leader before if this one
     * can't read the platform's: the evacuations must not wait for that. */
    void refreshEvacuations();
    /** Logs the evacuations in force if they have changed, and counts them. */
    void reportEvacuations();
    /** Resolves the promises of `awaitInForce` and `publishEvacuations` that need wait no longer. */
    void notifyInForce();
    /** Gives up the lead if this process can't keep up, as on a machine that has become slow or whose disk is full. */
    void resignIfOverloaded();
    /** Tells the credit pool which gateways may use their own share of the rates. */
    void updateSilentGateways();
    /** Logs which customers got less credit than they wanted, and how much of the configuration was sent. */
    void logLeaderActivity();
    [[nodiscard]] std::uint32_t changedParts(Wire::HeldVersions::Reader held) const;

    ControlLoop &loop; ///< Must outlive this object.
    DeploymentMemberSettings settings; ///< Settings of this member.
    ConfigurationParser parseDocument; ///< Parses a configuration document.
    EndpointSource &endpointSource; ///< Endpoint list of the platform; must outlive this object.
    ReplicaGroup<DeploymentState> group; ///< The replicated state.
    DeploymentWatcher watcher; ///< Follows the leader while another member leads.

    // State of the leader. Versions are comparable within one term only.
    std::uint64_t leaderTerm = 0; ///< Term to which this state belongs.
    Instant leaseEnd{0}; ///< Until then no other member can be elected; of the boot clock.
    kj::Maybe<kj::ForkedPromise<bool>> leaseRenewal; ///< See `confirmLead`; set while it is in progress.
    Instant leaderSince{0}; ///< When this member became leader in that term.
    InstanceRegistry registry; ///< Daemons that report to this member.
    std::uint64_t instancesVersion = 0; ///< Version of the alive instances in `registry`.
    std::size_t gatewayCount = 0; ///< Gateways that were alive when the leader's tasks last ran.
    /** Endpoint list as last read; all of its versions are recorded in the replicated state. */
    std::vector<DeployedEndpoint> endpoints;
    std::uint64_t endpointsVersion = 0; ///< Version of `endpoints`; 0 until the list was read in this term.
    EndpointVersionExpiry versionExpiry; ///< When recorded versions may be forgotten.
    std::uint64_t versionReadTerm = 0; ///< Term for which `readVersionRecord` is in progress; 0 for none.
    bool isVersionRecordRead = false; ///< All versions that leaders of earlier terms recorded are applied.
    bool isVersionRecordPartial = false; ///< Leaders of earlier terms may have published others.
    bool isChangingVersions = false; ///< A change of the recorded versions is being committed.
    bool isPollingEndpoints = false; ///< A read of the endpoint list is in progress.
    StrikeExpiry strikeExpiry; ///< When strikes may be forgotten.
    bool isExpiringStrikes = false; ///< Expired strikes are being forgotten.
    /** Progress of the latest report of strikes of a gateway. */
    struct RecordedStrikes
    {
        std::uint64_t committed = 0; ///< Id of the latest report that is committed; 0 for none.
        std::uint64_t pending = 0; ///< Id of the report that is being committed; 0 for none.
    };
    std::map<std::string, RecordedStrikes> recordedStrikes; ///< By name of the gateway.
    std::uint64_t quarantineVersion = 0; ///< Version of `verdicts`.
    StrikeTable::Verdicts verdicts; ///< As gateways are told.
    std::uint64_t judgedChanges = 0; ///< Changes of the recorded strikes for `verdicts`.
    std::int64_t judgedUntilMs = 0; ///< Until then `verdicts` may change by the time; since 1970.
    CreditPool credits; ///< Rate limits of the customers.
    EndpointLimitTable endpointLimits; ///< Limits that endpoints name.
    CreditPool endpointCredits; ///< Requests to the endpoints with limits.
    CreditRelay creditRelay; ///< Requests credit for gateways.
    ColdEndpoints coldEndpoints; ///< Which endpoints are cold.
    LoopLag loopLag; ///< Delays of the event loop.
    Instant lagRecordedAt{0}; ///< When `loopLag` was last told the time.
    Instant resignedAt{0}; ///< When this member last gave up the lead; 0 for never.
    bool isChangingGroup = false; ///< A change of the control members is in progress.
    std::map<std::string, Instant> leaveRequests; ///< When members last asked to leave, by identity.
    Instant groupPlannedAt{0}; ///< When `planGroup` last ran as the leader.
    Instant groupObservedSince{0}; ///< Since when it has run at short intervals.
    Instant lastRemoval{0}; ///< When a member was last removed that may come back; 0 for never.
    bool isChangingView = false; ///< A change of the history view is in progress.

    /** Configurations sent to other daemons since the last report. */
    struct
    {
        std::uint64_t receivers = 0; ///< Number of answers that held one.
        std::uint64_t bytes = 0; ///< Their size.
    } configurationsSent;

    LeaderLoad load; ///< Work of the leader for other daemons since the last report.

    /** Read from the replicated state, and older than that while a newer one is being read; null before the first. */
    ConfigurationPtr configuration;
    bool isReadingConfiguration = false; ///< `refreshConfiguration` is in progress.
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> configurationWaiters; ///< See `awaitConfiguration`.
    CompressedConfiguration compressed; ///< See `compressedConfiguration`.
    kj::Maybe<kj::ForkedPromise<void>> compressing; ///< See `compressConfiguration`; set while it is in progress.
    /** A change that waits until gateways have it in force. */
    struct PendingChange
    {
        std::uint64_t version = 0; ///< Version of the configuration that was committed; 0 for another change.
        kj::Own<kj::PromiseFulfiller<void>> fulfiller; ///< Ends the wait.
        std::uint64_t endpoints = 0; ///< Version of the endpoint list that is waited for; 0 for none.
    };
    std::vector<PendingChange> pendingChanges; ///< See `awaitInForce` and `publishEvacuations`.
    std::set<std::string> reportedEvacuations; ///< Evacuations that were last logged.
    std::set<std::string> publishedEvacuations; ///< Evacuations that `endpoints` shows.
    std::vector<DeployedEndpoint> formerEndpoints; ///< List that this member last published or got in an earlier term.
    std::uint64_t formerTerm = 0; ///< Term of `formerEndpoints`; 0 for none.
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> pendingWatches; ///< Wakes the watches that wait for an update.
    /** As `pendingWatches`, of gateways of a large fleet: a new list of instances can wait until they end. */
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> slowWatches;
    std::deque<kj::Own<kj::PromiseFulfiller<void>>> endingWatches; ///< Watches that an update is to end.
    bool isEndingWatches = false; ///< `endWatches` will run again.
    TimerSubscription leaderTaskTimer; ///< Runs `runLeaderTasks`.
    TimerSubscription lagTimer; ///< Runs `resignIfOverloaded`.
    TimerSubscription reportTimer; ///< Runs `logLeaderActivity`.
    TimerSubscription endpointPollTimer; ///< Runs `pollEndpoints`.
    WorkerThread worker; ///< Reads and compresses configurations.
};

} // namespace Chestnuthook
