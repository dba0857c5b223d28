/** @file endpoint_limit_type.cpp  Table of the limits of endpoints. */
#include "deployment/endpoint_limit_type.h"

#include <algorithm>

namespace Chestnuthook
{

namespace
{

constexpr Duration LimitWindow = std::chrono::seconds(4);
constexpr double AllowedFactor = 1.5; ///< What is allowed in a window, as a multiple of the limit.
/** One request less than is allowed, because a bucket holds at least one request. */
constexpr double ToleratedRequests = 4;
/** Requests that may be sent at once, in seconds of the limit. */
constexpr double BurstSeconds = 0.5;

} // namespace

RateTolerance endpointLimitTolerance()
{
    const double windowSeconds = std::chrono::duration<double>(LimitWindow).count();
    return {LimitWindow, AllowedFactor * windowSeconds / (windowSeconds + BurstSeconds) - 1, ToleratedRequests};
}

RateLimit endpointRateLimit(const std::string &endpoint, double perSecond)
{
    return {endpoint, perSecond, perSecond * BurstSeconds};
}

bool EndpointLimitTable::record(Instant now, const EndpointLimitReport &report)
{
    const auto known = this->entries.find(report.endpoint);
    if (known == this->entries.end()) {
        if (report.perSecond > 0) {
            this->entries[report.endpoint] = {report.perSecond, now - report.age};
        }
        return report.perSecond > 0;
    }
    Entry &entry = known->second;
    if (now - report.age < entry.statedAt) {
        return false;
    }
    entry.statedAt = now - report.age;
    const bool isChanged = entry.perSecond != report.perSecond;
    entry.perSecond = report.perSecond;
    return isChanged;
}

double EndpointLimitTable::limitOf(const std::string &endpoint) const
{
    const auto known = this->entries.find(endpoint);
    return known == this->entries.end() ? 0 : known->second.perSecond;
}

std::optional<Duration> EndpointLimitTable::ageOf(Instant now, const std::string &endpoint) const
{
    const auto known = this->entries.find(endpoint);
    return known == this->entries.end() ? std::nullopt : std::optional(now - known->second.statedAt);
}

std::size_t EndpointLimitTable::limitedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->entries, [](const auto &row) {
        return row.second.perSecond > 0;
    }));
}

void EndpointLimitTable::retain(const std::set<std::string> &endpoints)
{
    std::erase_if(this->entries, [&endpoints](const auto &row) {
        return !endpoints.contains(row.first);
    });
}

} // namespace Chestnuthook
