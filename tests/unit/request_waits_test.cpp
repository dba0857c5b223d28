/** @file request_waits_test.cpp  What requests wait for at a gateway, and what a leader does for other daemons, as the
 * log shows it. */
#define BOOST_TEST_MODULE request_waits
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "deployment/leader_load_base.h"
#include "gateway/request_waits_base.h"
#include "observe/metrics_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

std::string valueOf(const std::vector<Field> &fields, std::string_view name)
{
    const auto field = std::ranges::find(fields, name, &Field::name);
    return field == fields.end() ? std::string() : field->value;
}

} // namespace

BOOST_AUTO_TEST_CASE(waits_of_a_request_are_told_apart_by_cause)
{
    Instant now(1);
    TimerService timers([&now] {
        return now;
    });
    RequestWaits waits(timers);
    WaitTimes times{};
    BOOST_TEST(waitText(times) == "none");
    {
        const RequestWaits::Scope history(waits, times, WaitCause::History);
        now += 4ms;
    }
    for (int i = 0; i < 2; ++i) {
        const RequestWaits::Scope credit(waits, times, WaitCause::Credit);
        now += 60ms;
    }
    BOOST_TEST(waitText(times) == "history=4 credit=120");
    BOOST_TEST(metrics().value(MetricKind::RequestWaitMs, "credit") == 2);
    const auto summary = waits.takeSummary();
    BOOST_TEST(valueOf(summary, "credit") == "requests 2, mean 60 ms, longest 60 ms");
    BOOST_TEST(valueOf(summary, "history").empty());
    BOOST_TEST(waits.takeSummary().empty());
}

BOOST_AUTO_TEST_CASE(load_of_a_leader_names_its_waits_and_processor_time)
{
    LeaderLoad load;
    BOOST_TEST(load.isIdle());
    load.recordWatch(true, false);
    load.recordCredit(2ms);
    load.recordCredit(10ms);
    load.recordRenewal(9ms);
    load.recordDelay(30ms);
    BOOST_TEST(!load.isIdle());
    const auto fields = load.takeFields(250ms);
    BOOST_TEST(valueOf(fields, "watches") == "1");
    BOOST_TEST(valueOf(fields, "credits") == "2");
    BOOST_TEST(valueOf(fields, "credit_wait_us") == "6000");
    BOOST_TEST(valueOf(fields, "credit_wait_max_ms") == "10");
    BOOST_TEST(valueOf(fields, "renewal_max_ms") == "9");
    BOOST_TEST(valueOf(fields, "delay_max_ms") == "30");
    BOOST_TEST(valueOf(fields, "cpu_ms") == "250");
    BOOST_TEST(load.isIdle());
    BOOST_TEST(valueOf(load.takeFields(300ms), "cpu_ms") == "50");
}
