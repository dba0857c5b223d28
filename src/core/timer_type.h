/** @file timer_type.h  Durations, monotonic instants and the interface of timer services. */
#pragma once

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <functional>

namespace Chestnuthook
{

using Duration = std::chrono::microseconds;

/** A point in time on the monotonic clock of this process; not comparable with those of other processes. */
struct Instant
{
    std::int64_t us = 0; ///< Microseconds since an arbitrary start.

    constexpr Instant() = default;
    constexpr explicit Instant(std::int64_t microseconds)
        : us(microseconds)
    {
    }
    friend constexpr bool operator==(const Instant &, const Instant &) = default;
    friend constexpr std::strong_ordering operator<=>(const Instant &left, const Instant &right)
    {
        return left.us <=> right.us;
    }

    constexpr Instant &operator+=(Duration duration)
    {
        this->us += duration.count();
        return *this;
    }
    friend constexpr Instant operator+(Instant instant, Duration duration)
    {
        return Instant(instant.us + duration.count());
    }
    friend constexpr Instant operator-(Instant instant, Duration duration)
    {
        return Instant(instant.us - duration.count());
    }
    friend constexpr Duration operator-(Instant later, Instant earlier)
    {
        return Duration(later.us - earlier.us);
    }
};

/** Interface of a timer service as its users need it. */
template<typename T>
concept TimerServiceLike = requires(T &timers, const T &constTimers, Duration duration, std::function<void()> action)
{
    {
        constTimers.now()
        } -> std::same_as<Instant>;
    timers.after(duration, action).cancel();
    timers.every(duration, action).cancel();
};

} // namespace Chestnuthook
