/** @file timeline_test.cpp  Merging, filtering, parsing and the three output formats of a timeline. */
#define BOOST_TEST_MODULE timeline
#include <boost/test/unit_test.hpp>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "observe/log_func.h"
#include "rpc/message_func.h"
#include "timeline/timeline_source_func.h"
#include "timeline/timeline_type.h"

using namespace Chestnuthook;

namespace
{

using Fields = std::vector<std::pair<std::string, std::string>>;

TimelineEvent event(
    std::int64_t ms, std::uint32_t counter, const std::string &process, const std::string &kind, Fields fields = {})
{
    return TimelineEvent{{ms, counter}, ms, process, kind, "info", std::move(fields)};
}

/** Events of a program with a sub-agent on another entry process and a failed attempt, and of a program of another
 *  customer. */
TimelineEvents sampleEvents()
{
    return {
        event(10, 0, "entry/a", "program_created", {{"program", "p1"}, {"tenant", "t1"}, {"key_id", "k1"}}),
        event(11, 0, "entry/b", "program_created", {{"program", "p2"}, {"tenant", "t2"}, {"key_id", "k2"}}),
        event(12, 0, "entry/a", "call_accepted", {{"program", "p1"}, {"call", "1"}, {"attempt", "x1"}}),
        event(13, 0, "entry/c", "attempt_failed", {{"attempt", "x1"}, {"endpoint", "e1"}}),
        event(14, 0, "entry/b", "program_created", {{"program", "p3"}, {"tenant", "t1"}, {"parent", "p1"}}),
        event(15, 0, "entry/b", "call_accepted", {{"program", "p3"}, {"call", "1"}, {"attempt", "x3"}}),
        event(16, 0, "entry/b", "call_accepted", {{"program", "p2"}, {"call", "1"}, {"attempt", "x2"}}),
        event(17, 0, "entry/a", "call_ended", {{"program", "p1"}, {"call", "1"}, {"endpoint", "e1"}}),
    };
}

std::string eventTimes(const TimelineEvents &events)
{
    std::string text;
    for (const TimelineEvent &found : events) {
        text += std::to_string(found.time.wallMs) + " ";
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(merged_events_are_ordered_by_hybrid_time_not_wall_clock)
{
    TimelineEvents events = {event(20, 1, "entry/b", "call_accepted"), event(20, 0, "entry/c", "peer_lost"),
        event(5, 9, "entry/a", "peer_lost")};
    events[1].wallMs = 3;
    events.push_back(events[0]); // The same event, read from the ring buffer and from the log file.
    mergeEvents(events);
    BOOST_REQUIRE_EQUAL(events.size(), 3U);
    BOOST_TEST(events[0].process == "entry/a");
    BOOST_TEST(events[1].process == "entry/c");
    BOOST_TEST(events[2].process == "entry/b");
}

BOOST_AUTO_TEST_CASE(filter_selects_related_events_across_processes)
{
    BOOST_TEST(eventTimes(filterEvents(sampleEvents(), {})) == eventTimes(sampleEvents()));
    BOOST_TEST(eventTimes(filterEvents(sampleEvents(), {"p1", "", "", ""})) == "10 12 13 14 15 17 ");
    BOOST_TEST(eventTimes(filterEvents(sampleEvents(), {"p3", "", "", ""})) == "14 15 ");
    BOOST_TEST(eventTimes(filterEvents(sampleEvents(), {"", "t1", "", ""})) == "10 12 13 14 15 17 ");
    BOOST_TEST(eventTimes(filterEvents(sampleEvents(), {"", "", "e1", ""})) == "12 13 17 ");
    BOOST_TEST(eventTimes(filterEvents(sampleEvents(), {"", "", "", "k2"})) == "11 16 ");
    BOOST_TEST(eventTimes(filterEvents(sampleEvents(), {"p1", "", "e1", ""})) == "12 13 17 ");
    BOOST_TEST(filterEvents(sampleEvents(), {"p1", "t2", "", ""}).empty());
}

BOOST_AUTO_TEST_CASE(event_page_and_log_line_parse_to_the_same_event)
{
    const Event logged{0, HybridTime{1700000000000, 3}, 1700000000000, "entry/e1", EventKind::PeerLost,
        {{"peer", "a \"b\"\n\\=c"}, {"z", ""}}};
    EventRing ring;
    ring.append(logged);
    TimelineEvents events;
    const Result<EventPage> page = parseEventPage(ring.toJson(0, 10), events);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->count == 1U);
    BOOST_TEST(page->nextSince == 1U);
    TimelineEvent fromLog;
    BOOST_REQUIRE(parseLogLine(formatEvent(logged, 42), fromLog));
    events.push_back(fromLog);
    mergeEvents(events);
    BOOST_REQUIRE_EQUAL(events.size(), 1U);
    BOOST_TEST(events[0].field("peer") == "a \"b\"\n\\=c");
    BOOST_TEST(events[0].level == "warning");
    for (const std::string line : {"", "bad_setting: x", "a=\"", "hlc=1700000000000.0003"}) {
        BOOST_TEST(!parseLogLine(line, fromLog), line);
    }
    BOOST_TEST(!parseEventPage("{}", events).has_value());
    BOOST_TEST(!parseEventPage("<html>", events).has_value());
}

BOOST_AUTO_TEST_CASE(trace_has_one_pid_per_process_and_begin_and_end_events)
{
    const auto parsed = Poco::JSON::Parser().parse(timelineTrace({sampleEvents(), false, {}}));
    const auto list = parsed.extract<Poco::JSON::Object::Ptr>()->getArray("traceEvents");
    std::map<std::string, int> phases;
    for (unsigned i = 0; i < list->size(); ++i) {
        ++phases[list->getObject(i)->getValue<std::string>("ph")];
    }
    BOOST_TEST(phases["M"] == 3);
    BOOST_TEST(phases["b"] == 6);
    BOOST_TEST(phases["e"] == 1);
    BOOST_TEST(phases["i"] == 1);
}

BOOST_AUTO_TEST_CASE(page_is_self_contained_and_escapes_script_end_tags)
{
    TimelineEvents events = sampleEvents();
    events.push_back(event(18, 0, "entry/a", "peer_lost", {{"peer", "</script><script>alert(1)</script>/*EVENTS*/"}}));
    const std::string page = timelinePage({events, true, {"entry-9: can't be read </script>"}});
    std::size_t scripts = 0;
    for (std::size_t at = page.find("</script>"); at != std::string::npos; at = page.find("</script>", at + 1)) {
        ++scripts;
    }
    BOOST_TEST(scripts == 1U);
    for (const char *part : {"http://", "https://", "src=", "@import"}) {
        BOOST_TEST(page.find(part) == std::string::npos, part);
    }
    BOOST_TEST(page.find("\"p3\"") != std::string::npos);
    BOOST_TEST(page.find("entry-9: can't be read") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(text_has_one_line_per_event_and_per_note)
{
    const std::string text = timelineText({sampleEvents(), true, {"10.0.0.1:8080: can't be read"}});
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 9);
    BOOST_TEST(text.ends_with("# 10.0.0.1:8080: can't be read\n"));
}

BOOST_AUTO_TEST_CASE(message_time_is_adopted_unless_its_clock_is_far_ahead)
{
    capnp::MallocMessageBuilder message;
    auto time = message.initRoot<Wire::HybridTime>();
    const std::int64_t ahead = wallMsNow() + 5'000;
    time.setWallMs(ahead);
    time.setCounter(7);
    observeHybridTime(time.asReader());
    BOOST_TEST((hybridNow() > HybridTime{ahead, 7}));
    time.setWallMs(wallMsNow() + 3'600'000);
    observeHybridTime(time.asReader());
    BOOST_TEST(hybridNow().wallMs < wallMsNow() + 60'000);
    writeHybridTime(time);
    BOOST_TEST((hybridNow() > HybridTime{time.getWallMs(), time.getCounter()}));
}
