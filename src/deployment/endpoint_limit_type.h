/** @file endpoint_limit_type.h  Limits that endpoints name for their requests, and who knows of them. No I/O, no clock.
 *
 * An endpoint in need names in its responses how many requests a second it takes from all gateways together. Gateways
 * report what responses say; the leader keeps the newest report and tells it to all gateways. The requests themselves
 * are counted as those of customers are: see rate_budget_type.h. */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/timer_type.h"
#include "deployment/configuration_type.h"
#include "deployment/rate_budget_type.h"

namespace Chestnuthook
{

/** What a response of an endpoint said about its limit. */
struct EndpointLimitReport
{
    std::string endpoint; ///< Id of the endpoint.
    double perSecond = 0; ///< The limit that it named; 0 for none.
    Duration age{0}; ///< How long ago.
};

/** Tolerated excess over the limit of an endpoint, for `endpointRateLimit`. */
[[nodiscard]] RateTolerance endpointLimitTolerance();
/** The limit of the requests to @p endpoint. With `endpointLimitTolerance` it allows 1.5 times what @p perSecond allows
 * in 4 s, and 5 requests. */
[[nodiscard]] RateLimit endpointRateLimit(const std::string &endpoint, double perSecond);

/** Newest known limit of each endpoint. Times are those of the process that keeps the table. */
class EndpointLimitTable
{
public:
    /** Records what a response said. Reports that are older than the known one are ignored.
     * @return whether the limit of the endpoint has changed. */
    bool record(Instant now, const EndpointLimitReport &report);
    /** Limit of @p endpoint in requests per second; 0 for none. */
    [[nodiscard]] double limitOf(const std::string &endpoint) const;
    /** Age of what is known of @p endpoint; nothing if no response was reported. */
    [[nodiscard]] std::optional<Duration> ageOf(Instant now, const std::string &endpoint) const;
    /** Number of endpoints that have a limit. */
    [[nodiscard]] std::size_t limitedCount() const;
    /** Forgets all endpoints that aren't in @p endpoints. */
    void retain(const std::set<std::string> &endpoints);

private:
    struct Entry
    {
        double perSecond = 0; ///< 0 for no limit.
        Instant statedAt{0}; ///< When the endpoint said so.
    };

    std::map<std::string, Entry> entries; ///< By endpoint id; only those that have or had a limit.
};

} // namespace Chestnuthook
