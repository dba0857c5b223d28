/** @file limits_test.cpp  Requests over a limit are detected, however the bytes are split. */
#define BOOST_TEST_MODULE limits
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/limited_socket_base.h"

using namespace Chestnuthook;

namespace
{

const std::string Header = "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n";

/** Feeds @p text in pieces of @p size bytes, one every @p pause. @return the first verdict that is not WithinLimits. */
LimitVerdict feed(RequestMeter &meter, const std::string &text, std::size_t size, Duration pause, Instant &now)
{
    for (std::size_t at = 0; at < text.size(); at += size) {
        const LimitVerdict verdict = meter.consume(std::string_view(text).substr(at, size), now);
        if (verdict != LimitVerdict::WithinLimits) {
            return verdict;
        }
        now += pause;
    }
    return LimitVerdict::WithinLimits;
}

RequestLimits smallLimits()
{
    RequestLimits limits;
    limits.maxHeaderBytes = 1000;
    limits.maxRequestBytes = 100'000;
    limits.sendTimeout = std::chrono::seconds(10);
    limits.maxConnectionsPerAddress = 2;
    limits.maxConnections = 3;
    return limits;
}

} // namespace

BOOST_AUTO_TEST_CASE(rejects_a_header_over_the_limit)
{
    for (const std::size_t size : {1UL, 7UL, 4096UL}) {
        RequestMeter meter(smallLimits());
        Instant now;
        const std::string endless = "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x');
        BOOST_TEST((feed(meter, endless, size, Duration(0), now) == LimitVerdict::HeaderTooLarge));
    }
}

BOOST_AUTO_TEST_CASE(body_counts_towards_request_size_only)
{
    for (const std::size_t size : {1UL, 7UL, 4096UL}) {
        RequestMeter meter(smallLimits());
        Instant now;
        BOOST_TEST(
            (feed(meter, Header + std::string(90'000, 'b'), size, Duration(0), now) == LimitVerdict::WithinLimits));
        BOOST_TEST((feed(meter, std::string(20'000, 'b'), size, Duration(0), now) == LimitVerdict::RequestTooLarge));
    }
}

BOOST_AUTO_TEST_CASE(detects_a_slow_sender_that_keeps_sending)
{
    RequestMeter meter(smallLimits());
    Instant now;
    const LimitVerdict verdict = feed(meter, Header, 1, std::chrono::seconds(1), now);
    BOOST_TEST((verdict == LimitVerdict::TooSlow));
    BOOST_TEST((now > Instant() + std::chrono::seconds(10)));
    BOOST_TEST((meter.remainingTime(now) == Duration(0)));
}

BOOST_AUTO_TEST_CASE(timeout_excludes_idle_and_response_time)
{
    RequestMeter meter(smallLimits());
    Instant now;
    for (int request = 0; request < 5; ++request) {
        BOOST_TEST((feed(meter, Header, 16, std::chrono::milliseconds(1), now) == LimitVerdict::WithinLimits));
        BOOST_TEST(meter.isInProgress());
        now += std::chrono::seconds(60);
        meter.onResponse();
        BOOST_TEST(!meter.isInProgress());
        now += std::chrono::seconds(60);
    }
}

BOOST_AUTO_TEST_CASE(limits_connections_per_address_and_in_total)
{
    ConnectionCounts counts(smallLimits());
    BOOST_TEST(counts.add("10.0.0.1"));
    BOOST_TEST(counts.add("10.0.0.1"));
    BOOST_TEST(!counts.add("10.0.0.1"));
    counts.remove("10.0.0.1");
    BOOST_TEST(counts.add("10.0.0.2"));
    BOOST_TEST(!counts.add("10.0.0.3"));
    counts.remove("10.0.0.3");
    counts.remove("10.0.0.1");
    BOOST_TEST(counts.add("10.0.0.1"));
}
