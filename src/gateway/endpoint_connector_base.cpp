/** @file endpoint_connector_base.cpp  Opens connections to endpoints and probes links. */
#include "gateway/endpoint_connector_base.h"

#include <algorithm>
#include <utility>

#include "gateway/relayed_stream_base.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

/** A direct connection gets this long before another gateway is asked for one as well. */
constexpr auto DirectHeadStart = 40 * kj::MILLISECONDS;
/** Another gateway that doesn't answer within this time is given up. It includes connecting to it. */
constexpr Duration RelayAnswerTimeout = std::chrono::milliseconds(150);
/** Number of other gateways that are asked for one connection. */
constexpr std::size_t MaxPeersAsked = 3;
constexpr Duration ProbeTickInterval = std::chrono::milliseconds(100);
/** A probe that isn't answered within this time has failed. */
constexpr Duration ProbeTimeout = std::chrono::milliseconds(150);
/** Other endpoints that are tried before a gateway takes its own network for the cause of a failure. */
constexpr std::size_t MaxOthersTried = 2;
constexpr std::size_t ProbeStackBytes = 128U << 10U; ///< Stack size of a fiber that only opens a connection.

std::string relayedKey(const std::string &address)
{
    return address + " relayed";
}

} // namespace

/** An attempt to connect directly, which may go on after a relayed connection was obtained. */
struct EndpointConnector::DirectAttempt
{
    DirectAttempt()
        : DirectAttempt(kj::newPromiseAndFulfiller<void>(), kj::newPromiseAndFulfiller<void>())
    {
    }

    [[nodiscard]] bool isConnected() const
    {
        return this->isDone && this->result.connection != nullptr;
    }

    ConnectResult result; ///< Valid once `isDone`.
    bool isDone = false; ///< The attempt has ended.
    bool isAbandoned = false; ///< Nothing waits for the result.
    bool isRelayed = false; ///< Another gateway has reached the endpoint meanwhile.
    kj::Own<kj::PromiseFulfiller<void>> doneFulfiller; ///< Resolves `done`.
    kj::Own<kj::PromiseFulfiller<void>> connectedFulfiller; ///< Resolves `connected`.
    kj::ForkedPromise<void> done; ///< Resolves when the attempt has ended.
    kj::ForkedPromise<void> connected; ///< Resolves when it has succeeded; never if it fails.

private:
    DirectAttempt(kj::PromiseFulfillerPair<void> ended, kj::PromiseFulfillerPair<void> succeeded)
        : doneFulfiller(kj::mv(ended.fulfiller))
        , connectedFulfiller(kj::mv(succeeded.fulfiller))
        , done(ended.promise.fork())
        , connected(succeeded.promise.fork())
    {
    }
};

EndpointConnector::EndpointConnector(ControlLoop &loop, const ConnectorSettings &settings)
    : relay(loop, this->pool,
        [this](const std::string &id) {
            const auto found = std::ranges::find_if(this->endpoints, [&id](const auto &entry) {
                return entry.second.id == id;
            });
            const bool isReachable =
                found != this->endpoints.end() && this->links.plan(found->first) != ConnectPlan::Relayed;
            return isReachable ? found->first : std::string();
        })
    , loop(loop)
    , pool(loop, settings.source)
    , peers(settings.name, settings.dataCentre)
{
    this->probeTimer = this->loop.timers().every(ProbeTickInterval, [this]() {
        this->probeLinks();
    });
}

void EndpointConnector::setEndpoints(const std::vector<DeployedEndpoint> &list)
{
    this->endpoints.clear();
    for (const DeployedEndpoint &endpoint : list) {
        this->endpoints[endpoint.address] = endpoint;
    }
    this->links.setEndpoints(list);
    metrics().set(MetricKind::LinksDown, static_cast<std::int64_t>(this->links.downCount()));
}

