/** @file deployment_watcher_base.cpp  Watch loop of a daemon, and its search for the leader. */
#include "deployment/deployment_watcher_base.h"

#include <algorithm>
#include <utility>

#include "core/boot_clock_func.h"
#include "observe/log_func.h"
#include "rpc/deployment.capnp.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

void writeLimit(Wire::EndpointLimit::Builder builder, const EndpointLimitReport &report)
{
    builder.setEndpoint(wireText(report.endpoint));
    builder.setPerSecond(report.perSecond);
    builder.setAgeMs(static_cast<std::uint32_t>(report.age.count() / 1000));
}

void writeFingerprints(capnp::List<std::uint64_t>::Builder list, const std::vector<std::uint64_t> &fingerprints)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, fingerprints[i]);
    }
}

std::set<std::uint64_t> readFingerprints(capnp::List<std::uint64_t>::Reader list)
{
    return {list.begin(), list.end()};
}

void writeCredit(capnp::List<Wire::CustomerCredit>::Builder list, const CreditRequests &requests)
{
    unsigned position = 0;
    for (const auto &[customer, requested] : requests) {
        list[position].setCustomer(wireText(customer));
        list[position].setRequests(requested.requests);
        list[position].setAhead(requested.ahead);
        list[position].setReturned(requested.returned);
        list[position++].setLate(requested.late);
    }
}

} // namespace

DeploymentWatcher::DeploymentWatcher(ControlLoop &loop, std::vector<std::string> seeds)
    : links(loop)
    , loop(loop)
    , seeds(std::move(seeds))
{
}

void DeploymentWatcher::start()
{
    this->lastAnswer = this->loop.timers().now();
    this->selectNextTarget();
    this->loop.detach(this->watchLoop());
}

void DeploymentWatcher::reportNow()
{
    this->isReportPending = true;
    if (this->interrupt.get() != nullptr) {
        this->interrupt->fulfill();
    }
}

void DeploymentWatcher::verifyLeader()
{
    const Instant now = this->loop.timers().now();
    if (this->answerDue - now > WatchTimeout && now - this->verifiedAt >= VerificationInterval) {
        this->verifiedAt = now;
        this->reportNow();
    }
}

bool DeploymentWatcher::hasLeaderContact() const
{
    return this->view.term != 0 && this->loop.timers().now() - this->lastAnswer < this->leaderContactTimeout();
}

std::vector<InstanceInfo> DeploymentWatcher::currentInstances() const
{
    return this->hasLeaderContact() ? this->view.instances : std::vector<InstanceInfo>();
}

std::vector<std::string> DeploymentWatcher::controlAddresses() const
{
    const std::string own = this->describeSelf().rpcAddress;
    std::vector<std::string> addresses;
    for (const InstanceInfo &instance : this->view.instances) {
        if (instance.role == Wire::InstanceRole::CONTROL && instance.rpcAddress != own) {
            addresses.push_back(instance.rpcAddress);
        }
    }
    return addresses;
}

void DeploymentWatcher::selectNextTarget()
{
    std::vector<std::string> candidates;
    for (const InstanceInfo &instance : this->view.instances) {
        if (instance.role == Wire::InstanceRole::CONTROL) {
            candidates.push_back(instance.rpcAddress);
        }
    }
    for (const std::string &seed : this->seeds) {
        if (std::find(candidates.begin(), candidates.end(), seed) == candidates.end()) {
            candidates.push_back(seed);
        }
    }
    if (!candidates.empty()) {
        this->target = candidates[this->nextCandidate++ % candidates.size()];
    }
}

