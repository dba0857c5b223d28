/** @file strike_report_type.h  What a gateway tells control about requests that may crash endpoints. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/timer_type.h"

namespace Chestnuthook
{

struct StrikeReport
{
    /** A request that was under way at an endpoint when that went down. */
    struct Strike
    {
        std::uint64_t fingerprint = 0; ///< One of the request's RequestFingerprints.
        std::string endpoint; ///< Id of the endpoint.
        Instant at{0}; ///< When the endpoint went down.
        bool isBroad = false; ///< See EndpointStrike.
        Duration underWay{0}; ///< How long the request had been under way.
    };

    std::vector<Strike> strikes; ///< Strikes since the last report.
    std::vector<std::uint64_t> acquitted; ///< Fingerprints under suspicion of which a request has ended well since.
    std::vector<std::uint64_t> refused; ///< Fingerprints in quarantine of which a request has come again.

    [[nodiscard]] bool isEmpty() const
    {
        return this->strikes.empty() && this->acquitted.empty() && this->refused.empty();
    }
};

} // namespace Chestnuthook