void EndpointConnector::setInstances(const std::vector<InstanceInfo> &instances)
{
    this->peers.setInstances(instances);
    // A gateway that stops waits for the connections that it relays.
    this->pool.closeIdleIf([this](const EndpointConnection &connection) {
        return !connection.relay.empty() && !this->peers.isUsable(connection.relay);
    });
    std::erase_if(this->peerLinks, [&instances](const auto &entry) {
        return std::ranges::none_of(instances, [&entry](const InstanceInfo &instance) {
            return instance.rpcAddress == entry.first;
        });
    });
}

OpenedConnection EndpointConnector::connect(kj::WaitScope &scope, const DeployedEndpoint &endpoint, Duration timeout)
{
    if (!this->links.mayReuse(endpoint.address)) {
        this->pool.closeIdle(endpoint.address);
    }
    auto kept = this->pool.takeIdle(endpoint.address);
    if (kept == nullptr && this->links.plan(endpoint.address) == ConnectPlan::Relayed) {
        kept = this->pool.takeIdle(relayedKey(endpoint.address));
    }
    if (kept != nullptr) {
        return {std::move(kept), ConnectFailure::None, true};
    }
    ConnectResult opened = this->open(scope, endpoint, timeout);
    return {std::move(opened.connection), opened.failure, false};
}

ConnectResult EndpointConnector::open(kj::WaitScope &scope, const DeployedEndpoint &endpoint, Duration timeout)
{
    const std::string &address = endpoint.address;
    const ConnectPlan plan = this->links.plan(address);
    std::shared_ptr<DirectAttempt> direct;
    if (plan != ConnectPlan::Relayed) {
        direct = this->startDirect(endpoint, timeout);
    }
    KJ_DEFER(if (direct != nullptr) { direct->isAbandoned = true; });
    if (plan == ConnectPlan::Direct) {
        direct->done.addBranch().exclusiveJoin(this->loop.kjTimer().afterDelay(DirectHeadStart)).wait(scope);
    }
    if (direct != nullptr && direct->isConnected()) {
        return std::move(direct->result);
    }
    if (this->links.mayRelay(this->now(), address)) {
        auto relayed = this->openRelayed(scope, endpoint, direct.get(), timeout);
        if (relayed != nullptr) {
            if (direct != nullptr) {
                direct->isRelayed = true;
                if (direct->isDone) {
                    this->recordDown(address, direct->result.failure);
                }
            }
            return {std::move(relayed), ConnectFailure::None};
        }
    }
    if (direct == nullptr) {
        return {nullptr, ConnectFailure::TimedOut};
    }
    if (!direct->isDone) {
        direct->done.addBranch().wait(scope);
    }
    return std::move(direct->result);
}

bool EndpointConnector::isDown(kj::WaitScope &scope, const DeployedEndpoint &endpoint)
{
    const std::vector<std::string> others = this->links.latestConfirmed(endpoint.address, MaxOthersTried);
    for (const std::string &address : others) {
        const auto other = this->endpoints.find(address);
        if (other == this->endpoints.end()) {
            continue;
        }
        const DeployedEndpoint reference = other->second;
        ConnectResult opened = this->open(scope, reference, ProbeTimeout);
        if (opened.connection != nullptr) {
            this->keep(reference, std::move(opened.connection), ConnectionPool::idleTimeoutFrom(HttpFields()));
            return true;
        }
    }
    return others.empty();
}

std::shared_ptr<EndpointConnector::DirectAttempt> EndpointConnector::startDirect(
    const DeployedEndpoint &endpoint, Duration timeout)
{
    auto direct = std::make_shared<DirectAttempt>();
    auto late = this->loop.kjTimer().afterDelay(kjDuration(std::max(timeout, Duration(0)))).then([]() {
        return ConnectResult{nullptr, ConnectFailure::TimedOut};
    });
    auto opened = this->pool.open(endpoint.address).exclusiveJoin(kj::mv(late));
    this->loop.detach(opened.then([this, direct, endpoint](ConnectResult &&result) {
        direct->result = std::move(result);
        direct->isDone = true;
        if (direct->result.connection != nullptr) {
            this->recordConnected(endpoint.address);
            direct->connectedFulfiller->fulfill();
            if (direct->isAbandoned) {
                this->keep(
                    endpoint, std::move(direct->result.connection), ConnectionPool::idleTimeoutFrom(HttpFields()));
            }
        } else if (direct->isRelayed) {
            this->recordDown(endpoint.address, direct->result.failure);
        }
        direct->doneFulfiller->fulfill();
    }));
    return direct;
}

