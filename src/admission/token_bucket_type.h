/** @file token_bucket_type.h  A tenant's rate and burst as one bucket. */
#pragma once

#include <algorithm>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Invariant: over every window w, at most burst + rate * w requests are admitted. */
class TokenBucket
{
public:
    /** A bucket that begins empty. */
    explicit TokenBucket(Instant now)
        : updated(now)
    {
    }

    /** Sets the declared rate (per second) and burst; what is in the bucket stays, up to the burst. */
    void declare(double newRate, double newBurst, Instant now)
    {
        this->refill(now);
        this->rate = newRate;
        this->burst = newBurst;
        this->level = std::min(this->level, newBurst);
    }

    /** Fills it to the burst; only where no other bucket of this tenant was ever in use. */
    void fill()
    {
        this->level = this->burst;
    }

    /** Takes one request out. @return false where there is none. */
    bool take(Instant now)
    {
        this->refill(now);
        if (this->level < 1) {
            return false;
        }
        this->level -= 1;
        return true;
    }

    /** How long until one request can be taken, where none other is. */
    [[nodiscard]] Duration waitFor(Instant now)
    {
        this->refill(now);
        if (this->level >= 1 || this->rate <= 0) {
            return Duration(0);
        }
        return Duration(static_cast<Duration::rep>((1 - this->level) / this->rate * 1e6) + 1);
    }

private:
    void refill(Instant now)
    {
        if (now > this->updated) {
            const double seconds = static_cast<double>((now - this->updated).count()) / 1e6;
            this->level = std::min(this->burst, this->level + seconds * this->rate);
            this->updated = now;
        }
    }

    double rate = 0; ///< Requests per second.
    double burst = 0; ///< Upper bound of `level`.
    double level = 0; ///< Requests that may come now.
    Instant updated; ///< When `level` was right.
};

} // namespace Chestnuthook