void DeploymentWatcher::handleFailure(const kj::Exception &exception)
{
    const Instant now = this->loop.timers().now();
    const bool isDropped =
        this->links.recordFailure(this->target, exception, SilenceTimeout + (this->watchWait - MinWatchWait));
    const bool wasLeader = this->view.leader == this->target;
    if (wasLeader || now - this->failureLoggedAt >= FailureLogInterval) {
        this->failureLoggedAt = wasLeader ? this->failureLoggedAt : now;
        logEvent(EventKind::PeerLost,
            {{"peer", this->target}, {"role", wasLeader ? "control leader" : "control member"},
                {"cause", exception.getDescription().cStr()}, {"connection", isDropped ? "dropped" : "kept"}});
    }
    this->answerDue = Instant(0);
    if (wasLeader) {
        this->view.leader.clear();
    }
    this->failedProbes = std::min(this->failedProbes + 1, MaxProbeSteps);
    this->selectNextTarget();
}

kj::Promise<void> DeploymentWatcher::watchLoop()
{
    if (this->isPaused && this->isPaused()) {
        this->lastAnswer = this->loop.timers().now();
        return this->loop.kjTimer().afterDelay(RetryDelay).then([this]() {
            return this->watchLoop();
        });
    }
    return this->watchOnce()
        .catch_([this](kj::Exception &&exception) {
            this->handleFailure(exception);
            return this->loop.kjTimer().afterDelay(RetryDelay);
        })
        .then([this]() {
            return this->watchLoop();
        });
}

kj::Promise<void> DeploymentWatcher::watchOnce()
{
    const bool waits = this->target == this->view.leader && !this->isReportPending;
    this->isReportPending = false;
    auto called = this->links.services(this->target).then([this, waits](OfferedServices &&services) {
        auto request = services.deployment.castAs<Wire::Deployment>().watchRequest();
        const InstanceInfo info = this->describeSelf();
        auto report = request.initReport();
        report.setName(wireText(info.name));
        report.setRole(info.role);
        report.setDataCentre(wireText(info.dataCentre));
        report.setCallerAddress(wireText(info.clientAddress));
        report.setRpcAddress(wireText(info.rpcAddress));
        report.setIdentity(wireText(info.identity));
        report.setReady(info.ready);
        report.setCutOff(info.isCutOff);
        report.setProcessorShare(info.processorShare);
        report.setRelaysCredit(info.relaysCredit);
        report.setCopiedView(this->copiedView ? this->copiedView() : 0);
        this->writeStrikes(report);
        const auto limits = this->takeLimits ? this->takeLimits() : std::vector<EndpointLimitReport>();
        auto limitList = report.initLimits(static_cast<unsigned>(limits.size()));
        for (unsigned i = 0; i < limits.size(); ++i) {
            writeLimit(limitList[i], limits[i]);
        }
        auto held = request.initHeld();
        held.setTerm(this->view.term);
        held.setConfiguration(
            this->configurationInForce ? this->configurationInForce() : this->view.configurationVersion);
        held.setFetches(true);
        held.setKnownConfiguration(this->view.newestConfiguration);
        held.setEndpoints(this->endpointsVersion);
        held.setInstances(this->instancesVersion);
        held.setQuarantine(this->quarantineVersion);
        held.setView(this->view.history.version);
        held.setTakesChanges(true);
        const auto wait = std::chrono::duration_cast<Milliseconds>(this->watchWait);
        request.setWaitMs(waits ? static_cast<std::uint32_t>(wait.count()) : 0);
        auto sent = request.send();
        this->lastWatch = nullptr;
        return sent;
    });
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->interrupt = kj::mv(pair.fulfiller);
    const Instant now = this->loop.timers().now();
    const bool isProbe = this->target != this->view.leader;
    const Duration limit = isProbe ? std::min(ProbeTimeout + this->failedProbes * ProbeTimeoutStep, WatchTimeout)
        : waits                    ? this->watchWait + AnswerTimeout
                                   : WatchTimeout;
    // Interrupting a watch to report must not extend the time limit of a silent leader.
    const bool isFirst = this->answerDue.us == 0;
    this->answerDue = isFirst ? now + limit : std::min(this->answerDue, now + limit);
    const Duration left = std::max(this->answerDue - now, Duration(0));
    auto answered = this->loop.kjTimer()
                        .timeoutAfter(kjDuration(left), kj::mv(called))
                        .then([this, askedAt = bootClockNow()](auto &&response) -> kj::Promise<void> {
                            this->answerDue = Instant(0);
                            this->links.recordAnswer(this->target);
                            const auto update = response.getUpdate();
                            if (update.getTerm() != 0 && update.getTerm() >= this->view.term) {
                                this->applyUpdate(update);
                                if (this->onNewestTold) {
                                    this->onNewestTold(askedAt, update.getVersions().getConfiguration());
                                }
                                this->lastWatch = kj::mv(response);
                                return kj::READY_NOW;
                            }
                            const std::string leader = textOf(update.getLeader());
                            if (!leader.empty() && leader != this->target) {
                                this->target = leader;
                            } else {
                                this->selectNextTarget();
                            }
                            return this->loop.kjTimer().afterDelay(RetryDelay);
                        });
    return answered.exclusiveJoin(kj::mv(pair.promise));
}

