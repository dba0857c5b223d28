/** @file timer_test.cpp  Tests of the timer service under virtual time. */
#define BOOST_TEST_MODULE timer
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>

#include "core/timer_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(runsInOrderOfDueTimeThenOfSubscription)
{
    VirtualTimer timers;
    std::string order;
    const auto c = timers.after(3ms, [&] {
        order += "c" + std::to_string(timers.now().us);
    });
    const auto a = timers.after(1ms, [&] {
        order += "a" + std::to_string(timers.now().us);
    });
    const auto b = timers.after(1ms, [&] {
        order += "b";
    });
    timers.advance(999us);
    BOOST_TEST(order.empty());
    BOOST_TEST(timers.nextDue()->us == 1000);
    timers.advance(10ms);
    BOOST_TEST(order == "a1000bc3000");
    BOOST_TEST(timers.now().us == 10999);
    BOOST_TEST(!timers.nextDue().has_value());
    BOOST_TEST(!a.active());
}

BOOST_AUTO_TEST_CASE(cancelsOnDestructionAndOnMove)
{
    VirtualTimer timers;
    int runs = 0;
    {
        const auto destroyed = timers.after(1ms, [&] {
            ++runs;
        });
    }
    auto first = timers.after(1ms, [&] {
        runs += 10;
    });
    first = timers.after(1ms, [&] {
        runs += 100;
    });
    TimerSubscription moved = std::move(first);
    BOOST_TEST(moved.active());
    timers.advance(1ms);
    BOOST_TEST(runs == 100);
    BOOST_TEST(timers.pending() == 0U);
}

BOOST_AUTO_TEST_CASE(repeatingCallbackCanCancelItself)
{
    VirtualTimer timers;
    int runs = 0;
    TimerSubscription repeating;
    repeating = timers.every(2ms, [&] {
        if (++runs == 3) {
            repeating.cancel();
        }
    });
    timers.advance(20ms);
    BOOST_TEST(runs == 3);
    BOOST_TEST(!repeating.active());
    BOOST_TEST(timers.pending() == 0U);
}

BOOST_AUTO_TEST_CASE(callbacksMayCancelOthersAndSubscribe)
{
    VirtualTimer timers;
    std::string order;
    TimerSubscription cancelled;
    TimerSubscription inner;
    const auto outer = timers.after(1ms, [&] {
        order += "o";
        cancelled.cancel();
        inner = timers.after(1ms, [&] {
            order += "i" + std::to_string(timers.now().us);
        });
    });
    cancelled = timers.after(1ms, [&] {
        order += "v";
    });
    timers.advance(5ms);
    BOOST_TEST(order == "oi2000");
}

BOOST_AUTO_TEST_CASE(runDueSkipsCallbacksSubscribedMeanwhile)
{
    Instant now(0);
    TimerService timers([&now] {
        return now;
    });
    int runs = 0;
    TimerSubscription again;
    std::function<void()> action = [&] {
        ++runs;
        again = timers.after(0ms, action);
    };
    again = timers.after(0ms, action);
    BOOST_TEST(timers.runDue() == 1U);
    BOOST_TEST(timers.runDue() == 1U);
    BOOST_TEST(runs == 2);
}

BOOST_AUTO_TEST_CASE(missedPeriodsAreSkipped)
{
    Instant now(0);
    TimerService timers([&now] {
        return now;
    });
    int runs = 0;
    const auto repeating = timers.every(1ms, [&] {
        ++runs;
    });
    now += 10ms;
    BOOST_TEST(timers.runDue() == 1U);
    BOOST_TEST(timers.nextDue()->us == 11000);
    BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_CASE(subscriptionsMayOutliveTheService)
{
    auto timers = std::make_unique<VirtualTimer>();
    auto subscription = timers->after(1ms, [] {});
    timers.reset();
    BOOST_TEST(!subscription.active());
    subscription.cancel();
}

BOOST_AUTO_TEST_CASE(callbackMayDestroyItsOwner)
{
    struct Owner
    {
        TimerSubscription subscription; ///< Destroyed with its owner.
    };
    VirtualTimer timers;
    auto owner = std::make_unique<Owner>();
    owner->subscription = timers.every(1ms, [&owner] {
        owner.reset();
    });
    timers.advance(5ms);
    BOOST_TEST(!owner);
    BOOST_TEST(timers.pending() == 0U);
}
