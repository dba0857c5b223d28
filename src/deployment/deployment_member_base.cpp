/** @file deployment_member_base.cpp  Operator commands, watches of daemons, and the periodic tasks of the leader. */
#include "deployment/deployment_member_base.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/boot_clock_func.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "rpc/message_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

constexpr std::uint8_t StateTag = 1;
constexpr Duration LeaderTaskInterval = std::chrono::milliseconds(200);
/** Least time between two resignations of this member. If all members are overloaded, a change of the leader helps
 * nobody. */
constexpr Duration MinResignationInterval = std::chrono::seconds(30);
/** Reports of gateways are taken to be newer than what a new leader knows from its predecessor. */
constexpr Duration AdoptedLimitAge = std::chrono::seconds(2);
constexpr Duration ReportInterval = std::chrono::milliseconds(1000); ///< Of the log lines that sum up a leader's work.
/** Each read of the platform's endpoint list is charged, so a longer interval is cheaper. But an endpoint must get no
 * more work a few seconds after the list shows it as leaving. */
constexpr Duration EndpointPollInterval = std::chrono::milliseconds(700);

/** All daemons of a large fleet answer an update at once, so they get it in groups: the leader's heartbeats must not
 * wait behind hundreds of calls. */
constexpr std::size_t WatchesEndedAtOnce = 4;
constexpr auto WatchEndInterval = 5 * kj::MILLISECONDS;

/** Election timeout in ticks of 25 ms. Data centres are only a few milliseconds apart, so a leader that stops
 * responding can be replaced after 200 to 400 ms. */
constexpr unsigned ElectionTicks = 8;
constexpr unsigned HeartbeatTicks = 2;
/** A new leader of a large fleet is asked for lists by all daemons at once, and its heartbeats wait behind them. So the
 * election timeout grows with the fleet. */
constexpr std::size_t GatewaysPerElectionTimeout = 40;
constexpr std::size_t MaxElectionTimeoutFactor = 3;
/** Members that have acknowledged the leader elect no other one for ElectionTicks; their clocks may differ a little. */
constexpr Duration LeaderLease = std::chrono::milliseconds(150);

ReplicaSettings replicaSettings(const DeploymentMemberSettings &settings)
{
    const auto &seeds = settings.seeds;
    const std::string &address = settings.self.rpcAddress;
    const bool isSeed = std::find(seeds.begin(), seeds.end(), address) != seeds.end();
    ReplicaSettings replica;
    replica.name = address;
    replica.address = address;
    replica.raft.electionTicks = ElectionTicks;
    replica.raft.heartbeatTicks = HeartbeatTicks;
    replica.join = !settings.isBootstrap || !isSeed;
    replica.budget = settings.logBudget;
    for (const std::string &seed : seeds) {
        replica.initialMembers[seed] = seed;
    }
    return replica;
}

EndpointLimitReport readLimit(Wire::EndpointLimit::Reader limit)
{
    return {
        textOf(limit.getEndpoint()), std::max(limit.getPerSecond(), 0.0), std::chrono::milliseconds(limit.getAgeMs())};
}

CreditRequests readCredit(capnp::List<Wire::CustomerCredit>::Reader wanted)
{
    CreditRequests requests;
    for (const auto entry : wanted) {
        requests[textOf(entry.getCustomer())] = {
            entry.getRequests(), entry.getAhead(), entry.getLate(), entry.getReturned()};
    }
    return requests;
}

class DeploymentServer final : public Wire::Deployment::Server
{
public:
    explicit DeploymentServer(DeploymentMember &member)
        : member(member)
    {
    }

    kj::Promise<void> watch(WatchContext context) override
    {
        const auto params = context.getParams();
        return this->member.awaitUpdate(params.getReport(), params.getHeld(), params.getWaitMs())
            .then([this, context]() mutable {
                const auto params = context.getParams();
                this->member.writeUpdate(params.getReport(), params.getHeld(), context.getResults().initUpdate());
            });
    }

    kj::Promise<void> credit(CreditContext context) override
    {
        const Instant start = bootClockNow();
        return this->member.prepareGrant().then([this, context, start](bool isLeading) mutable {
            this->member.recordCreditCall(bootClockNow() - start);
            auto results = context.getResults();
            results.setLeading(isLeading);
            if (isLeading) {
                this->grantCredit(context.getParams().getWanted(), results);
                this->grantEndpointCredit(context.getParams().getEndpoints(), results);
            }
        });
    }