void DeploymentWatcher::writeStrikes(Wire::InstanceReport::Builder report)
{
    if (this->strikeReportId == 0 && this->takeStrikes) {
        this->unrecordedStrikes = this->takeStrikes();
        this->strikeReportId = this->unrecordedStrikes.isEmpty() ? 0 : std::max<std::uint64_t>(this->random(), 1);
    }
    const auto &[strikes, acquitted, refused] = this->unrecordedStrikes;
    const Instant now = this->loop.timers().now();
    report.setStrikeReport(this->strikeReportId);
    auto list = report.initStrikes(static_cast<unsigned>(strikes.size()));
    for (unsigned i = 0; i < strikes.size(); ++i) {
        list[i].setFingerprint(strikes[i].fingerprint);
        list[i].setEndpoint(wireText(strikes[i].endpoint));
        list[i].setBroad(strikes[i].isBroad);
        list[i].setUnderWayMs(static_cast<std::uint32_t>(strikes[i].underWay.count() / 1000));
        list[i].setAgeMs(static_cast<std::uint32_t>((now - strikes[i].at).count() / 1000));
    }
    writeFingerprints(report.initAcquitted(static_cast<unsigned>(acquitted.size())), acquitted);
    writeFingerprints(report.initRefused(static_cast<unsigned>(refused.size())), refused);
}

