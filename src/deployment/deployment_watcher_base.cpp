/** @file deployment_watcher_base.cpp  The watch of a daemon at the leader. */
#include "deployment/deployment_watcher_base.h"

#include <algorithm>
#include <utility>

#include "observe/log_func.h"
#include "rpc/deployment.capnp.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

DeploymentWatcher::DeploymentWatcher(ControlLoop &loop, std::vector<std::string> seeds)
    : loop(loop)
    , seeds(std::move(seeds))
{
}

void DeploymentWatcher::start()
{
    this->answered = this->loop.timers().now();
    this->tryNext();
    this->loop.detach(this->run());
}

void DeploymentWatcher::reportNow()
{
    this->reportWanted = true;
    if (this->interrupt.get() != nullptr) {
        this->interrupt->fulfill();
    }
}

bool DeploymentWatcher::hasLeaderContact() const
{
    return this->view.term != 0 && this->loop.timers().now() - this->answered < OutOfTouchAfter;
}

std::vector<InstanceInfo> DeploymentWatcher::currentInstances() const
{
    return this->hasLeaderContact() ? this->view.instances : std::vector<InstanceInfo>();
}

RpcLink &DeploymentWatcher::linkTo(const std::string &address)
{
    auto &link = this->links[address];
    if (link == nullptr) {
        link = std::make_unique<RpcLink>(this->loop.rpc(), address);
    }
    return *link;
}

void DeploymentWatcher::tryNext()
{
    std::vector<std::string> known;
    for (const InstanceInfo &instance : this->view.instances) {
        if (instance.role == Wire::InstanceRole::CONTROL) {
            known.push_back(instance.rpcAddress);
        }
    }
    for (const std::string &seed : this->seeds) {
        if (std::find(known.begin(), known.end(), seed) == known.end()) {
            known.push_back(seed);
        }
    }
    if (!known.empty()) {
        this->target = known[this->rotation++ % known.size()];
    }
}

kj::Promise<void> DeploymentWatcher::run()
{
    if (this->isPaused && this->isPaused()) {
        this->answered = this->loop.timers().now();
        return this->loop.kjTimer().afterDelay(RetryDelay).then([this]() {
            return this->run();
        });
    }
    return this->watchOnce()
        .catch_([this](kj::Exception && /*exception*/) {
            this->unansweredSince = Instant(0);
            this->linkTo(this->target).reset();
            if (this->view.leader == this->target) {
                logEvent(EventKind::PeerLost, {{"peer", this->target}, {"role", "control leader"}});
                this->view.leader.clear();
            }
            this->probes = std::min(this->probes + 1, MostProbeSteps);
            this->tryNext();
            return this->loop.kjTimer().afterDelay(RetryDelay);
        })
        .then([this]() {
            return this->run();
        });
}

kj::Promise<void> DeploymentWatcher::watchOnce()
{
    auto called = this->linkTo(this->target).services().then([this](OfferedServices &&services) {
        auto request = services.deployment.castAs<Wire::Deployment>().watchRequest();
        const InstanceInfo facts = this->describeSelf();
        auto report = request.initReport();
        report.setName(wireText(facts.name));
        report.setRole(facts.role);
        report.setDataCentre(wireText(facts.dataCentre));
        report.setCallerAddress(wireText(facts.clientAddress));
        report.setRpcAddress(wireText(facts.rpcAddress));
        report.setIdentity(wireText(facts.identity));
        report.setReady(facts.ready);
        report.setCopiedView(this->copiedView ? this->copiedView() : 0);
        const auto strikes = this->takeStrikes ? this->takeStrikes() : std::vector<EndpointStrike>();
        auto list = report.initStrikes(static_cast<unsigned>(strikes.size()));
        for (unsigned i = 0; i < strikes.size(); ++i) {
            list[i].setFingerprint(strikes[i].fingerprint);
            list[i].setEndpoint(wireText(strikes[i].endpoint));
        }
        auto held = request.initHeld();
        held.setTerm(this->view.term);
        held.setConfiguration(this->view.configurationVersion);
        held.setEndpoints(this->endpointsVersion);
        held.setInstances(this->instancesVersion);
        held.setQuarantine(this->quarantineVersion);
        held.setView(this->view.history.version);
        const bool waits = this->target == this->view.leader && !this->reportWanted;
        this->reportWanted = false;
        request.setWaitMs(waits ? WatchWaitMs : 0);
        return request.send();
    });
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->interrupt = kj::mv(pair.fulfiller);
    const Instant now = this->loop.timers().now();
    if (this->unansweredSince.us == 0) {
        this->unansweredSince = now;
    }
    const bool isProbe = this->target != this->view.leader;
    const Duration limit =
        isProbe ? std::min(ProbeTimeout + this->probes * ProbeTimeoutStep, WatchTimeout) : WatchTimeout;
    // A report that interrupts the watch doesn't give a silent leader more time.
    const Duration left = std::max(this->unansweredSince + limit - now, Duration(0));
    auto answered = this->loop.kjTimer()
                        .timeoutAfter(kjDuration(left), kj::mv(called))
                        .then([this](auto &&response) -> kj::Promise<void> {
                            this->unansweredSince = Instant(0);
                            const auto update = response.getUpdate();
                            if (update.getTerm() != 0 && update.getTerm() >= this->view.term) {
                                this->take(update);
                                return kj::READY_NOW;
                            }
                            const std::string leader = textOf(update.getLeader());
                            if (!leader.empty() && leader != this->target) {
                                this->target = leader;
                            } else {
                                this->tryNext();
                            }
                            return this->loop.kjTimer().afterDelay(RetryDelay);
                        });
    return answered.exclusiveJoin(kj::mv(pair.promise));
}