    kj::Promise<void> relayCredit(RelayCreditContext context) override
    {
        return this->member.relayCredit(readCredit(context.getParams().getWanted()))
            .then([context](BoxedGrants &&granted) mutable {
                auto list = context.getResults().initGranted(static_cast<unsigned>(granted->size()));
                unsigned position = 0;
                for (const auto &[customer, requests] : *granted) {
                    list[position].setCustomer(wireText(customer));
                    list[position++].setRequests(requests);
                }
            });
    }

    kj::Promise<void> configuration(ConfigurationContext context) override
    {
        if (this->member.configurationVersion() < context.getParams().getAtLeast()) {
            return kj::READY_NOW;
        }
        return this->member.compressConfiguration().then([this, context]() mutable {
            const CompressedConfiguration &newest = this->member.compressedConfiguration();
            this->member.recordConfigurationSent(newest.bytes.size());
            auto results = context.getResults();
            results.setVersion(newest.version);
            results.setCompressed(dataOf(newest.bytes));
        });
    }

    kj::Promise<void> serviceVersions(ServiceVersionsContext context) override
    {
        return this->member.confirmLead().then([this, context](bool isLeading) mutable {
            auto results = context.getResults();
            results.setKnown(isLeading && this->member.knowsEndpointVersions());
            const std::set<std::string> versions =
                this->member.endpointVersions(textOf(context.getParams().getService()));
            auto list = results.initVersions(static_cast<unsigned>(versions.size()));
            unsigned position = 0;
            for (const std::string &version : versions) {
                list.set(position++, wireText(version));
            }
        });
    }

    kj::Promise<void> leaveGroup(LeaveGroupContext context) override
    {
        const auto state = this->member.requestLeave(textOf(context.getParams().getIdentity()));
        context.getResults().setState(!state    ? Wire::LeaveState::NOT_LEADER
                : *state == LeaveState::Left    ? Wire::LeaveState::LEFT
                : *state == LeaveState::Refused ? Wire::LeaveState::REFUSED
                                                : Wire::LeaveState::PENDING);
        return kj::READY_NOW;
    }

private:
    void grantCredit(capnp::List<Wire::CustomerCredit>::Reader wanted, Wire::Deployment::CreditResults::Builder results)
    {
        const CreditRequests requests = readCredit(wanted);
        auto granted = results.initGranted(static_cast<unsigned>(requests.size()));
        unsigned position = 0;
        for (const auto &[customer, request] : requests) {
            granted[position].setCustomer(wireText(customer));
            granted[position++].setRequests(this->member.grantCredit(customer, request));
        }
    }

    void grantEndpointCredit(
        capnp::List<Wire::EndpointCredit>::Reader wanted, Wire::Deployment::CreditResults::Builder results)
    {
        results.setLimitsEndpoints(true);
        auto granted = results.initEndpoints(wanted.size());
        for (unsigned i = 0; i < wanted.size(); ++i) {
            const CreditRequest request{wanted[i].getRequests(), wanted[i].getAhead(), 0, wanted[i].getReturned()};
            granted[i].setLimit(wanted[i].getLimit());
            granted[i].setRequests(this->member.grantEndpointCredit(
                {readLimit(wanted[i].getLimit()), request, wanted[i].getColdPerSecond()}));
        }
    }

    DeploymentMember &member; ///< Must outlive this object.
};

InstanceInfo readInstanceInfo(Wire::InstanceReport::Reader report)
{
    return {textOf(report.getName()), report.getRole(), textOf(report.getDataCentre()),
        textOf(report.getCallerAddress()), textOf(report.getRpcAddress()), textOf(report.getIdentity()),
        report.getReady(), report.getCutOff(), report.getProcessorShare(), report.getRelaysCredit()};
}

} // namespace

DeploymentMember::DeploymentMember(ControlLoop &loop, DeploymentMemberSettings settings,
    ConfigurationParser parseConfiguration, EndpointSource &endpointSource)
    : node(loop, replicaSettings(settings))
    , loop(loop)
    , settings(std::move(settings))
    , parseDocument(std::move(parseConfiguration))
    , endpointSource(endpointSource)
    , group(this->node, StateTag)
    , watcher(loop, this->settings.seeds)
    , credits(this->settings.rateTolerance)
    , endpointCredits(endpointLimitTolerance())
    , creditRelay(loop, [this](const CreditRequests &requests) {
        return this->requestCredit(requests);
    })
{
    this->settings.self.relaysCredit = true;
    this->credits.onAccountOpened = [this](const std::string &customer, double tokens) {
        logEvent(EventKind::CreditAccountOpened,
            {{"customer", customer}, {"tokens", std::to_string(static_cast<std::int64_t>(tokens))},
                {"term", std::to_string(this->leaderTerm)}});
    };
}

