/** @file retry_budget_base.h  Limits retries to a fraction of first attempts, and spreads them over time.
 *
 * Each entry limits its own retries by its own first attempts. This limits the retries of the whole fleet to the same
 * fraction of its first attempts without messages between entries. */
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
    /** Maximum number of retries that an entry saves up; also its initial number. */
    static constexpr double RetryReserve = 10;

    /** Registers an attempt that was dispatched to an endpoint. */
    void onAttempt()
    {
        this->available = std::min(RetryReserve, this->available + RetryRatio);
    }

    /** Takes one retry from the budget. @return false if the budget is exhausted. */
    bool take()
    {
        if (this->available < 1) {
            return false;
        }
        this->available -= 1 + RetryRatio; // The retry is registered as an attempt too, which must not earn budget.
        return true;
    }

private:
    double available = RetryReserve; ///< Retries that are available now.
};

/** Delay before retry number @p retry (from 1): uniformly distributed up to a bound that doubles with each retry. */
inline Duration jitteredRetryDelay(unsigned retry, std::uint64_t &random)
{
    constexpr std::int64_t BaseUs = 50'000;
    constexpr unsigned MaxDoublings = 5;
    const std::int64_t bound = BaseUs << std::min(retry == 0 ? 0 : retry - 1, MaxDoublings);
    return Duration(static_cast<std::int64_t>(nextUniform(random) * static_cast<double>(bound)));
}

} // namespace Chestnuthook
