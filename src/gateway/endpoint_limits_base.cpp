/** @file endpoint_limits_base.cpp  Merges limits from responses and from the leader's list. */
#include "gateway/endpoint_limits_base.h"

#include <utility>

namespace Chestnuthook
{

bool EndpointLimits::recordResponse(Instant now, const std::string &endpoint, double perSecond)
{
    const bool isChanged = this->table.record(now, {endpoint, perSecond, Duration(0)});
    if (isChanged) {
        this->unreported.insert(endpoint);
    }
    return isChanged;
}

std::vector<std::string> EndpointLimits::setListed(Instant now, const std::vector<DeployedEndpoint> &list)
{
    std::vector<std::string> changed;
    std::set<std::string> listed;
    for (const DeployedEndpoint &endpoint : list) {
        listed.insert(endpoint.id);
        if (this->table.ageOf(now, endpoint.id).value_or(ListDelay) >= ListDelay
            && this->table.record(now, {endpoint.id, endpoint.limitPerSecond, ListDelay})) {
            changed.push_back(endpoint.id);
        }
    }
    this->table.retain(listed);
    return changed;
}

EndpointLimitReport EndpointLimits::reportOf(Instant now, const std::string &endpoint) const
{
    return {endpoint, this->table.limitOf(endpoint), this->table.ageOf(now, endpoint).value_or(UnknownAge)};
}

std::vector<EndpointLimitReport> EndpointLimits::takeReports(Instant now)
{
    std::vector<EndpointLimitReport> reports;
    for (const std::string &endpoint : std::exchange(this->unreported, {})) {
        reports.push_back(this->reportOf(now, endpoint));
    }
    return reports;
}

} // namespace Chestnuthook