void DeploymentWatcher::applyUpdate(Wire::Update::Reader update)
{
    if (!update.getRecordsStrikes() || update.getRecordedStrikes() == this->strikeReportId) {
        this->unrecordedStrikes = StrikeReport();
        this->strikeReportId = 0;
    }
    if (this->view.leader != this->target) {
        logEvent(EventKind::PeerConnected,
            {{"peer", this->target}, {"role", "control leader"}, {"term", std::to_string(update.getTerm())}});
    }
    this->failedProbes = 0;
    this->lastAnswer = this->loop.timers().now();
    if (this->view.term != update.getTerm()) {
        this->view.term = update.getTerm();
        this->termSeenAt = this->lastAnswer;
    }
    this->view.leader = this->target;
    const Duration told =
        std::clamp<Duration>(std::chrono::milliseconds(update.getWatchMs()), MinWatchWait, MaxWatchWait);
    this->watchWait = std::max(told, this->watchWait - WatchWaitStep);
    const auto versions = update.getVersions();
    const std::uint32_t parts = update.getHas();
    this->endpointsVersion = versions.getEndpoints();
    this->instancesVersion = versions.getInstances();
    this->quarantineVersion = versions.getQuarantine();
    const bool isNewer = versions.getConfiguration() > this->view.newestConfiguration;
    this->view.newestConfiguration = std::max(this->view.newestConfiguration, versions.getConfiguration());
    if (hasPart(parts, UpdatePart::Configuration)) { // From a leader that doesn't know `fetches`.
        if (versions.getConfiguration() > this->view.configurationVersion) {
            this->view.configurationVersion = versions.getConfiguration();
            this->view.document = bytesOf(update.getConfiguration());
        }
    }
    if (hasPart(parts, UpdatePart::Endpoints)) {
        this->view.endpoints.clear();
        for (const auto entry : update.getEndpoints()) {
            this->view.endpoints.push_back({textOf(entry.getId()), textOf(entry.getService()),
                textOf(entry.getAddress()), textOf(entry.getDataCentre()), entry.getSlots(), entry.getLeaving(),
                textOf(entry.getVersion()), entry.getLimitPerSecond(), entry.getEvacuated()});
            this->view.endpoints.back().coldPerSecond = entry.getColdPerSecond();
        }
    }
    if (hasPart(parts, UpdatePart::Instances)) {
        this->applyInstances(update);
    }
    if (hasPart(parts, UpdatePart::Quarantine)) {
        this->view.quarantine = readFingerprints(update.getQuarantine());
        this->view.suspects = readFingerprints(update.getSuspects());
    }
    if (hasPart(parts, UpdatePart::History) && update.getView().getVersion() > this->view.history.version) {
        this->view.history = readView(update.getView());
    }
    if (isNewer && !hasPart(parts, UpdatePart::Configuration) && this->onNewConfiguration) {
        logEvent(EventKind::ConfigurationAnnounced,
            {{"version", std::to_string(this->view.newestConfiguration)}, {"leader", this->view.leader},
                {"term", std::to_string(this->view.term)}});
        this->onNewConfiguration(this->view.newestConfiguration);
    }
    if (this->onUpdate) {
        this->onUpdate(parts);
    }
    this->links.connectAhead(this->controlAddresses());
}

void DeploymentWatcher::applyInstances(Wire::Update::Reader update)
{
    std::map<std::string, InstanceInfo> instances;
    if (update.getInstancesPartial()) {
        for (InstanceInfo &instance : this->view.instances) {
            instances.emplace(instance.name, std::move(instance));
        }
    }
    for (const auto name : update.getInstancesGone()) {
        instances.erase(textOf(name));
    }
    for (const auto entry : update.getInstances()) {
        instances.insert_or_assign(textOf(entry.getName()),
            InstanceInfo{textOf(entry.getName()), entry.getRole(), textOf(entry.getDataCentre()),
                textOf(entry.getCallerAddress()), textOf(entry.getRpcAddress()), textOf(entry.getIdentity()),
                entry.getReady(), entry.getCutOff(), entry.getProcessorShare(), entry.getRelaysCredit()});
    }
    this->view.instances.clear();
    for (auto &[name, instance] : instances) {
        this->view.instances.push_back(std::move(instance));
    }
}

void DeploymentWatcher::setConfiguration(std::uint64_t version, std::string document)
{
    if (version < this->view.configurationVersion) {
        return;
    }
    this->view.configurationVersion = version;
    this->view.document = std::move(document);
    if (this->onUpdate) {
        this->onUpdate(static_cast<std::uint32_t>(UpdatePart::Configuration));
    }
}

kj::Promise<std::set<std::string>> DeploymentWatcher::requestServiceVersions(const std::string &service)
{
    KJ_REQUIRE(!this->view.leader.empty(), "no leader of the control members is known");
    return this->links.services(this->view.leader)
        .then([service](OfferedServices &&services) {
            auto request = services.deployment.castAs<Wire::Deployment>().serviceVersionsRequest();
            request.setService(wireText(service));
            return request.send();
        })
        .then([](auto &&response) {
            KJ_REQUIRE(response.getKnown(), "the control member doesn't know all versions");
            std::set<std::string> versions;
            for (const auto version : response.getVersions()) {
                versions.insert(textOf(version));
            }
            return versions;
        });
}

