/** @file token_bucket_type.h  Token bucket for one customer's rate and burst. Requests can be reserved ahead. */
#pragma once

#include <algorithm>
#include <optional>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Time after its due time during which a grant may be used. Grants that fell due within this interval may be used at
 * the same moment, so the capacity of a bucket is the declared burst less the refill of this interval. */
constexpr Duration GrantTtl = std::chrono::milliseconds(250);

/** Invariant: in every window of length w, at most burst + rate * w grants are used. Each grant is used within GrantTtl
 * after its due time, so the grants used in the window fell due in a window of length v <= w + GrantTtl, and at most
 * capacity + rate * v grants fall due in that one. */
class TokenBucket
{
public:
    /** Creates an empty bucket. */
    explicit TokenBucket(Instant now)
        : updatedAt(now)
    {
    }

    /** Sets the declared rate (requests per second) and burst (requests). The level is kept, up to the new capacity. */
    void declare(double newRate, double newBurst, Instant now)
    {
        this->refill(now);
        this->rate = newRate;
        this->capacity = capacityOf(newRate, newBurst);
        this->level = std::min(this->level, this->capacity);
    }

    /** Fills the bucket. Only valid if no other bucket of this customer was ever in use. */
    void fill()
    {
        this->level = this->capacity;
    }

    /** Sets the level that the former owner's bucket had when it stopped granting; below zero if requests are reserved
     * ahead of time. */
    void restore(double formerLevel, Instant now)
    {
        this->updatedAt = now;
        this->level = std::min(this->capacity, formerLevel);
    }

    /** Takes one request out of the bucket, ahead of time if necessary.
     * @return the delay from @p now until the request falls due; nothing if that exceeds @p maxDelay, in which case the
     * bucket is unchanged. */
    std::optional<Duration> reserve(Instant now, Duration maxDelay)
    {
        const Duration delay = this->waitFor(now);
        if (delay > maxDelay || this->rate <= 0) {
            return std::nullopt;
        }
        this->level -= 1;
        return delay;
    }

    /** Takes one request out of the bucket. @return false if none is available now. */
    bool take(Instant now)
    {
        return this->reserve(now, Duration(0)).has_value();
    }

    /** Time until one more request falls due; zero if the rate is zero. */
    [[nodiscard]] Duration waitFor(Instant now)
    {
        this->refill(now);
        if (this->level >= 1 || this->rate <= 0) {
            return Duration(0);
        }
        return Duration(static_cast<Duration::rep>((1 - this->level) / this->rate * 1e6) + 1);
    }

    /** Level at @p now, in requests. */
    [[nodiscard]] double levelAt(Instant now)
    {
        this->refill(now);
        return this->level;
    }

    /** Capacity of a bucket with @p rate and @p burst; at least one request if the burst allows one. */
    [[nodiscard]] static double capacityOf(double rate, double burst)
    {
        const double ttlSeconds = static_cast<double>(GrantTtl.count()) / 1e6;
        return std::max(std::min(burst, 1.0), burst - rate * ttlSeconds);
    }

private:
    void refill(Instant now)
    {
        if (now > this->updatedAt) {
            const double seconds = static_cast<double>((now - this->updatedAt).count()) / 1e6;
            this->level = std::min(this->capacity, this->level + seconds * this->rate);
            this->updatedAt = now;
        }
    }

    double rate = 0; ///< Requests per second.
    double capacity = 0; ///< Upper bound of `level`.
    double level = 0; ///< Requests available at `updatedAt`; below zero if some are reserved ahead of time.
    Instant updatedAt; ///< Time at which `level` was computed.
};

} // namespace Chestnuthook
