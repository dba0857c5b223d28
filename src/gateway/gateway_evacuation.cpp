/** @file gateway_evacuation.cpp  Logs and counts the endpoints that get no request because their data centre is
 * evacuated. */
#include <set>
#include <string>

#include "gateway/gateway_base.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

void Gateway::reportEvacuated(const std::vector<DeployedEndpoint> &list)
{
    std::set<std::string> dataCentres;
    std::int64_t count = 0;
    for (const DeployedEndpoint &endpoint : list) {
        if (endpoint.evacuated) {
            dataCentres.insert(endpoint.dataCentre);
            ++count;
        }
    }
    metrics().set(MetricKind::EndpointsEvacuated, count);
    if (dataCentres == this->reportedEvacuations) {
        return;
    }
    this->reportedEvacuations = dataCentres;
    std::string names;
    for (const std::string &dataCentre : dataCentres) {
        names += (names.empty() ? "" : ",") + dataCentre;
    }
    logEvent(EventKind::EvacuationChanged,
        {{"evacuated", names.empty() ? "none" : names}, {"endpoints", std::to_string(count)},
            {"active_requests", std::to_string(this->activeCalls.size())}});
}

} // namespace Chestnuthook
