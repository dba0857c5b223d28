/** @file policy_retry_test.cpp  Retry budget after a loss of endpoints, and distribution of retry delays. */
#define BOOST_TEST_MODULE policy_retry
#include <boost/test/unit_test.hpp>

#include <vector>

#include "policy/retry_budget_base.h"

using namespace Chestnuthook;

BOOST_AUTO_TEST_CASE(retries_stay_within_budget_when_a_third_of_endpoints_fail)
{
    constexpr int Entries = 6;
    constexpr int CallsPerEntry = 2000;
    std::uint64_t random = 11;
    int retries = 0;
    for (int entry = 0; entry < Entries; ++entry) {
        RetryBudget budget;
        for (int call = 0; call < CallsPerEntry; ++call) {
            budget.onAttempt();
            while (nextUniform(random) < 1.0 / 3 && budget.take()) {
                budget.onAttempt();
                ++retries;
            }
        }
    }
    BOOST_TEST(retries <= Entries * (RetryBudget::RetryReserve + RetryBudget::RetryRatio * CallsPerEntry));
    BOOST_TEST(retries > Entries * RetryBudget::RetryReserve);
}

BOOST_AUTO_TEST_CASE(retry_delays_grow_and_are_spread)
{
    std::uint64_t random = 3;
    std::vector<std::int64_t> highest(8, 0);
    for (unsigned retry = 1; retry <= highest.size(); ++retry) {
        std::int64_t least = INT64_MAX;
        for (int i = 0; i < 200; ++i) {
            const std::int64_t delay = jitteredRetryDelay(retry, random).count();
            BOOST_TEST(delay >= 0);
            least = std::min(least, delay);
            highest[retry - 1] = std::max(highest[retry - 1], delay);
        }
        BOOST_TEST(least < highest[retry - 1] / 10);
    }
    BOOST_TEST(highest[3] > highest[0] * 4);
    BOOST_TEST(highest[7] <= 50'000 << 5);
}
