/** @file request_limits_func.cpp  Measures requests against the request limits. */
#include "entry/request_limits_type.h"

#include <algorithm>

namespace Chestnuthook
{

namespace
{

constexpr std::uint8_t HeaderEndNewlines = 2;

} // namespace

LimitVerdict RequestMeter::consume(std::string_view bytes, Instant now)
{
    if (bytes.empty()) {
        return LimitVerdict::WithinLimits;
    }
    if (this->requestBytes == 0) {
        this->startedAt = now;
    }
    this->requestBytes += bytes.size();
    if (!this->headerComplete) {
        this->findHeaderEnd(bytes);
    }
    if (this->headerBytes > this->limits.maxHeaderBytes) {
        return LimitVerdict::HeaderTooLarge;
    }
    if (this->requestBytes > this->limits.maxRequestBytes) {
        return LimitVerdict::RequestTooLarge;
    }
    return now - this->startedAt > this->limits.sendTimeout ? LimitVerdict::TooSlow : LimitVerdict::WithinLimits;
}

void RequestMeter::findHeaderEnd(std::string_view bytes)
{
    for (const char byte : bytes) {
        this->headerBytes += 1;
        if (byte == '\n') {
            this->consecutiveNewlines += 1;
        } else if (byte != '\r') {
            this->consecutiveNewlines = 0;
        }
        if (this->consecutiveNewlines == HeaderEndNewlines) {
            this->headerComplete = true;
            return;
        }
    }
}

void RequestMeter::onResponse()
{
    this->requestBytes = 0;
    this->headerBytes = 0;
    this->consecutiveNewlines = 0;
    this->headerComplete = false;
}

Duration RequestMeter::remainingTime(Instant now) const
{
    return std::max(Duration(0), this->limits.sendTimeout - (now - this->startedAt));
}

} // namespace Chestnuthook
