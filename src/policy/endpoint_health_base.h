/** @file endpoint_health_base.h  Which endpoints get nothing for a while, by what became of the calls there. */
#pragma once

#include <algorithm>
#include <map>

#include "core/id_type.h"
#include "core/timer_type.h"

namespace Chestnuthook
{

/** How an attempt looked from outside. */
enum class ConnectionOutcome : std::uint8_t {
    Answered, ///< A whole answer, whatever its status.
    Broken, ///< The connection broke or timed out after something was sent.
    Unreachable, ///< No connection was made.
};

/** Covers the lag of the platform's list: an endpoint that can't be reached is left out at once, for a time that
 * doubles with each further failure; after it one call probes the endpoint. */
class EndpointHealth
{
public:
    static constexpr Duration FirstPause = std::chrono::milliseconds(500);
    static constexpr Duration LongestPause = std::chrono::milliseconds(8000);
    /** Broken calls in a row that count as one failure to reach the endpoint. */
    static constexpr int BrokenLimit = 3;

    void record(const EndpointId &endpoint, ConnectionOutcome sign, Instant now)
    {
        if (sign == ConnectionOutcome::Answered) {
            this->rows.erase(endpoint);
            return;
        }
        Row &row = this->rows[endpoint];
        const bool fails = sign == ConnectionOutcome::Unreachable || ++row.broken % BrokenLimit == 0;
        if (fails && now >= row.until) {
            row.pause = std::min(LongestPause, row.pause.count() == 0 ? FirstPause : row.pause * 2);
            row.until = now + row.pause;
        }
    }

    /** Whether calls may go there; the first one after a pause is the probe and holds off others for FirstPause. */
    [[nodiscard]] bool usable(const EndpointId &endpoint, Instant now) const
    {
        const auto row = this->rows.find(endpoint);
        return row == this->rows.end() || now >= row->second.until;
    }
    void onSelected(const EndpointId &endpoint, Instant now)
    {
        const auto row = this->rows.find(endpoint);
        if (row != this->rows.end() && row->second.pause.count() > 0) {
            row->second.until = now + FirstPause;
        }
    }

private:
    struct Row
    {
        int broken = 0; ///< Broken calls since the last answer.
        Duration pause{0}; ///< The present or last pause.
        Instant until; ///< Nothing goes there before.
    };
    std::map<EndpointId, Row> rows; ///< Endpoints that failed since their last answer.
};

} // namespace Chestnuthook
