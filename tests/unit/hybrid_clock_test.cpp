/** @file hybrid_clock_test.cpp  Tests of the hybrid logical clock. */
#define BOOST_TEST_MODULE hybrid_clock
#include <boost/test/unit_test.hpp>

#include "core/hybrid_clock_type.h"

using namespace Chestnuthook;

BOOST_AUTO_TEST_CASE(increasesWhenWallClockGoesBack)
{
    HybridClock clock;
    const HybridTime first = clock.tick(1000);
    const HybridTime second = clock.tick(1000);
    const HybridTime third = clock.tick(400);
    BOOST_TEST((first == HybridTime{1000, 0}));
    BOOST_TEST((second == HybridTime{1000, 1}));
    BOOST_TEST((third == HybridTime{1000, 2}));
    BOOST_TEST((clock.tick(1001) == HybridTime{1001, 0}));
}

BOOST_AUTO_TEST_CASE(isLaterThanObservedTimestamps)
{
    HybridClock clock;
    clock.tick(1000);
    BOOST_TEST((clock.observe(HybridTime{5000, 7}, 1000) == HybridTime{5000, 8}));
    BOOST_TEST((clock.observe(HybridTime{2000, 7}, 1000) == HybridTime{5000, 9}));
    BOOST_TEST((clock.observe(HybridTime{2000, 7}, 6000) == HybridTime{6000, 0}));
    BOOST_TEST((clock.last() == HybridTime{6000, 0}));
}

BOOST_AUTO_TEST_CASE(counterOverflowAdvancesWallTime)
{
    HybridClock clock;
    clock.observe(HybridTime{1000, HybridTime::MaxCounter - 1}, 1);
    BOOST_TEST((clock.last() == HybridTime{1000, 9999}));
    BOOST_TEST((clock.tick(1) == HybridTime{1001, 0}));
}

BOOST_AUTO_TEST_CASE(textFormRoundTrips)
{
    const HybridTime time{1700000000000, 3};
    BOOST_TEST(time.toText() == "1700000000000.0003");
    BOOST_TEST((HybridTime::parse("1700000000000.0003") == time));
    for (const char *wrong : {"", ".", "1.", ".0001", "1.001", "1.00001", "-1.0001", "1.000a", "1.0001 ", "a.0001",
             "99999999999999999999.0001"}) {
        BOOST_TEST_CONTEXT(wrong)
        {
            BOOST_TEST(!HybridTime::parse(wrong).has_value());
        }
    }
}
