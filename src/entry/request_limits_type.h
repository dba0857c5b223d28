/** @file request_limits_type.h  Bounds of what one caller may make an entry hold: header, whole request, time to send
 * it, connections. Pure: bytes and instants come in, a verdict goes out. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Bounds at one entry. */
struct RequestLimits
{
    std::size_t maxHeaderBytes = 32UL * 1024; ///< Of the request line and headers.
    std::size_t maxRequestBytes =
        10UL * 1024 * 1024; ///< Of the whole request; the body's own bound is answered before it.
    Duration sendTimeout = std::chrono::seconds(10); ///< From a request's first byte to its last.
    int maxConnectionsPerAddress = 512; ///< From one address.
    int maxConnections = 1024; ///< From all addresses; each has a thread.
};

enum class LimitVerdict : std::uint8_t { WithinLimits, HeaderTooLarge, RequestTooLarge, TooSlow };

/** Measures the requests of one connection, one after the other. */
class RequestMeter
{
public:
    explicit RequestMeter(const RequestLimits &limits)
        : limits(limits)
    {
    }

    /** Counts bytes that came. The first ones start the time of a request. */
    LimitVerdict consume(std::string_view bytes, Instant now);

    /** An answer is being sent: what comes next is another request. */
    void onResponse();

    /** Whether part of a request has come and its answer has not begun. */
    [[nodiscard]] bool isInProgress() const
    {
        return this->requestBytes > 0;
    }

    /** How long the rest may still take; zero where the time is over. */
    [[nodiscard]] Duration remainingTime(Instant now) const;

private:
    void findHeaderEnd(std::string_view bytes);

    RequestLimits limits; ///< The bounds.
    Instant startedAt; ///< When the first byte of the request under way came.
    std::size_t requestBytes = 0; ///< Bytes of the request under way.
    std::size_t headerBytes = 0; ///< Those of its header.
    std::uint8_t consecutiveNewlines = 0; ///< Line ends seen in a row; two end the header.
    bool headerComplete = false; ///< The rest is body.
};

} // namespace Chestnuthook
