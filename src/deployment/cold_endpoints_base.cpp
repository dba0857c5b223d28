/** @file cold_endpoints_base.cpp  Keeps until when endpoints are cold. */
#include "deployment/cold_endpoints_base.h"

#include <algorithm>
#include <set>

namespace Chestnuthook
{

void ColdEndpoints::adopt(Instant now, const std::vector<DeployedEndpoint> &list)
{
    for (const DeployedEndpoint &endpoint : list) {
        if (endpoint.coldPerSecond > 0) {
            Entry &entry = this->entries[endpoint.id];
            entry.service = endpoint.service;
            entry.until = std::max(entry.until, now + ListLag);
        }
    }
}

void ColdEndpoints::recordListed(Instant now, const std::vector<DeployedEndpoint> &list)
{
    std::set<std::string> listed;
    for (const DeployedEndpoint &endpoint : list) {
        listed.insert(endpoint.id);
        if (endpoint.coldLeft.count() <= 0) {
            const auto known = this->entries.find(endpoint.id);
            if (known != this->entries.end() && !known->second.warmSince) {
                known->second.warmSince = now;
            }
            if (known != this->entries.end() && now - *known->second.warmSince >= ListLag) {
                known->second.until = std::min(known->second.until, now);
            }
            continue;
        }
        Entry &entry = this->entries[endpoint.id];
        entry.service = endpoint.service;
        entry.until = std::max(entry.until, now + endpoint.coldLeft);
        entry.warmSince.reset();
    }
    std::erase_if(this->entries, [&listed](const auto &row) {
        return !listed.contains(row.first);
    });
}

bool ColdEndpoints::isCold(Instant now, const Entry &entry)
{
    return now < entry.until;
}

bool ColdEndpoints::isCold(Instant now, const std::string &endpoint) const
{
    const auto known = this->entries.find(endpoint);
    return known != this->entries.end() && isCold(now, known->second);
}

bool ColdEndpoints::mark(Instant now, const Configuration *configuration, std::vector<DeployedEndpoint> &list) const
{
    bool hasChanged = false;
    for (DeployedEndpoint &endpoint : list) {
        double rate = 0;
        if (configuration != nullptr && this->isCold(now, endpoint.id)) {
            const auto service = configuration->services.find(endpoint.service);
            rate = service == configuration->services.end() ? 0 : service->second.coldPerSecond;
        }
        hasChanged = hasChanged || endpoint.coldPerSecond != rate;
        endpoint.coldPerSecond = rate;
        endpoint.coldLeft = Duration(0);
    }
    return hasChanged;
}

std::vector<ColdEndpoints::Change> ColdEndpoints::takeChanges(Instant now)
{
    std::vector<Change> changes;
    for (auto &[id, entry] : this->entries) {
        const bool isColdNow = isCold(now, entry);
        if (isColdNow != entry.wasCold) {
            entry.wasCold = isColdNow;
            changes.push_back({id, entry.service, isColdNow ? entry.until - now : Duration(0)});
        }
    }
    return changes;
}

} // namespace Chestnuthook