Result<void> DeploymentMember::open(const std::string &folder)
{
    Result<void> opened = this->node.open(folder);
    if (opened) {
        this->settings.self.identity = this->node.identity();
    }
    return opened;
}

void DeploymentMember::start()
{
    this->node.onBecameLeader = [this]() {
        this->startLeaderTerm();
    };
    this->node.start();
    this->watcher.describeSelf = [this]() {
        return this->settings.self;
    };
    this->watcher.isPaused = [this]() {
        return this->isLeader();
    };
    this->watcher.start();
    this->leaderTaskTimer = this->loop.timers().every(LeaderTaskInterval, [this]() {
        this->runLeaderTasks();
    });
    this->lagTimer = this->loop.timers().every(LoopLag::Interval, [this]() {
        this->resignIfOverloaded();
    });
    this->reportTimer = this->loop.timers().every(ReportInterval, [this]() {
        this->logLeaderActivity();
    });
    this->endpointPollTimer = this->loop.timers().every(EndpointPollInterval, [this]() {
        this->pollEndpoints();
    });
}

void DeploymentMember::startLeaderTerm()
{
    const Instant now = this->loop.timers().now();
    this->rememberEndpoints();
    this->leaderTerm = this->node.term();
    this->leaderSince = now;
    this->groupObservedSince = now;
    this->registry = InstanceRegistry();
    const auto &known = this->watcher.view.instances;
    const auto gateways = std::ranges::count(known, Wire::InstanceRole::GATEWAY, &InstanceInfo::role);
    this->registry.adopt(now, known, extraSilenceOf(gatewayWatchWait(static_cast<std::size_t>(gateways))));
    this->registry.recordReport(now, this->settings.self, 0);
    this->instancesVersion = this->registry.version();
    this->endpoints.clear();
    this->endpointsVersion = 0;
    this->beginVersionTerm(now);
    this->leaseEnd = Instant(0);
    const bool followedPredecessor = this->watcher.view.term + 1 == this->leaderTerm
        && this->watcher.followedFor() >= this->settings.rateTolerance.window;
    this->credits.beginTerm(now, followedPredecessor);
    this->endpointCredits.beginTerm(now, followedPredecessor);
    this->coldEndpoints.adopt(now, this->watcher.view.endpoints);
    for (const DeployedEndpoint &endpoint : this->watcher.view.endpoints) {
        static_cast<void>(this->endpointLimits.record(now, {endpoint.id, endpoint.limitPerSecond, AdoptedLimitAge}));
    }
    this->updateSilentGateways();
    this->beginStrikeTerm();
    this->isChangingGroup = false;
    this->isChangingView = false;
    this->notifyWatchers();
}

void DeploymentMember::notifyWatchers()
{
    for (auto *watches : {&this->pendingWatches, &this->slowWatches}) {
        std::ranges::move(std::exchange(*watches, {}), std::back_inserter(this->endingWatches));
    }
    this->endWatches();
}

void DeploymentMember::endWatches()
{
    if (this->isEndingWatches) {
        return;
    }
    for (std::size_t ended = 0; ended < WatchesEndedAtOnce && !this->endingWatches.empty(); ++ended) {
        this->endingWatches.front()->fulfill();
        this->endingWatches.pop_front();
    }
    if (this->endingWatches.empty()) {
        return;
    }
    this->isEndingWatches = true;
    this->loop.detach(this->loop.kjTimer().afterDelay(WatchEndInterval).then([this]() {
        this->isEndingWatches = false;
        this->endWatches();
    }));
}

void DeploymentMember::dropEndedWatches()
{
    for (auto *watches : {&this->pendingWatches, &this->slowWatches}) {
        std::erase_if(*watches, [](auto &fulfiller) {
            return !fulfiller->isWaiting();
        });
    }
}

void DeploymentMember::publishInstances()
{
    this->instancesVersion = this->registry.version();
    std::ranges::move(std::exchange(this->pendingWatches, {}), std::back_inserter(this->endingWatches));
    this->endWatches();
}

