/** @file request_limits_type.h  Limits on the resources that one client may occupy: header size, request size, time
 * to send a request, and connections. Does no I/O: the caller passes in the received bytes and the time. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Limits that one entry enforces. */
struct RequestLimits
{
    std::size_t maxHeaderBytes = 32UL * 1024; ///< Request line and headers, in bytes.
    std::size_t maxRequestBytes = 10UL * 1024 * 1024; ///< Header and body, in bytes. So far above the body limit that
                                                      ///< an oversized body is rejected by that one first.
    Duration sendTimeout = std::chrono::seconds(10); ///< Time from the first to the last byte of a request.
    int maxConnectionsPerAddress = 512; ///< Open connections from one IP address.
    int maxConnections = 1024; ///< Open connections in total; each occupies a thread.
};

enum class LimitVerdict : std::uint8_t { WithinLimits, HeaderTooLarge, RequestTooLarge, TooSlow };

/** Measures the successive requests on one connection. */
class RequestMeter
{
public:
    explicit RequestMeter(const RequestLimits &limits)
        : limits(limits)
    {
    }

    /** Counts received bytes. The first byte of a request starts its timeout. */
    LimitVerdict consume(std::string_view bytes, Instant now);

    /** A response is being sent: the next received byte starts a new request. */
    void onResponse();

    /** Whether part of a request was received and its response has not started. */
    [[nodiscard]] bool isInProgress() const
    {
        return this->requestBytes > 0;
    }

    /** The time left to receive the rest of the request; 0 once the timeout has passed. */
    [[nodiscard]] Duration remainingTime(Instant now) const;

private:
    void findHeaderEnd(std::string_view bytes);

    RequestLimits limits; ///< The limits to enforce.
    Instant startedAt; ///< When the first byte of the current request was received.
    std::size_t requestBytes = 0; ///< Bytes received of the current request.
    std::size_t headerBytes = 0; ///< Bytes received of its header.
    std::uint8_t consecutiveNewlines = 0; ///< Newlines in a row; two of them end the header.
    bool headerComplete = false; ///< The header was received completely; what follows is the body.
};

} // namespace Chestnuthook
