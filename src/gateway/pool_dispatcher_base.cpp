/** @file pool_dispatcher_base.cpp  Connects the parts that place requests in pools, and serves other gateways. */
#include "gateway/pool_dispatcher_base.h"

#include <utility>

#include <kj/debug.h>

#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

class PeerServer final : public Wire::GatewayPeer::Server
{
public:
    PeerServer(PoolOwner &owner, ControlLoop &loop, Wire::EndpointRelay::Client relay)
        : owner(owner)
        , loop(loop)
        , relay(kj::mv(relay))
    {
    }

    kj::Promise<void> connect(ConnectContext context) override
    {
        auto request = this->relay.connectRequest();
        request.setEndpoint(context.getParams().getEndpoint());
        request.setToCaller(context.getParams().getToCaller());
        return context.tailCall(kj::mv(request));
    }

    kj::Promise<void> acquire(AcquireContext context) override
    {
        const auto params = context.getParams();
        const auto answer = this->owner.acquire(
            textOf(params.getPool()), readTurn(params.getTurn(), this->now(), textOf(params.getSender())));
        KJ_REQUIRE(answer.has_value(), "this gateway doesn't know the pool");
        writeAnswer(context.getResults().initDecision(), *answer);
        return kj::READY_NOW;
    }

    kj::Promise<void> await(AwaitContext context) override
    {
        const auto params = context.getParams();
        return this->owner
            .await(textOf(params.getPool()), textOf(params.getSender()), params.getTicket(),
                std::chrono::milliseconds(params.getWaitMs()))
            .then([context](PoolAnswer &&answer) mutable {
                writeAnswer(context.getResults().initDecision(), answer);
            });
    }

    kj::Promise<void> release(ReleaseContext context) override
    {
        const auto params = context.getParams();
        const std::string holder = textOf(params.getSender());
        std::vector<TurnOutcome> outcomes;
        for (const auto outcome : params.getOutcomes()) {
            outcomes.push_back(readOutcome(outcome, holder));
        }
        this->owner.release(textOf(params.getPool()), outcomes);
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const auto params = context.getParams();
        std::vector<std::uint64_t> tickets;
        for (const auto ticket : params.getTickets()) {
            tickets.push_back(ticket);
        }
        this->owner.cancel(textOf(params.getPool()), textOf(params.getSender()), tickets);
        return kj::READY_NOW;
    }

    kj::Promise<void> adopt(AdoptContext context) override
    {
        const auto params = context.getParams();
        const std::string holder = textOf(params.getSender());
        std::vector<AdoptedTurn> turns;
        for (const auto turn : params.getTurns()) {
            turns.push_back({readTurn(turn.getTurn(), this->now(), holder), textOf(turn.getEndpoint())});
        }
        this->owner.adopt(textOf(params.getPool()), turns);
        return kj::READY_NOW;
    }

    kj::Promise<void> explain(ExplainContext context) override
    {
        const auto params = context.getParams();
        const auto forecasts = this->owner.explain(
            textOf(params.getPool()), readTurn(params.getTurn(), this->now(), textOf(params.getSender())));
        KJ_REQUIRE(forecasts.has_value(), "this gateway doesn't know the pool");
        auto list = context.getResults().initForecasts(static_cast<unsigned>(forecasts->size()));
        for (unsigned i = 0; i < forecasts->size(); ++i) {
            writeForecast(list[i], (*forecasts)[i]);
        }
        return kj::READY_NOW;
    }

private:
    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    PoolOwner &owner; ///< Must outlive this object.
    ControlLoop &loop; ///< Must outlive this object.
    Wire::EndpointRelay::Client relay; ///< Opens connections to endpoints.
};

} // namespace

PoolDispatcher::PoolDispatcher(ControlLoop &loop, const std::string &ownName, IsUsable isUsable)
    : isUsable(std::move(isUsable))
    , loop(loop)
    , owner(loop, this->pools,
          [this](const PoolInfo &pool) {
              return this->describe(pool);
          })
    , client(loop, ownName, this->pools, this->owner)
{
}