void DeploymentMember::runLeaderTasks()
{
    this->reportEvacuations();
    const auto gateways = static_cast<std::size_t>(
        std::ranges::count(this->instances(), Wire::InstanceRole::GATEWAY, &InstanceInfo::role));
    const std::size_t factor =
        std::clamp<std::size_t>(gateways / GatewaysPerElectionTimeout, 1, MaxElectionTimeoutFactor);
    this->node.scaleElectionTimeout(static_cast<unsigned>(factor));
    if (!this->isLeader()) {
        return;
    }
    const Instant now = this->loop.timers().now();
    bool changed = this->registry.recordReport(now, this->settings.self, 0);
    changed = this->registry.expire(now) || changed;
    if (changed) {
        this->publishInstances();
    }
    this->expireStrikes(now);
    this->updateSilentGateways();
    this->dropEndedWatches();
    this->refreshConfiguration();
    this->refreshEvacuations();
    this->updateColdEndpoints();
    this->notifyInForce();
    this->planHistory();
    this->planGroup();
    this->removeExpiredVersions();
}

void DeploymentMember::resignIfOverloaded()
{
    const Instant now = this->loop.timers().now();
    this->load.recordDelay(now - this->lagRecordedAt - LoopLag::Interval);
    this->lagRecordedAt = now;
    this->loopLag.record(now);
    const bool mayResign = this->resignedAt.us == 0 || now - this->resignedAt >= MinResignationInterval;
    const bool hasOthers = this->node.members().size() > 1;
    if (this->isLeader() && hasOthers && mayResign && (this->loopLag.isOverloaded() || this->node.isDiskFull())) {
        logEvent(EventKind::LeaderResigned, {{"term", std::to_string(this->leaderTerm)}});
        this->resignedAt = now;
        this->node.resign();
    }
}

void DeploymentMember::updateSilentGateways()
{
    this->gatewayCount = this->registry.gatewayCount();
    InstanceRegistry::GatewayNames names = this->registry.gatewayNames();
    this->endpointCredits.setGateways(names.known, names.silent);
    this->credits.setGateways(std::move(names.known), std::move(names.silent));
}

void DeploymentMember::logLeaderActivity()
{
    for (const auto &[customer, counts] : this->credits.takeCounts()) {
        if (counts.granted < counts.wanted) {
            logEvent(EventKind::CreditGranted,
                {{"customer", customer}, {"wanted", std::to_string(counts.wanted)},
                    {"granted", std::to_string(counts.granted)}, {"term", std::to_string(this->leaderTerm)}});
        }
    }
    const bool isIdle = this->load.isIdle();
    std::vector<Field> work = this->load.takeFields(processorTimeNow());
    if (!isIdle) {
        work.push_back({"daemons", std::to_string(this->registry.alive().size())});
        logEvent(EventKind::LeaderLoad, work);
    }
    const auto sent = std::exchange(this->configurationsSent, {});
    if (sent.receivers != 0) {
        logEvent(EventKind::ConfigurationSent,
            {{"version", std::to_string(this->group.machine.configurationVersion)},
                {"receivers", std::to_string(sent.receivers)}, {"bytes", std::to_string(sent.bytes)}});
    }
}

void DeploymentMember::planHistory()
{
    const DeploymentState &state = this->group.machine;
    const Instant now = this->loop.timers().now();
    const auto candidates = this->registry.historyCandidates(now, state.view, state.retiring, this->leaderSince);
    const std::size_t wanted = 2U * this->settings.toleratedFailures + 1; // A majority survives the tolerated failures.
    auto plan = planHistoryView(state.view, candidates, wanted);
    if (!plan || this->isChangingView) {
        return;
    }
    this->isChangingView = true;
    logEvent(EventKind::MembershipChanged,
        {{"what", "history view proposed"}, {"version", std::to_string(plan->version)},
            {"current", std::to_string(plan->current.size())}, {"next", std::to_string(plan->next.size())}});
    this->loop.detach(this->group.propose(viewCommand(*plan)).then([this](Result<std::string> &&done) {
        this->isChangingView = false;
        if (!done) {
            logEvent(
                EventKind::MembershipChanged, {{"what", "history view failed"}, {"error", errorText(done.error())}});
        }
        this->notifyWatchers();
    }));
}

