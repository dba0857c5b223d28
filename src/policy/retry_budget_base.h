/** @file retry_budget_base.h  Bounds retries to a fraction of first attempts, and spreads them in time.
 *
 * Each entry bounds its own retries by its own first attempts, so the fleet's retries are bounded by the same fraction
 * of the fleet's first attempts without any message between entries. */
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/timer_type.h"
#include "policy/random_func.h"

namespace Chestnuthook
{

/** Invariant: retries <= RetryReserve + RetryRatio * first attempts. */
class RetryBudget
{
public:
    /** Retries earned by each first attempt. */
    static constexpr double RetryRatio = 0.1;
    /** Retries that an idle entry may make, and the most that it saves up. */
    static constexpr double RetryReserve = 10;

    /** An attempt was given an endpoint. */
    void onAttempt()
    {
        this->left = std::min(RetryReserve, this->left + RetryRatio);
    }

    /** Takes one retry. @return false where none is left. */
    bool take()
    {
        if (this->left < 1) {
            return false;
        }
        this->left -= 1 + RetryRatio; // The retry is an attempt too, and is not to earn a part of the next one.
        return true;
    }

private:
    double left = RetryReserve; ///< Retries that may be made now.
};

/** Delay before retry number @p retry (from 1): evenly spread up to a bound that doubles each time. */
inline Duration jitteredRetryDelay(unsigned retry, std::uint64_t &random)
{
    constexpr std::int64_t BaseUs = 50'000;
    constexpr unsigned MaxDoublings = 5;
    const std::int64_t bound = BaseUs << std::min(retry == 0 ? 0 : retry - 1, MaxDoublings);
    return Duration(static_cast<std::int64_t>(nextUniform(random) * static_cast<double>(bound)));
}

} // namespace Chestnuthook