PoolOwner::Description PoolDispatcher::describe(const PoolInfo &pool) const
{
    PoolOwner::Description description;
    const EngineConfig *engine = nullptr;
    if (this->configuration != nullptr) {
        const auto service = this->configuration->services.find(pool.service);
        if (service != this->configuration->services.end() && service->second.engine) {
            engine = &*service->second.engine;
        }
    }
    for (const DeployedEndpoint &endpoint : pool.endpoints) {
        PoolEndpoint entry;
        entry.id = endpoint.id;
        // The list's figure is that of the endpoint, the configuration's that of the service.
        entry.slots = endpoint.slots > 1 || engine == nullptr || engine->slots == 0 ? endpoint.slots : engine->slots;
        entry.memoryTokens = engine == nullptr ? 0 : engine->memoryTokens;
        entry.version = endpoint.version;
        entry.isUsable = this->isUsable(endpoint.id);
        description.endpoints.push_back(std::move(entry));
    }
    if (engine != nullptr) {
        description.parameters.strideTokens = engine->tokensPerEvent;
    }
    return description;
}

void PoolDispatcher::setConfiguration(ConfigurationPtr current)
{
    this->configuration = std::move(current);
    this->owner.refresh();
    this->prepare();
}

void PoolDispatcher::setEndpoints(const std::vector<DeployedEndpoint> &list)
{
    this->applyOwnerChanges(this->pools.setEndpoints(list));
    this->owner.refresh();
    this->prepare();
}

void PoolDispatcher::setInstances(const std::vector<InstanceInfo> &list)
{
    this->applyOwnerChanges(this->pools.setInstances(list));
    this->client.dropUnusedLinks();
    std::set<std::string> alive;
    for (const InstanceInfo &instance : list) {
        alive.insert(instance.name);
    }
    this->owner.retainHolders(alive);
    this->prepare();
}

void PoolDispatcher::recordLoad(const std::string &service, const EndpointLoad &load)
{
    if (load.pace == 0 || !this->pacedServices.insert(service).second) {
        return;
    }
    this->prepare();
    for (const auto &[id, pool] : this->pools.all()) {
        if (pool.service == service && this->isPooled(service)) {
            logOwnerChange({id, {}, pool.owner});
        }
    }
}

void PoolDispatcher::logOwnerChange(const PoolOwnerChange &change)
{
    metrics().add(MetricKind::PoolOwnerChanges);
    logEvent(EventKind::PoolOwnerChanged, {{"pool", change.pool}, {"before", change.before}, {"after", change.after}});
}

void PoolDispatcher::applyOwnerChanges(const std::vector<PoolOwnerChange> &changes)
{
    this->client.applyOwnerChanges(changes);
    for (const PoolOwnerChange &change : changes) {
        // Pools exist for all services, as another gateway may know earlier that a service reports its pace.
        const PoolInfo *pool = this->pools.find(change.pool);
        if (pool != nullptr && this->isPooled(pool->service)) {
            logOwnerChange(change);
        }
    }
}

void PoolDispatcher::prepare()
{
    if (this->configuration == nullptr) {
        return;
    }
    for (const auto &[name, service] : this->configuration->services) {
        if (this->isPooled(name)) {
            this->client.prepare(name);
        }
    }
}

bool PoolDispatcher::isPooled(const std::string &service) const
{
    if (this->configuration == nullptr) {
        return false;
    }
    const auto found = this->configuration->services.find(service);
    return found != this->configuration->services.end() && found->second.engine.has_value()
        && this->pacedServices.contains(service);
}

Wire::GatewayPeer::Client PoolDispatcher::makePeer(EndpointRelay &relay)
{
    return kj::heap<PeerServer>(this->owner, this->loop, relay.client());
}

} // namespace Chestnuthook
