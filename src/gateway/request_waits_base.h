/** @file request_waits_base.h  What requests wait for at a gateway before they reach an endpoint: for the log of a
 * request, for metrics, and for a summary each second. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/name_table_type.h"
#include "core/timer_base.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

enum class WaitCause : std::uint8_t {
    History, ///< The turns that the request continues, and its claim of tokens.
    Credit, ///< Credit of the leader for the customer.
    Endpoint, ///< An endpoint with room: pools and limits of endpoints.
    Connection, ///< A connection to the endpoint.
};
inline constexpr std::size_t WaitCauseCount = static_cast<std::size_t>(WaitCause::Connection) + 1;

template<>
struct NameTable<WaitCause>
{
    static constexpr auto Rows = std::to_array<NameRow<WaitCause>>({
        {WaitCause::History, "history"},
        {WaitCause::Credit, "credit"},
        {WaitCause::Endpoint, "endpoint"},
        {WaitCause::Connection, "connection"},
    });
};
static_assert(isNameTableWhole(WaitCause::Connection));

/** How long one request has waited for each cause so far. */
using WaitTimes = std::array<Duration, WaitCauseCount>;
/** The times in milliseconds as `history=3 credit=120`, without those below 1 ms; "none" if there are none. */
[[nodiscard]] std::string waitText(const WaitTimes &times);

/** Used by the control thread only. */
class RequestWaits
{
public:
    explicit RequestWaits(TimerService &timers);

    /** Adds the time until its destruction to the waits of one request. */
    class Scope
    {
    public:
        Scope(RequestWaits &owner, WaitTimes &times, WaitCause cause);
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;
        ~Scope();

    private:
        RequestWaits &owner; ///< Must outlive this object.
        WaitTimes &times; ///< Of the request; must outlive this object.
        WaitCause cause; ///< What the request waits for.
        Instant start; ///< When the wait began.
    };

    /** The waits since the last call as fields of a log line; empty if none took SummaryThreshold. */
    [[nodiscard]] std::vector<Field> takeSummary();

    /** A summary without a longer wait isn't logged. */
    static constexpr Duration SummaryThreshold = std::chrono::milliseconds(20);

private:
    struct Sum
    {
        std::uint64_t count = 0; ///< Requests that waited.
        Duration total{0}; ///< Sum of their waits.
        Duration longest{0}; ///< Longest of them.
    };

    void record(WaitCause cause, Duration waited);

    TimerService &timers; ///< Must outlive this object.
    std::array<Sum, WaitCauseCount> sums; ///< Since the last summary.
    TimerSubscription summaryTimer; ///< Logs the summaries.
};

} // namespace Chestnuthook
