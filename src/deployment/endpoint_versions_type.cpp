/** @file endpoint_versions_type.cpp  Comparison of endpoint lists with the recorded versions. */
#include "deployment/endpoint_versions_type.h"

#include <algorithm>
#include <iterator>

namespace Chestnuthook
{

ServiceVersions versionsOf(const std::vector<DeployedEndpoint> &list)
{
    ServiceVersions versions;
    for (const DeployedEndpoint &endpoint : list) {
        versions.insert({endpoint.service, endpoint.version});
    }
    return versions;
}

ServiceVersions unrecordedVersions(const std::vector<DeployedEndpoint> &list, const ServiceVersions &recorded)
{
    ServiceVersions unrecorded = versionsOf(list);
    std::erase_if(unrecorded, [&recorded](const ServiceVersion &version) {
        return recorded.contains(version);
    });
    return unrecorded;
}

std::vector<DeployedEndpoint> endpointsOfVersions(
    const std::vector<DeployedEndpoint> &list, const ServiceVersions &recorded)
{
    std::vector<DeployedEndpoint> endpoints;
    std::copy_if(list.begin(), list.end(), std::back_inserter(endpoints), [&recorded](const auto &endpoint) {
        return recorded.contains({endpoint.service, endpoint.version});
    });
    return endpoints;
}

void EndpointVersionExpiry::beginTerm(Instant now)
{
    this->termStart = now;
    this->lastListed.clear();
}

void EndpointVersionExpiry::recordListed(Instant now, const std::vector<DeployedEndpoint> &list)
{
    for (const ServiceVersion &version : versionsOf(list)) {
        this->lastListed[version] = now;
    }
}

ServiceVersions EndpointVersionExpiry::expired(Instant now, const ServiceVersions &recorded) const
{
    ServiceVersions expired;
    for (const ServiceVersion &version : recorded) {
        const auto listed = this->lastListed.find(version);
        const Instant last = listed == this->lastListed.end() ? this->termStart : listed->second;
        if (now - last > StreamMemory) {
            expired.insert(version);
        }
    }
    return expired;
}

} // namespace Chestnuthook
