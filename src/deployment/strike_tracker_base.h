/** @file strike_tracker_base.h  Finds requests that crash endpoints, as opposed to requests that were merely running
 * there. No I/O, no clock. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** A request that was running at an endpoint when that went down. */
struct EndpointStrike
{
    std::uint64_t fingerprint = 0; ///< Hash of customer, target and body.
    std::string endpoint; ///< Id of the endpoint.
};

/** Used by the leader. Requests with the same fingerprint at the same endpoint count once, since one crash hits all of
 * them. */
class StrikeTracker
{
public:
    /** Number of endpoints that a request must bring down to be quarantined. */
    static constexpr std::size_t QuarantineThreshold = 3;
    /** How long strikes and a quarantine last after the latest strike. */
    static constexpr Duration StrikeTtl = std::chrono::seconds(60);

    /** Records a strike. @return whether the request is quarantined by it. */
    bool record(Instant now, const EndpointStrike &strike);
    /** Deletes expired strikes. @return whether a quarantine has ended. */
    bool expire(Instant now);
    /** Fingerprints of the quarantined requests. */
    [[nodiscard]] std::set<std::uint64_t> quarantined() const;

private:
    struct Entry
    {
        std::set<std::string> endpoints; ///< Endpoints that went down.
        Instant lastStrike{0}; ///< Time of the latest strike.
    };

    std::map<std::uint64_t, Entry> entries; ///< By fingerprint.
};

} // namespace Chestnuthook
