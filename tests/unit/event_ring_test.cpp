/** @file event_ring_test.cpp  Ring buffer of events and its JSON representation. */
#define BOOST_TEST_MODULE event_ring
#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

#include "observe/event_ring_base.h"

using namespace Chestnuthook;

namespace
{

Event peerLostEvent(const std::string &value)
{
    return Event{0, HybridTime{1700000000000, 3}, 1700000000001, "entry/e1", EventKind::PeerLost, {{"peer", value}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(oldEventsAreDroppedAndReportedAsLost)
{
    EventRing ring(3);
    BOOST_TEST(ring.toJson(0, 10) == R"({"oldest":1,"next_since":0,"lost":false,"events":[]})");
    for (int i = 1; i <= 5; ++i) {
        BOOST_TEST(ring.append(peerLostEvent(std::to_string(i))) == static_cast<std::uint64_t>(i));
    }
    BOOST_TEST(ring.since(0, 10).size() == 3U);
    BOOST_TEST(ring.since(0, 10).front().sequence == 3U);
    BOOST_TEST(ring.since(3, 10).front().sequence == 4U);
    BOOST_TEST(ring.since(3, 1).size() == 1U);
    BOOST_TEST(ring.since(5, 10).empty());
    BOOST_TEST(ring.since(6, 10).empty());
    BOOST_TEST((ring.toJson(1, 1).starts_with(R"({"oldest":3,"next_since":3,"lost":true,)")));
    BOOST_TEST((ring.toJson(2, 1).starts_with(R"({"oldest":3,"next_since":3,"lost":false,)")));
}

BOOST_AUTO_TEST_CASE(jsonContainsAllEventMembers)
{
    EventRing ring;
    ring.append(peerLostEvent("a \"b\"\n\xff\xc3\xa9"));
    BOOST_TEST(ring.toJson(0, 10)
        == R"({"oldest":1,"next_since":1,"lost":false,"events":[{"sequence":1,"hlc":"1700000000000.0003",)"
           R"("wall_ms":1700000000001,"process":"entry/e1","kind":"peer_lost","level":"warning",)"
           R"("fields":{"peer":"a \"b\"\u000a\ufffd)"
           "\xc3\xa9"
           R"("}}]})");
}

BOOST_AUTO_TEST_CASE(invalidUtf8IsReplaced)
{
    BOOST_TEST(jsonQuoted("\xc3") == "\"\\ufffd\"");
    BOOST_TEST(jsonQuoted("\xe2\x82") == "\"\\ufffd\\ufffd\"");
    BOOST_TEST(jsonQuoted("\xed\xa0\x80") == "\"\\ufffd\\ufffd\\ufffd\"");
    BOOST_TEST(jsonQuoted("\xf0\x9f\x8c\xb0") == "\"\xf0\x9f\x8c\xb0\"");
}

BOOST_AUTO_TEST_CASE(concurrentAppendsKeepSequenceNumbersConsecutive)
{
    constexpr int EventsPerThread = 500;
    EventRing ring(100);
    constexpr int ThreadCount = 4;
    std::vector<std::thread> threads;
    threads.reserve(ThreadCount);
    for (int t = 0; t < ThreadCount; ++t) {
        threads.emplace_back([&ring] {
            for (int i = 0; i < EventsPerThread; ++i) {
                ring.append(peerLostEvent("x"));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::vector<Event> events = ring.since(0, 1000);
    BOOST_REQUIRE(events.size() == 100U);
    BOOST_TEST(events.back().sequence == 2000U);
    for (std::size_t i = 1; i < events.size(); ++i) {
        BOOST_TEST(events[i].sequence == events[i - 1].sequence + 1);
    }
}
