/** @file endpoint_health_base.h  Passive health check of endpoints, from the outcome of calls to them. */
#pragma once

#include <algorithm>
#include <map>

#include "core/id_type.h"
#include "core/timer_type.h"

namespace Chestnuthook
{

/** Outcome of an attempt, as seen by the client side of the connection. */
enum class ConnectionOutcome : std::uint8_t {
    Answered, ///< A complete answer, with any status.
    Broken, ///< The connection failed or timed out after a part of the request was sent.
    Unreachable, ///< No connection was established.
};

/** Circuit breaker for each endpoint. It bridges the delay until the platform's list drops a failed endpoint: an
 * endpoint that can't be reached gets no calls for a backoff that doubles with each further failure. After the backoff
 * one call probes the endpoint. */
class EndpointHealth
{
public:
    static constexpr Duration MinBackoff = std::chrono::milliseconds(500);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(8000);
    /** Consecutive broken calls that count as one failure to reach the endpoint. */
    static constexpr int BrokenCallsPerFailure = 3;

    void record(const EndpointId &endpoint, ConnectionOutcome outcome, Instant now)
    {
        if (outcome == ConnectionOutcome::Answered) {
            this->rows.erase(endpoint);
            return;
        }
        Row &row = this->rows[endpoint];
        const bool isFailure =
            outcome == ConnectionOutcome::Unreachable || ++row.brokenCalls % BrokenCallsPerFailure == 0;
        if (isFailure && now >= row.blockedUntil) {
            row.backoff = std::min(MaxBackoff, row.backoff.count() == 0 ? MinBackoff : row.backoff * 2);
            row.blockedUntil = now + row.backoff;
        }
    }

    /** Whether calls may be sent to @p endpoint. The first call after a backoff is the probe, see onSelected(). */
    [[nodiscard]] bool usable(const EndpointId &endpoint, Instant now) const
    {
        const auto row = this->rows.find(endpoint);
        return row == this->rows.end() || now >= row->second.blockedUntil;
    }
    /** @p endpoint was chosen for a call. After a backoff this call is the probe: no others are sent for MinBackoff. */
    void onSelected(const EndpointId &endpoint, Instant now)
    {
        const auto row = this->rows.find(endpoint);
        if (row != this->rows.end() && row->second.backoff.count() > 0) {
            row->second.blockedUntil = now + MinBackoff;
        }
    }

private:
    struct Row
    {
        int brokenCalls = 0; ///< Broken calls since the last answer.
        Duration backoff{0}; ///< Current or last backoff.
        Instant blockedUntil; ///< No calls are sent before this time.
    };
    std::map<EndpointId, Row> rows; ///< Endpoints with a failure since their last answer.
};

} // namespace Chestnuthook