std::unique_ptr<EndpointConnection> EndpointConnector::openRelayed(
    kj::WaitScope &scope, const DeployedEndpoint &endpoint, DirectAttempt *direct, Duration timeout)
{
    const Instant until = this->now() + timeout;
    std::set<std::string> asked;
    bool hasGivenUp = false;
    while (!hasGivenUp && asked.size() < MaxPeersAsked && this->now() < until) {
        const InstanceInfo *chosen = this->peers.choose(this->now(), asked);
        if (chosen == nullptr) {
            break;
        }
        const InstanceInfo peer = *chosen;
        asked.insert(peer.name);
        auto answered = this->askPeer(peer, endpoint.id);
        if (direct != nullptr) {
            answered = answered.exclusiveJoin(direct->connected.addBranch().then([]() {
                return RelayAnswer{};
            }));
        }
        RelayAnswer answer = answered.wait(scope);
        if (direct != nullptr && direct->isConnected()) {
            return nullptr; // The answer, if there is one, isn't needed any more.
        }
        switch (answer.outcome) {
        case RelayOutcome::Connected:
            this->peers.recordSuccess(peer.name);
            return std::move(answer.connection);
        case RelayOutcome::Unreachable:
            this->peers.recordUnreachable(this->now(), peer.name);
            hasGivenUp = direct == nullptr || direct->isDone; // Two gateways that don't reach the endpoint are enough.
            break;
        case RelayOutcome::Busy:
            this->peers.recordRefusal(this->now(), peer.name);
            break;
        case RelayOutcome::NoAnswer:
            this->peers.recordFailure(this->now(), peer.name);
            break;
        }
    }
    this->links.recordUnreachable(this->now(), endpoint.address);
    return nullptr;
}

kj::Promise<EndpointConnector::RelayAnswer> EndpointConnector::askPeer(
    const InstanceInfo &peer, const std::string &endpointId)
{
    auto received = kj::refcounted<RelayBuffer>();
    auto sink = makeSink(kj::addRef(*received));
    const std::shared_ptr<RpcLink> link = this->linkTo(peer.rpcAddress);
    auto answered = link->connection().then([this, name = peer.name, endpointId, received = kj::mv(received),
                                                sink = kj::mv(sink)](RpcLink::ConnectionPtr &&used) mutable {
        auto request = RpcLink::servicesOf(used).peer.castAs<Wire::EndpointRelay>().connectRequest();
        request.setEndpoint(wireText(endpointId));
        request.setToCaller(kj::mv(sink));
        return request.send().then([this, name, used, received = kj::mv(received)](auto &&response) mutable {
            auto stream = kj::heap<RelayedStream>(kj::mv(received), response.getToEndpoint());
            RelayAnswer answer{RelayOutcome::Connected, nullptr};
            // A connection that was opened goes on when the link makes another RPC connection.
            answer.connection = std::make_unique<EndpointConnection>(stream.attach(std::move(used)));
            answer.connection->relay = name;
            this->peers.recordOpened(name);
            answer.connection->relayUse = std::shared_ptr<void>(nullptr, [this, name](void * /*none*/) {
                this->peers.recordClosed(name);
            });
            return answer;
        });
    });
    auto late = this->loop.kjTimer().afterDelay(kjDuration(RelayAnswerTimeout)).then([link]() {
        link->reset();
        return RelayAnswer{};
    });
    return answered
        .catch_([link](kj::Exception &&exception) {
            switch (exception.getType()) {
            case kj::Exception::Type::FAILED:
                return RelayAnswer{RelayOutcome::Unreachable, nullptr};
            case kj::Exception::Type::OVERLOADED:
                return RelayAnswer{RelayOutcome::Busy, nullptr};
            default:
                link->reset();
                return RelayAnswer{};
            }
        })
        .exclusiveJoin(kj::mv(late));
}