std::uint32_t DeploymentMember::changedParts(Wire::HeldVersions::Reader held) const
{
    const bool sameTerm = held.getTerm() == this->leaderTerm;
    const auto differs = [sameTerm](std::uint64_t theirs, std::uint64_t ours) {
        return ours != 0 && (!sameTerm || theirs != ours);
    };
    std::uint32_t parts = 0;
    const auto add = [&parts](bool isNew, UpdatePart part) {
        parts |= isNew ? static_cast<std::uint32_t>(part) : 0;
    };
    const std::uint64_t configuration =
        held.getFetches() ? std::max(held.getConfiguration(), held.getKnownConfiguration()) : held.getConfiguration();
    add(configuration < this->group.machine.configurationVersion, UpdatePart::Configuration);
    add(held.getView() < this->group.machine.view.version, UpdatePart::History);
    add(differs(held.getEndpoints(), this->endpointsVersion), UpdatePart::Endpoints);
    add(differs(held.getInstances(), this->instancesVersion), UpdatePart::Instances);
    add(differs(held.getQuarantine(), this->quarantineVersion), UpdatePart::Quarantine);
    return parts;
}

kj::Promise<void> DeploymentMember::awaitUpdate(
    Wire::InstanceReport::Reader report, Wire::HeldVersions::Reader held, unsigned waitMs)
{
    if (!this->isLeader()) {
        return kj::READY_NOW;
    }
    this->recordStrikes(report);
    for (const auto limit : report.getLimits()) {
        this->recordLimit(readLimit(limit));
    }
    const Duration extraSilence = extraSilenceOf(std::min<Duration>(std::chrono::milliseconds(waitMs), MaxWatchWait));
    if (this->registry.recordReport(this->loop.timers().now(), readInstanceInfo(report), report.getCopiedView(),
            held.getConfiguration(), extraSilence, held.getTerm() == this->leaderTerm ? held.getEndpoints() : 0)) {
        this->publishInstances();
    }
    this->notifyInForce();
    std::uint32_t parts = this->changedParts(held);
    const bool takesInstancesLater = extraSilence.count() > 0;
    if (takesInstancesLater) {
        parts &= ~static_cast<std::uint32_t>(UpdatePart::Instances);
    }
    if (parts != 0 || waitMs == 0) {
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    (takesInstancesLater ? this->slowWatches : this->pendingWatches).push_back(kj::mv(pair.fulfiller));
    return pair.promise.exclusiveJoin(this->loop.kjTimer().afterDelay(waitMs * kj::MILLISECONDS));
}

void DeploymentMember::writeUpdate(
    Wire::InstanceReport::Reader report, Wire::HeldVersions::Reader held, Wire::Update::Builder update)
{
    update.setLeader(wireText(this->node.leaderAddress()));
    if (!this->isLeader()) {
        return;
    }
    std::uint32_t parts = this->changedParts(held);
    if (held.getFetches()) {
        parts &= ~static_cast<std::uint32_t>(UpdatePart::Configuration);
    }
    this->load.recordWatch(hasPart(parts, UpdatePart::Instances), hasPart(parts, UpdatePart::Endpoints));
    const bool isStandby = report.getRole() == Wire::InstanceRole::HISTORY
        && !this->group.machine.view.isMember(textOf(report.getIdentity()));
    const bool waitsLong = isStandby || report.getRole() == Wire::InstanceRole::GATEWAY;
    const Duration wait = waitsLong ? gatewayWatchWait(this->gatewayCount) : MinWatchWait;
    update.setWatchMs(static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(wait).count()));
    update.setTerm(this->leaderTerm);
    update.setHas(parts);
    auto versions = update.initVersions();
    versions.setTerm(this->leaderTerm);
    versions.setConfiguration(this->group.machine.configurationVersion);
    versions.setEndpoints(this->endpointsVersion);
    versions.setInstances(this->instancesVersion);
    versions.setQuarantine(this->quarantineVersion);
    this->writeRecordedStrikes(textOf(report.getName()), update);
    versions.setView(this->group.machine.view.version);
    if (hasPart(parts, UpdatePart::Configuration)) {
        update.setConfiguration(dataOf(this->group.machine.document));
        this->recordConfigurationSent(this->group.machine.document.size());
    }
    if (hasPart(parts, UpdatePart::Endpoints)) {
        auto list = update.initEndpoints(static_cast<unsigned>(this->endpoints.size()));
        for (unsigned i = 0; i < this->endpoints.size(); ++i) {
            const DeployedEndpoint &endpoint = this->endpoints[i];
            list[i].setId(wireText(endpoint.id));
            list[i].setService(wireText(endpoint.service));
            list[i].setAddress(wireText(endpoint.address));
            list[i].setDataCentre(wireText(endpoint.dataCentre));
            list[i].setSlots(endpoint.slots);
            // Gateways of builds before evacuations use a leaving endpoint at most as a last resort.
            list[i].setLeaving(endpoint.leaving || endpoint.evacuated);
            list[i].setVersion(wireText(endpoint.version));
            list[i].setLimitPerSecond(this->endpointLimits.limitOf(endpoint.id));
            list[i].setEvacuated(endpoint.evacuated);
            list[i].setColdPerSecond(endpoint.coldPerSecond);
        }
    }
    if (hasPart(parts, UpdatePart::Instances)) {
        this->writeInstances(held, update);
    }
    if (hasPart(parts, UpdatePart::Quarantine)) {
        this->writeQuarantine(update);
    }
    if (hasPart(parts, UpdatePart::History)) {
        writeView(update.initView(), this->group.machine.view);
    }
}