kj::Promise<CreditReply> DeploymentWatcher::requestCredit(
    const CreditRequests &customers, const std::vector<EndpointCreditRequest> &endpoints)
{
    const std::string relay = endpoints.empty() ? this->findCreditRelay() : std::string();
    return relay.empty() ? this->requestCreditAt(this->view.leader, customers, endpoints)
                         : this->requestRelayedCredit(relay, customers);
}

kj::Promise<CreditReply> DeploymentWatcher::requestCreditAt(
    const std::string &leader, const CreditRequests &customers, const std::vector<EndpointCreditRequest> &endpoints)
{
    KJ_REQUIRE(!leader.empty(), "no leader of the control members is known");
    auto called = this->links.services(leader).then([this, customers, endpoints](OfferedServices &&services) {
        auto request = services.deployment.castAs<Wire::Deployment>().creditRequest();
        request.setInstance(wireText(this->describeSelf().name));
        writeCredit(request.initWanted(static_cast<unsigned>(customers.size())), customers);
        auto endpointList = request.initEndpoints(static_cast<unsigned>(endpoints.size()));
        for (unsigned i = 0; i < endpoints.size(); ++i) {
            writeLimit(endpointList[i].initLimit(), endpoints[i].limit);
            endpointList[i].setRequests(endpoints[i].wanted.requests);
            endpointList[i].setAhead(endpoints[i].wanted.ahead);
            endpointList[i].setReturned(endpoints[i].wanted.returned);
            endpointList[i].setColdPerSecond(endpoints[i].coldPerSecond);
        }
        auto sent = request.send();
        this->lastCredit = nullptr;
        return sent;
    });
    return this->loop.kjTimer().timeoutAfter(kjDuration(CreditTimeout), kj::mv(called)).then([this](auto &&response) {
        KJ_REQUIRE(response.getLeading(), "the control member is no longer the leader");
        CreditReply reply;
        for (const auto entry : response.getGranted()) {
            reply.customers[textOf(entry.getCustomer())] = entry.getRequests();
        }
        for (const auto entry : response.getEndpoints()) {
            reply.endpoints[textOf(entry.getLimit().getEndpoint())] = entry.getRequests();
        }
        reply.limitsEndpoints = response.getLimitsEndpoints();
        this->lastCredit = kj::mv(response);
        return reply;
    });
}

kj::Promise<CreditReply> DeploymentWatcher::requestRelayedCredit(
    const std::string &relay, const CreditRequests &customers)
{
    auto called = this->links.services(relay).then([this, customers](OfferedServices &&services) {
        auto request = services.deployment.castAs<Wire::Deployment>().relayCreditRequest();
        writeCredit(request.initWanted(static_cast<unsigned>(customers.size())), customers);
        auto sent = request.send();
        this->lastRelayedCredit = nullptr;
        return sent;
    });
    return this->loop.kjTimer()
        .timeoutAfter(kjDuration(CreditTimeout), kj::mv(called))
        .then(
            [this](auto &&response) {
                CreditReply reply;
                for (const auto entry : response.getGranted()) {
                    reply.customers[textOf(entry.getCustomer())] = entry.getRequests();
                }
                this->creditRelays.recordAnswer();
                this->lastRelayedCredit = kj::mv(response);
                return reply;
            },
            [this, relay](kj::Exception &&exception) -> CreditReply {
                this->creditRelays.recordFailure(this->loop.timers().now());
                this->links.recordFailure(relay, exception, SilenceTimeout);
                kj::throwFatalException(kj::mv(exception));
            });
}

std::string DeploymentWatcher::findCreditRelay() const
{
    if (this->watchWait <= MinWatchWait || !this->describeSelf) {
        return {}; // The leader of a small fleet answers each gateway itself, one hop less away.
    }
    const InstanceInfo self = this->describeSelf();
    return this->creditRelays.choose(
        this->loop.timers().now(), {self.name, self.dataCentre}, this->view.instances, this->view.leader);
}

} // namespace Chestnuthook
