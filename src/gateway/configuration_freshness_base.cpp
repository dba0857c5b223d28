/** @file configuration_freshness_base.cpp  Keeps when each version of the configuration was the newest one. */
#include "gateway/configuration_freshness_base.h"

#include <algorithm>
#include <iterator>

namespace Chestnuthook
{

void ConfigurationFreshness::recordNewest(Instant askedAt, std::uint64_t newest)
{
    const auto [period, isNew] = this->periods.try_emplace(newest, Period{askedAt, askedAt});
    period->second.last = isNew || askedAt > period->second.last ? askedAt : period->second.last;
    this->lastAsked = std::max(this->lastAsked, askedAt);
    this->recordInForce(this->inForce);
    if (this->periods.size() > MaxVersions) {
        this->periods.erase(std::next(this->periods.begin()));
    }
}

void ConfigurationFreshness::recordInForce(std::uint64_t version)
{
    this->inForce = version;
    const auto newer = this->periods.upper_bound(version);
    if (newer != this->periods.begin()) {
        this->periods.erase(this->periods.begin(), std::prev(newer));
    }
}

Duration ConfigurationFreshness::outdatedFor(Instant now) const
{
    const auto newer = this->periods.upper_bound(this->inForce);
    if (newer == this->periods.end() || now - this->lastAsked > ContactMemory) {
        return Duration(0);
    }
    const Instant since = newer == this->periods.begin() ? newer->second.first : std::prev(newer)->second.last;
    return now - since;
}

} // namespace Chestnuthook
