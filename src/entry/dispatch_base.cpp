/** @file dispatch_base.cpp  Selection of endpoints for attempts. */
#include "entry/dispatch_base.h"

#include <utility>

#include "core/hash_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

std::string retryBudgetKey(const DispatchRequest &request)
{
    return (request.kind == EndpointKind::Engine ? "engine/" : "service/") + request.name;
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

Result<DispatchPermit> Dispatch::acquire(const DispatchRequest &request)
{
    const Instant begin = this->loop.timers().now();
    const kj::Own<PermitResult> result = this->loop.call([&]() {
        return this->broker.acquire(request);
    });
    if (result->error) {
        return tl::unexpected(*result->error);
    }
    const std::string &endpoint = result->permit.endpoint.text;
    metrics().add(MetricKind::PermitsGranted, 1, endpoint);
    metrics().record(
        MetricKind::PermitWaitMs, static_cast<double>((this->loop.timers().now() - begin).count()) / 1e3, endpoint);
    const std::lock_guard lock(this->retryMutex);
    this->retryBudgets[retryBudgetKey(request)].onAttempt();
    return result->permit;
}

void Dispatch::release(const DispatchPermit &permit, const DispatchRequest &request, const AttemptOutcome &outcome)
{
    this->loop.call([&]() {
        this->broker.release(permit, request, outcome);
    });
}

bool Dispatch::consumeRetry(const DispatchRequest &request)
{
    const std::lock_guard lock(this->retryMutex);
    return this->retryBudgets[retryBudgetKey(request)].take();
}

Duration Dispatch::retryDelay(unsigned retry)
{
    const std::lock_guard lock(this->retryMutex);
    return jitteredRetryDelay(retry, this->jitterSeed);
}

} // namespace Chestnuthook
