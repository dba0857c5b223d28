/** @file endpoint_versions_type.h  Software versions at which streams of each service may have begun. Gateways get an
 * endpoint only after its version was recorded in the replicated state, so that the record names every version that any
 * gateway has used, whichever gateways and control members were restarted or out of touch. No I/O, no clock. */
#pragma once

#include <chrono>
#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/endpoint_list_type.h"

namespace Chestnuthook
{

/** Software version of the endpoints of a service. */
struct ServiceVersion
{
    std::string service; ///< Name of the service.
    std::string version; ///< Empty if the endpoint list doesn't state it.
    auto operator<=>(const ServiceVersion &) const = default;
};

using ServiceVersions = std::set<ServiceVersion>;

[[nodiscard]] ServiceVersions versionsOf(const std::vector<DeployedEndpoint> &list);
/** The versions in @p list that aren't in @p recorded. */
[[nodiscard]] ServiceVersions unrecordedVersions(
    const std::vector<DeployedEndpoint> &list, const ServiceVersions &recorded);
/** The endpoints of @p list whose version is in @p recorded. */
[[nodiscard]] std::vector<DeployedEndpoint> endpointsOfVersions(
    const std::vector<DeployedEndpoint> &list, const ServiceVersions &recorded);

/** Determines at the leader when a recorded version may be forgotten. */
class EndpointVersionExpiry
{
public:
    /** A stream is resumed at the latest this long after its endpoint was listed for the last time. */
    static constexpr Duration StreamMemory = std::chrono::seconds(60);

    /** A new leader doesn't know when its predecessor saw the versions, so that their time begins anew. */
    void beginTerm(Instant now);
    /** Records that the endpoints of @p list are listed. */
    void recordListed(Instant now, const std::vector<DeployedEndpoint> &list);
    /** The versions in @p recorded that no endpoint has had for longer than StreamMemory. */
    [[nodiscard]] ServiceVersions expired(Instant now, const ServiceVersions &recorded) const;

private:
    Instant termStart{0}; ///< When this member became the leader.
    std::map<ServiceVersion, Instant> lastListed; ///< Since the start of the term.
};

} // namespace Chestnuthook
