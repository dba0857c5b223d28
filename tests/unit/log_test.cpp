/** @file log_test.cpp  Log lines, the log file, the ring buffer and the hybrid clock. */
#define BOOST_TEST_MODULE log
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include <unistd.h>

#include "observe/log_func.h"

using namespace Chestnuthook;

BOOST_AUTO_TEST_CASE(logValuesAreQuotedIfNeeded)
{
    BOOST_TEST(logValue("plain/1:2") == "plain/1:2");
    BOOST_TEST(logValue("") == "\"\"");
    BOOST_TEST(logValue("two words") == "\"two words\"");
    BOOST_TEST(logValue("a=b") == "\"a=b\"");
    BOOST_TEST(logValue("say \"x\"\\") == R"("say \"x\"\\")");
    BOOST_TEST(logValue("a\nb\x01") == R"("a\nb\x01")");
}

BOOST_AUTO_TEST_CASE(logLineContainsTimeProcessAndFields)
{
    const Event event{
        1, HybridTime{1700000000000, 3}, 1700000000123, "entry/e1", EventKind::CallEnded, {{"call", "2"}}};
    BOOST_TEST(formatEvent(event, 77)
        == "time=2023-11-14T22:13:20.123Z hlc=1700000000000.0003 level=debug process=entry/e1 pid=77 event=call_ended "
           "call=2");
    BOOST_TEST(isoTime(-1) == "1969-12-31T23:59:59.999Z");
}

BOOST_AUTO_TEST_CASE(eventNamesAreUniqueAndNotEmpty)
{
    for (int i = 0; i <= static_cast<int>(EventKind::SlowOperation); ++i) {
        BOOST_TEST(!nameOf(static_cast<EventKind>(i)).empty());
        for (int j = 0; j < i; ++j) {
            BOOST_TEST(nameOf(static_cast<EventKind>(i)) != nameOf(static_cast<EventKind>(j)));
        }
    }
}

BOOST_AUTO_TEST_CASE(eventsAreWrittenToLogFileAndRingBuffer)
{
    char path[] = "/tmp/log_test_XXXXXX";
    const int descriptor = mkstemp(path);
    BOOST_REQUIRE(descriptor >= 0);
    close(descriptor);
    logEvent(EventKind::PeerLost, {{"peer", "before start"}});
    BOOST_CHECK_THROW(initObserve("entry", "e1", "/no/such/folder/log"), std::runtime_error);
    initObserve("entry", "e1", path);
    logEvent(EventKind::PeerConnected, {{"peer", "10.0.0.1:1"}});
    logEvent(EventKind::CallEnded, {{"call", "1"}});
    setLogLevel(EventLevel::Debug);
    logEvent(EventKind::CallEnded, {{"call", "2"}});
    flushObserve();
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    BOOST_TEST(
        (text.find("process=entry/e1 pid=" + std::to_string(getpid()) + " event=peer_connected peer=10.0.0.1:1\n")
            != std::string::npos));
    BOOST_TEST((text.find("before start") == std::string::npos));
    BOOST_TEST((text.find("call=1") == std::string::npos));
    BOOST_TEST((text.find("call=2") != std::string::npos));
    const std::vector<Event> events = processEvents().since(0, 100);
    BOOST_REQUIRE(events.size() == 4U);
    for (std::size_t i = 1; i < events.size(); ++i) {
        BOOST_TEST((events[i - 1].hybridTime < events[i].hybridTime));
    }
    std::remove(path);
}

BOOST_AUTO_TEST_CASE(hybridClockAdvancesPastObservedTime)
{
    const HybridTime remote{hybridNow().wallMs + 1000000, 5};
    hybridObserve(remote);
    BOOST_TEST((remote < hybridNow()));
}

/** Guards against events that keep long ids of a client whole. */
BOOST_AUTO_TEST_CASE(long_values_are_cut_in_the_ring_of_events)
{
    const std::string longValue(12000, 'i');
    BOOST_TEST(loggedText("short") == "short");
    BOOST_TEST(loggedText(longValue) == std::string(MaxLoggedBytes, 'i') + "...(12000 bytes)");
    logEvent(EventKind::CallEnded, {{"request", longValue}});
    const auto events = processEvents().since(0, 100);
    BOOST_REQUIRE(!events.empty());
    BOOST_TEST(events.back().fields.front().second == loggedText(longValue));
}
