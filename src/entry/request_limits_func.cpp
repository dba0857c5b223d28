/** @file request_limits_func.cpp  Measures requests. */
#include "entry/request_limits_type.h"

#include <algorithm>

namespace Chestnuthook
{

namespace
{

constexpr std::uint8_t LineEndsAfterHeader = 2;

} // namespace

LimitVerdict RequestMeter::take(std::string_view bytes, Instant now)
{
    if (bytes.empty()) {
        return LimitVerdict::Within;
    }
    if (this->total == 0) {
        this->began = now;
    }
    this->total += bytes.size();
    if (!this->headerEnded) {
        this->findHeaderEnd(bytes);
    }
    if (this->header > this->limits.headerBytes) {
        return LimitVerdict::HeaderTooLarge;
    }
    if (this->total > this->limits.requestBytes) {
        return LimitVerdict::RequestTooLarge;
    }
    return now - this->began > this->limits.sendTime ? LimitVerdict::TooSlow : LimitVerdict::Within;
}

void RequestMeter::findHeaderEnd(std::string_view bytes)
{
    for (const char byte : bytes) {
        this->header += 1;
        if (byte == '\n') {
            this->lineEnds += 1;
        } else if (byte != '\r') {
            this->lineEnds = 0;
        }
        if (this->lineEnds == LineEndsAfterHeader) {
            this->headerEnded = true;
            return;
        }
    }
}

void RequestMeter::answered()
{
    this->total = 0;
    this->header = 0;
    this->lineEnds = 0;
    this->headerEnded = false;
}

Duration RequestMeter::timeLeft(Instant now) const
{
    return std::max(Duration(0), this->limits.sendTime - (now - this->began));
}

} // namespace Chestnuthook
