/** @file strike_tracker_base.h  Requests that bring endpoints down, told from those that were only there. Pure. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** A request that was under way at an endpoint that went down. */
struct EndpointStrike
{
    std::uint64_t fingerprint = 0; ///< Of customer, target and body.
    std::string endpoint; ///< Id of the endpoint.
};

/** At the leader. Several requests with one fingerprint at one endpoint count once, since a crash hits all of them. */
class StrikeTracker
{
public:
    static constexpr std::size_t MostEndpoints = 3; ///< That a request may bring down before it is refused.
    static constexpr Duration StrikeLife = std::chrono::seconds(60); ///< Of strikes and refusals.

    /** @return whether the request is refused from now on. */
    bool note(Instant now, const EndpointStrike &strike);
    /** Drops old strikes. @return whether a refusal has ended. */
    bool expire(Instant now);
    [[nodiscard]] std::set<std::uint64_t> refused() const;

private:
    struct Entry
    {
        std::set<std::string> endpoints; ///< That went down.
        Instant last{0}; ///< Latest strike.
    };

    std::map<std::uint64_t, Entry> entries; ///< By fingerprint.
};

} // namespace Chestnuthook
