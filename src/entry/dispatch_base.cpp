/** @file dispatch_base.cpp  Choice of endpoints. */
#include "entry/dispatch_base.h"

#include <utility>

#include "core/hash_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

std::string targetOf(const DispatchDemand &demand)
{
    return (demand.kind == EndpointKind::Engine ? "engine/" : "service/") + demand.name;
}

} // namespace

Dispatch::Dispatch(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers)
    : broker(loop, follower, peers)
    , loop(loop)
    , jitterSeed(hash64(randomHex(sizeof(std::uint64_t))))
{
    this->list.store(std::make_shared<const EndpointList>());
}

void Dispatch::setEndpoints(std::shared_ptr<const EndpointList> next)
{
    this->list.store(next);
    this->loop.call([&]() {
        this->broker.setEndpoints(std::move(next));
    });
}

std::shared_ptr<const EndpointList> Dispatch::endpoints() const
{
    return this->list.load();
}

Result<DispatchPermit> Dispatch::acquire(const DispatchDemand &demand)
{
    const Instant begin = this->loop.timers().now();
    const kj::Own<PermitVerdict> verdict = this->loop.call([&]() {
        return this->broker.acquire(demand);
    });
    if (verdict->error) {
        return tl::unexpected(*verdict->error);
    }
    const std::string &endpoint = verdict->permit.endpoint.text;
    metrics().add(MetricKind::PermitsGranted, 1, endpoint);
    metrics().record(
        MetricKind::PermitWaitMs, static_cast<double>((this->loop.timers().now() - begin).count()) / 1e3, endpoint);
    const std::lock_guard lock(this->retryMutex);
    this->retryBudgets[targetOf(demand)].onAttempt();
    return verdict->permit;
}

void Dispatch::release(const DispatchPermit &permit, const DispatchDemand &demand, const AttemptOutcome &outcome)
{
    this->loop.call([&]() {
        this->broker.release(permit, demand, outcome);
    });
}

bool Dispatch::mayRetry(const DispatchDemand &demand)
{
    const std::lock_guard lock(this->retryMutex);
    return this->retryBudgets[targetOf(demand)].take();
}

Duration Dispatch::retryDelay(unsigned retry)
{
    const std::lock_guard lock(this->retryMutex);
    return jitteredRetryDelay(retry, this->jitterSeed);
}

} // namespace Chestnuthook
