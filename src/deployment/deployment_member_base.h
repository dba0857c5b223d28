/** @file deployment_member_base.h  One control member: the replicated state of the deployment and, while it leads, what
 * follows from the daemons' reports. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/replica_group_base.h"
#include "deployment/configuration_type.h"
#include "deployment/credit_pool_base.h"
#include "deployment/deployment_state_base.h"
#include "deployment/deployment_watcher_base.h"
#include "deployment/endpoint_list_type.h"
#include "deployment/instance_board_base.h"
#include "deployment/strike_board_base.h"

namespace Chestnuthook
{

using ConfigurationReader = std::function<Result<ConfigurationPtr>(const std::string &document)>;

struct DeploymentMemberSettings
{
    InstanceFacts self; ///< This daemon; its identity is filled in when the folder is open.
    std::vector<std::string> seeds; ///< RPC addresses of control members.
    unsigned lossesToBear = 1; ///< Instances with a disk that may be lost at once.
    bool isFirstStart = false; ///< The whole deployment starts for the first time: its seeds found the group.
};

/** State of a history instance that is to be emptied. */
enum class RetireState : std::uint8_t { Running, Completed };

/** For the control thread. */
class DeploymentMember
{
public:
    DeploymentMember(ControlLoop &loop, DeploymentMemberSettings settings, ConfigurationReader readConfiguration,
        EndpointSource &endpointSource);

    /** Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<void> open(const std::string &folder);
    void start();
    void setSeeds(std::vector<std::string> addresses)
    {
        this->watcher.setSeeds(std::move(addresses));
    }

    /** Accepts @p document where it is valid; a version that is not higher changes nothing.
     * Errors: BadDeclaration, NotLeader, NoQuorum. */
    [[nodiscard]] kj::Promise<BoxedResult<void>> putConfiguration(std::string document);
    /** The newest configuration, confirmed by a quorum. Errors: NotLeader, NoQuorum, NotFound where there is none. */
    [[nodiscard]] kj::Promise<BoxedResult<std::string>> readConfiguration();
    /** Errors: NotLeader, NoQuorum, NotFound, Conflict where too few would remain. */
    [[nodiscard]] kj::Promise<BoxedResult<void>> startRetire(std::string instance);
    /** Errors: NotLeader, NoQuorum, NotFound. */
    [[nodiscard]] kj::Promise<BoxedResult<RetireState>> retireState(std::string instance);

    /** Address for operators of the leading member; empty where unknown or this one. */
    [[nodiscard]] std::string leaderForOperators() const;
    /** Daemons that live, as far as known here. */
    [[nodiscard]] std::vector<InstanceFacts> instances() const;

    /** The capability for other daemons. */
    [[nodiscard]] Wire::Deployment::Client makeService();

    // For the Deployment service.
    [[nodiscard]] kj::Promise<void> awaitNews(
        Wire::InstanceReport::Reader report, Wire::HeldVersions::Reader held, unsigned waitMs);
    void writeUpdate(Wire::HeldVersions::Reader held, Wire::Update::Builder update);
    [[nodiscard]] bool leads() const
    {
        return this->node.isLeader();
    }
    [[nodiscard]] std::uint32_t takeCredit(const std::string &customer, const CreditWish &wish);

    ReplicaNode node; ///< The replicated log.

private:
    void beginLeading();
    void notifyWatchers();
    void look();
    void planHistory();
    void planGroup();
    void readEndpoints();
    void noteStrikes(Wire::InstanceReport::Reader report);
    void refreshConfiguration();
    [[nodiscard]] std::uint32_t newParts(Wire::HeldVersions::Reader held) const;

    ControlLoop &loop; ///< Outlives this.
    DeploymentMemberSettings settings; ///< As given.
    ConfigurationReader readDocument; ///< Decodes a configuration.
    EndpointSource &endpointSource; ///< The platform's list; outlives this.
    ReplicaGroup<DeploymentState> group; ///< The replicated state.
    DeploymentWatcher watcher; ///< Used while another member leads.

    // What follows is kept while this member leads; versions count under its term.
    std::uint64_t ledTerm = 0; ///< Term that it is kept for.
    Instant leadingSince{0}; ///< When that began.
    InstanceBoard board; ///< Who lives.
    std::uint64_t instancesVersion = 0; ///< Of `board`.
    std::vector<DeployedEndpoint> endpoints; ///< Last list.
    std::uint64_t endpointsVersion = 0; ///< 0 until one was read in this term.
    bool readingEndpoints = false; ///< A read is under way.
    StrikeBoard strikes; ///< Requests that bring endpoints down.
    std::uint64_t quarantineVersion = 0; ///< Of what `strikes` refuses.
    CreditPool credits; ///< Rates of the customers.
    bool changingGroup = false; ///< A change of the control members is under way.
    bool changingView = false; ///< A change of the history view is under way.

    ConfigurationPtr configuration; ///< Decoded from the replicated state; null before the first.
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> watching; ///< Watches that wait for news.
    TimerSubscription looking; ///< Runs `look`.
    TimerSubscription reading; ///< Runs `readEndpoints`.
};

} // namespace Chestnuthook
