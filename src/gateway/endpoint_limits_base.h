/** @file endpoint_limits_base.h  What a gateway knows of the limits of endpoints, from responses and from the leader.
 * Does no I/O. */
#pragma once

#include <set>
#include <string>
#include <vector>

#include "deployment/endpoint_limit_type.h"
#include "deployment/endpoint_list_type.h"

namespace Chestnuthook
{

class EndpointLimits
{
public:
    /** Records that a response of @p endpoint named a limit of @p perSecond, or none if that is 0.
     * @return whether the limit has changed. */
    bool recordResponse(Instant now, const std::string &endpoint, double perSecond);
    /** Takes the limits of the leader's list, except for endpoints that this gateway has heard lately itself.
     * @return the endpoints whose limit has changed. */
    std::vector<std::string> setListed(Instant now, const std::vector<DeployedEndpoint> &list);

    /** Limit of @p endpoint in requests per second; 0 for none. */
    [[nodiscard]] double limitOf(const std::string &endpoint) const
    {
        return this->table.limitOf(endpoint);
    }
    [[nodiscard]] std::size_t limitedCount() const
    {
        return this->table.limitedCount();
    }
    /** What is known of @p endpoint, for the leader. */
    [[nodiscard]] EndpointLimitReport reportOf(Instant now, const std::string &endpoint) const;
    /** Takes the limits that responses have changed since the last call. */
    [[nodiscard]] std::vector<EndpointLimitReport> takeReports(Instant now);

private:
    /** The list may be older than what a response said within this time. */
    static constexpr Duration ListDelay = std::chrono::milliseconds(1500);
    /** Age of what is reported of an endpoint without a known limit, so that it replaces nothing that the leader knows.
     * Credit for a cold endpoint is requested without such knowledge. */
    static constexpr Duration UnknownAge = std::chrono::hours(1);

    EndpointLimitTable table; ///< Limits of the listed endpoints.
    std::set<std::string> unreported; ///< Endpoints whose limit has changed since the last report.
};

} // namespace Chestnuthook
