/** @file dispatch_base.cpp  Choice of endpoints. */
#include "entry/dispatch_base.h"

#include <algorithm>
#include <utility>

namespace Chestnuthook
{

Dispatch::Dispatch()
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
    return DispatchPermit{++this->lastPermit, fitting[this->turn++ % fitting.size()], 0};
}

void Dispatch::release(
    const DispatchPermit & /*permit*/, const DispatchDemand & /*demand*/, const AttemptOutcome & /*outcome*/)
{
}

} // namespace Chestnuthook