std::shared_ptr<RpcLink> EndpointConnector::linkTo(const std::string &address)
{
    auto &link = this->peerLinks[address];
    if (link == nullptr) {
        link = std::make_shared<RpcLink>(this->loop.rpc(), address);
    }
    return link;
}

void EndpointConnector::keep(
    const DeployedEndpoint &endpoint, std::unique_ptr<EndpointConnection> connection, Duration idleTimeout)
{
    if (connection->relay.empty()) {
        if (this->links.mayReuse(endpoint.address)) {
            this->pool.addIdle(endpoint.address, std::move(connection), idleTimeout);
        }
    } else if (this->peers.isUsable(connection->relay)) {
        this->pool.addIdle(relayedKey(endpoint.address), std::move(connection), idleTimeout);
    }
}

void EndpointConnector::beginRequest(const std::string &address, EndpointConnection &connection, bool isRepeatable)
{
    if (!connection.relay.empty()) {
        return;
    }
    this->links.recordSent(this->now(), address);
    if (isRepeatable) {
        this->repeatable[address].insert(&connection);
    }
}

void EndpointConnector::endRequest(const std::string &address, EndpointConnection &connection)
{
    if (!connection.relay.empty()) {
        return;
    }
    this->links.recordEnded(address);
    if (const auto found = this->repeatable.find(address); found != this->repeatable.end()) {
        found->second.erase(&connection);
        if (found->second.empty()) {
            this->repeatable.erase(found);
        }
    }
}

void EndpointConnector::recordReceived(const std::string &address, EndpointConnection &connection)
{
    connection.isUnanswered = false;
    if (connection.relay.empty()) {
        this->links.recordReceived(this->now(), address);
    }
}

void EndpointConnector::recordConnected(const std::string &address)
{
    const bool wasDown = this->links.plan(address) == ConnectPlan::Relayed;
    this->links.recordConnected(this->now(), address);
    if (wasDown) {
        this->pool.closeIdle(relayedKey(address));
        metrics().set(MetricKind::LinksDown, static_cast<std::int64_t>(this->links.downCount()));
        logEvent(EventKind::EndpointLinkUp, {{"address", address}});
        if (this->onLinksChanged) {
            this->onLinksChanged();
        }
    }
}

void EndpointConnector::recordDown(const std::string &address, ConnectFailure failure)
{
    if (failure == ConnectFailure::NoSocket) {
        return; // Says nothing about the link.
    }
    const bool hangs = failure == ConnectFailure::TimedOut;
    if (!this->links.recordDown(this->now(), address, hangs)) {
        return;
    }
    metrics().set(MetricKind::LinksDown, static_cast<std::int64_t>(this->links.downCount()));
    logEvent(EventKind::EndpointLinkDown, {{"address", address}, {"cause", std::string(nameOf(failure))}});
    if (hangs) {
        this->pool.closeIdle(address);
        if (const auto found = this->repeatable.find(address); found != this->repeatable.end()) {
            for (EndpointConnection *connection : found->second) {
                connection->isInterrupted = true;
                connection->input.interrupt();
            }
        }
    }
    if (this->onLinksChanged) {
        this->onLinksChanged();
    }
}

void EndpointConnector::probeLinks()
{
    for (const std::string &address : this->links.takeDueProbes(this->now())) {
        if (const auto found = this->endpoints.find(address); found != this->endpoints.end()) {
            this->probe(found->second);
        }
    }
}

void EndpointConnector::probe(const DeployedEndpoint &endpoint)
{
    if (this->links.plan(endpoint.address) == ConnectPlan::Relayed) {
        this->startDirect(endpoint, ProbeTimeout)->isAbandoned = true;
        return;
    }
    this->loop.detach(kj::startFiber(ProbeStackBytes, [this, endpoint](kj::WaitScope &scope) {
        ConnectResult opened = this->open(scope, endpoint, ProbeTimeout);
        if (opened.connection != nullptr) {
            this->keep(endpoint, std::move(opened.connection), ConnectionPool::idleTimeoutFrom(HttpFields()));
        }
    }));
}

} // namespace Chestnuthook
