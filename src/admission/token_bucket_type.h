/** @file token_bucket_type.h  A customer's rate and burst as one bucket, in which requests may be reserved ahead. */
#pragma once

#include <algorithm>
#include <optional>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** How long after it fell due a grant may be used. Requests bunch by at most this much, so the bucket holds as much
 * less than the declared burst as is earned in this time. */
constexpr Duration GrantTtl = std::chrono::milliseconds(250);

/** Invariant: over every window w, at most burst + rate * w grants are used, where each is used within GrantTtl after
 * it falls due: grants due in a window v are at most capacity + rate * v, and v <= w + GrantTtl. */
class TokenBucket
{
public:
    /** A bucket that begins empty. */
    explicit TokenBucket(Instant now)
        : updated(now)
    {
    }

    /** Sets the declared rate (per second) and burst; what is in the bucket stays, up to the capacity. */
    void declare(double newRate, double newBurst, Instant now)
    {
        this->refill(now);
        this->rate = newRate;
        this->capacity = capacityOf(newRate, newBurst);
        this->level = std::min(this->level, this->capacity);
    }

    /** Fills it; only where no other bucket of this customer was ever in use. */
    void fill()
    {
        this->level = this->capacity;
    }

    /** Takes over what another owner's bucket held when it stopped; below zero where requests are reserved ahead. */
    void adopt(double otherLevel, Instant now)
    {
        this->updated = now;
        this->level = std::min(this->capacity, otherLevel);
    }

    /** Takes one request out, ahead of time where need be.
     * @return how long from @p now the request is to be held; nothing is taken where that is over @p maxDelay. */
    std::optional<Duration> reserve(Instant now, Duration maxDelay)
    {
        const Duration delay = this->waitFor(now);
        if (delay > maxDelay || this->rate <= 0) {
            return std::nullopt;
        }
        this->level -= 1;
        return delay;
    }

    /** Takes one request out. @return false where there is none now. */
    bool take(Instant now)
    {
        return this->reserve(now, Duration(0)).has_value();
    }

    /** How long until one more request falls due. */
    [[nodiscard]] Duration waitFor(Instant now)
    {
        this->refill(now);
        if (this->level >= 1 || this->rate <= 0) {
            return Duration(0);
        }
        return Duration(static_cast<Duration::rep>((1 - this->level) / this->rate * 1e6) + 1);
    }

    /** What it holds at @p now. */
    [[nodiscard]] double levelAt(Instant now)
    {
        this->refill(now);
        return this->level;
    }

    /** The most that a bucket of @p rate and @p burst holds; at least one request. */
    [[nodiscard]] static double capacityOf(double rate, double burst)
    {
        const double life = static_cast<double>(GrantTtl.count()) / 1e6;
        return std::max(std::min(burst, 1.0), burst - rate * life);
    }

private:
    void refill(Instant now)
    {
        if (now > this->updated) {
            const double seconds = static_cast<double>((now - this->updated).count()) / 1e6;
            this->level = std::min(this->capacity, this->level + seconds * this->rate);
            this->updated = now;
        }
    }

    double rate = 0; ///< Requests per second.
    double capacity = 0; ///< Upper bound of `level`.
    double level = 0; ///< Requests that may come now; below zero where some are reserved ahead.
    Instant updated; ///< When `level` was right.
};

} // namespace Chestnuthook