void DeploymentMember::writeInstances(Wire::HeldVersions::Reader held, Wire::Update::Builder update) const
{
    std::optional<InstanceRegistry::Changes> changes;
    if (held.getTakesChanges() && held.getTerm() == this->leaderTerm && held.getInstances() != 0) {
        changes = this->registry.changesSince(held.getInstances());
    }
    update.setInstancesPartial(changes.has_value());
    const std::vector<InstanceInfo> listed = changes ? std::move(changes->alive) : this->registry.alive();
    auto list = update.initInstances(static_cast<unsigned>(listed.size()));
    for (unsigned i = 0; i < listed.size(); ++i) {
        list[i].setName(wireText(listed[i].name));
        list[i].setRole(listed[i].role);
        list[i].setDataCentre(wireText(listed[i].dataCentre));
        list[i].setCallerAddress(wireText(listed[i].clientAddress));
        list[i].setRpcAddress(wireText(listed[i].rpcAddress));
        list[i].setReady(listed[i].ready);
        list[i].setCutOff(listed[i].isCutOff);
        list[i].setProcessorShare(listed[i].processorShare);
        list[i].setIdentity(wireText(listed[i].identity));
        list[i].setRelaysCredit(listed[i].relaysCredit);
    }
    if (changes) {
        auto gone = update.initInstancesGone(static_cast<unsigned>(changes->gone.size()));
        for (unsigned i = 0; i < changes->gone.size(); ++i) {
            gone.set(i, wireText(changes->gone[i]));
        }
    }
}

void DeploymentMember::recordConfigurationSent(std::size_t bytes)
{
    ++this->configurationsSent.receivers;
    this->load.recordConfiguration();
    this->configurationsSent.bytes += bytes;
    metrics().add(MetricKind::ConfigurationBytesSent, static_cast<std::int64_t>(bytes));
}

kj::Promise<bool> DeploymentMember::confirmLead()
{
    const Instant start = bootClockNow();
    const Instant heldUntil = std::max(this->leaseEnd, this->node.quorumContactAt() + LeaderLease);
    if (!this->isLeader() || start < heldUntil) {
        return this->isLeader();
    }
    if (this->leaseRenewal == nullptr) { // One round to the other members serves all who wait.
        auto renewal = this->group.confirmRead()
                           .then([this, start, term = this->leaderTerm](Result<void> &&confirmed) {
                               this->leaseRenewal = nullptr;
                               this->load.recordRenewal(bootClockNow() - start);
                               const bool isLeading = confirmed && this->isLeader() && term == this->leaderTerm;
                               if (isLeading) {
                                   this->leaseEnd = start + LeaderLease;
                               }
                               return isLeading;
                           })
                           .fork();
        this->loop.detach(renewal.addBranch().ignoreResult()); // It goes on if all who wait give up.
        this->leaseRenewal = kj::mv(renewal);
    }
    KJ_IF_MAYBE (renewal, this->leaseRenewal) {
        return renewal->addBranch();
    }
    return false;
}

void DeploymentMember::recordLimit(const EndpointLimitReport &report)
{
    if (this->endpointLimits.record(this->loop.timers().now(), report)) {
        logEvent(EventKind::EndpointLimitChanged,
            {{"endpoint", report.endpoint}, {"limit", std::to_string(report.perSecond)}, {"cause", "report"}});
        if (this->endpointsVersion != 0) {
            ++this->endpointsVersion;
            this->notifyWatchers();
        }
    }
}

