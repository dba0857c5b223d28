/** @file hybrid_clock_type.cpp  The hybrid logical clock and its text form. */
#include "core/hybrid_clock_type.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <system_error>

namespace Chestnuthook
{

namespace
{

constexpr std::size_t CounterDigits = 4;

/** The smallest timestamp after @p time. */
HybridTime nextTimestamp(const HybridTime &time)
{
    if (time.counter >= HybridTime::MaxCounter) {
        return HybridTime{time.wallMs + 1, 0};
    }
    return HybridTime{time.wallMs, time.counter + 1};
}

bool allDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c >= '0' && c <= '9';
    });
}

} // namespace

std::string HybridTime::toText() const
{
    std::array<char, 40> buffer{};
    const int length =
        std::snprintf(buffer.data(), buffer.size(), "%lld.%04u", static_cast<long long>(this->wallMs), this->counter);
    return std::string(buffer.data(), static_cast<std::size_t>(length));
}

std::optional<HybridTime> HybridTime::parse(std::string_view text)
{
    const std::size_t point = text.find('.');
    if (point == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view wall = text.substr(0, point);
    const std::string_view count = text.substr(point + 1);
    if (!allDigits(wall) || !allDigits(count) || count.size() != CounterDigits) {
        return std::nullopt;
    }
    HybridTime time;
    if (std::from_chars(wall.data(), wall.data() + wall.size(), time.wallMs).ec != std::errc()
        || std::from_chars(count.data(), count.data() + count.size(), time.counter).ec != std::errc()) {
        return std::nullopt;
    }
    return time;
}

HybridTime HybridClock::tick(std::int64_t wallMs)
{
    this->latest = wallMs > this->latest.wallMs ? HybridTime{wallMs, 0} : nextTimestamp(this->latest);
    return this->latest;
}

HybridTime HybridClock::observe(const HybridTime &remote, std::int64_t wallMs)
{
    const HybridTime latestSeen = std::max(this->latest, remote);
    this->latest = wallMs > latestSeen.wallMs ? HybridTime{wallMs, 0} : nextTimestamp(latestSeen);
    return this->latest;
}

HybridTime HybridClock::last() const
{
    return this->latest;
}

} // namespace Chestnuthook
