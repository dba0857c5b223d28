/** @file dispatch_base.cpp  Choice of endpoints. */
#include "entry/dispatch_base.h"

#include <algorithm>
#include <utility>

#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

std::string targetOf(const DispatchDemand &demand)
{
    return (demand.kind == EndpointKind::Engine ? "engine/" : "service/") + demand.name;
}

} // namespace

Dispatch::Dispatch()
    : jitterSeed(hash64(randomHex(sizeof(std::uint64_t))))
{
    this->list.store(std::make_shared<const EndpointList>());
}

void Dispatch::setEndpoints(std::shared_ptr<const EndpointList> next)
{
    this->list.store(std::move(next));
}

std::shared_ptr<const EndpointList> Dispatch::endpoints() const
{
    return this->list.load();
}

Result<DispatchPermit> Dispatch::acquire(const DispatchDemand &demand)
{
    const std::shared_ptr<const EndpointList> current = this->list.load();
    std::vector<EndpointId> fitting;
    for (const ListedEndpoint &endpoint : *current) {
        const bool avoided = std::find(demand.avoid.begin(), demand.avoid.end(), endpoint.id) != demand.avoid.end();
        if (endpoint.kind == demand.kind && endpoint.name == demand.name && !endpoint.leaving && !avoided) {
            fitting.push_back(endpoint.id);
        }
    }
    if (fitting.empty()) {
        return fail(ErrorKind::NoEndpoint, demand.name);
    }
    {
        const std::lock_guard lock(this->retryMutex);
        this->retryBudgets[targetOf(demand)].onAttempt();
    }
    return DispatchPermit{++this->lastPermit, fitting[this->turn++ % fitting.size()], 0};
}

void Dispatch::release(
    const DispatchPermit & /*permit*/, const DispatchDemand & /*demand*/, const AttemptOutcome & /*outcome*/)
{
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