kj::Promise<BoxedGrants> DeploymentMember::relayCredit(const CreditRequests &requests)
{
    return this->creditRelay.request(requests);
}

kj::Promise<BoxedGrants> DeploymentMember::requestCredit(const CreditRequests &requests)
{
    if (!this->isLeader()) {
        this->creditRelay.setRelayCount(std::max<std::size_t>(this->node.members().size(), 2) - 1);
        return this->watcher.requestCreditAt(this->node.leaderAddress(), requests, {}).then([](CreditReply &&reply) {
            return std::make_unique<CreditGrants>(std::move(reply.customers));
        });
    }
    return this->prepareGrant().then([this, requests](bool isLeading) {
        KJ_REQUIRE(isLeading, "the control member is no longer the leader");
        auto granted = std::make_unique<CreditGrants>();
        for (const auto &[customer, request] : requests) {
            (*granted)[customer] = this->grantCredit(customer, request);
        }
        return granted;
    });
}

std::uint32_t DeploymentMember::grantCredit(const std::string &customer, const CreditRequest &request)
{
    this->refreshConfiguration();
    if (!this->isLeader() || this->configuration == nullptr) {
        return 0;
    }
    const auto &customers = this->configuration->customers;
    const auto rule = std::find_if(customers.begin(), customers.end(), [&customer](const CustomerConfig &candidate) {
        return candidate.name == customer;
    });
    return rule == customers.end() ? 0 : this->credits.grant(this->loop.timers().now(), *rule, request);
}

kj::Promise<BoxedResult<void>> DeploymentMember::startRetire(std::string instance)
{
    return this->group.confirmRead().then([this, instance](Result<void> &&confirmed) -> kj::Promise<BoxedResult<void>> {
        if (!confirmed) {
            return boxResult(Result<void>(tl::unexpected(confirmed.error())));
        }
        const DeploymentState &state = this->group.machine;
        const auto candidates =
            this->registry.historyCandidates(this->loop.timers().now(), state.view, state.retiring, this->leaderSince);
        const bool isKnown = std::any_of(candidates.begin(), candidates.end(), [&instance](const auto &candidate) {
            return candidate.member.name == instance;
        });
        if (!isKnown) {
            return boxResult(Result<void>(fail(ErrorKind::NotFound, "there is no history instance named " + instance)));
        }
        if (!state.retiring.contains(instance) && !canRetire(state.view, candidates, instance)) {
            return boxResult(
                Result<void>(fail(ErrorKind::Conflict, "too few instances would remain without " + instance)));
        }
        return this->group.propose(retireCommand(instance)).then([instance](Result<std::string> &&done) {
            logEvent(EventKind::DrainStarted, {{"instance", instance}, {"committed", done ? "yes" : "unknown"}});
            return boxResult(done ? Result<void>() : Result<void>(tl::unexpected(done.error())));
        });
    });
}

kj::Promise<BoxedResult<RetireState>> DeploymentMember::retireState(std::string instance)
{
    return this->group.confirmRead().then([this, instance](Result<void> &&confirmed) {
        if (!confirmed) {
            return boxResult(Result<RetireState>(tl::unexpected(confirmed.error())));
        }
        const DeploymentState &state = this->group.machine;
        if (!state.retiring.contains(instance)) {
            return boxResult(Result<RetireState>(fail(ErrorKind::NotFound, instance + " is not being retired")));
        }
        const auto members = state.view.members();
        const bool isMember = std::any_of(members.begin(), members.end(), [&instance](const HistoryMember &member) {
            return member.name == instance;
        });
        return boxResult(Result<RetireState>(isMember ? RetireState::Running : RetireState::Completed));
    });
}

std::string DeploymentMember::leaderOperatorAddress() const
{
    const std::string address = this->node.leaderAddress();
    for (const InstanceInfo &instance : this->watcher.view.instances) {
        if (instance.rpcAddress == address && address != this->settings.self.rpcAddress) {
            return instance.clientAddress;
        }
    }
    return {};
}

std::vector<InstanceInfo> DeploymentMember::instances() const
{
    return this->isLeader() ? this->registry.alive() : this->watcher.view.instances;
}

Wire::Deployment::Client DeploymentMember::makeService()
{
    return kj::heap<DeploymentServer>(*this);
}

} // namespace Chestnuthook