void DeploymentWatcher::take(Wire::Update::Reader update)
{
    if (this->view.leader != this->target) {
        logEvent(EventKind::PeerConnected,
            {{"peer", this->target}, {"role", "control leader"}, {"term", std::to_string(update.getTerm())}});
    }
    this->probes = 0;
    this->view.term = update.getTerm();
    this->view.leader = this->target;
    this->answered = this->loop.timers().now();
    const auto versions = update.getVersions();
    const std::uint32_t parts = update.getHas();
    this->endpointsVersion = versions.getEndpoints();
    this->instancesVersion = versions.getInstances();
    this->quarantineVersion = versions.getQuarantine();
    if (hasPart(parts, UpdatePart::Configuration) && versions.getConfiguration() > this->view.configurationVersion) {
        this->view.configurationVersion = versions.getConfiguration();
        this->view.document = bytesOf(update.getConfiguration());
    }
    if (hasPart(parts, UpdatePart::Endpoints)) {
        this->view.endpoints.clear();
        for (const auto entry : update.getEndpoints()) {
            this->view.endpoints.push_back({textOf(entry.getId()), textOf(entry.getService()),
                textOf(entry.getAddress()), textOf(entry.getDataCentre()), entry.getSlots(), entry.getLeaving()});
        }
    }
    if (hasPart(parts, UpdatePart::Instances)) {
        this->view.instances.clear();
        for (const auto entry : update.getInstances()) {
            this->view.instances.push_back({textOf(entry.getName()), entry.getRole(), textOf(entry.getDataCentre()),
                textOf(entry.getCallerAddress()), textOf(entry.getRpcAddress()), textOf(entry.getIdentity()),
                entry.getReady()});
        }
    }
    if (hasPart(parts, UpdatePart::Quarantine)) {
        this->view.quarantine.clear();
        for (const std::uint64_t fingerprint : update.getQuarantine()) {
            this->view.quarantine.insert(fingerprint);
        }
    }
    if (hasPart(parts, UpdatePart::History) && update.getView().getVersion() > this->view.history.version) {
        this->view.history = readView(update.getView());
    }
    if (this->onUpdate) {
        this->onUpdate(parts);
    }
}

kj::Promise<std::map<std::string, std::uint32_t>> DeploymentWatcher::requestCredit(
    const std::map<std::string, CreditRequest> &wanted)
{
    KJ_REQUIRE(!this->view.leader.empty(), "no leader is known");
    auto called = this->linkTo(this->view.leader).services().then([this, wanted](OfferedServices &&services) {
        auto request = services.deployment.castAs<Wire::Deployment>().creditRequest();
        request.setInstance(wireText(this->describeSelf().name));
        auto list = request.initWanted(static_cast<unsigned>(wanted.size()));
        unsigned at = 0;
        for (const auto &[customer, wish] : wanted) {
            list[at].setCustomer(wireText(customer));
            list[at].setRequests(wish.requests);
            list[at].setAhead(wish.ahead);
            list[at++].setLate(wish.late);
        }
        return request.send();
    });
    return this->loop.kjTimer().timeoutAfter(CreditTimeout, kj::mv(called)).then([](auto &&response) {
        KJ_REQUIRE(response.getLeading(), "the member asked no longer leads");
        std::map<std::string, std::uint32_t> granted;
        for (const auto entry : response.getGranted()) {
            granted[textOf(entry.getCustomer())] = entry.getRequests();
        }
        return granted;
    });
}

} // namespace Chestnuthook
