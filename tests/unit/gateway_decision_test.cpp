/** @file gateway_decision_test.cpp  Choice of an endpoint, urgency of turns, and events of streams. */
#define BOOST_TEST_MODULE gateway_decision
#include <boost/test/unit_test.hpp>

#include "gateway/call_urgency_func.h"
#include "gateway/endpoint_board_base.h"
#include "gateway/event_split_func.h"
#include "gateway/gateway_base.h"

using namespace Chestnuthook;

namespace
{

std::vector<DeployedEndpoint> endpoints(unsigned count)
{
    std::vector<DeployedEndpoint> list;
    for (unsigned i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        list.push_back({"e" + number, "model", "10.0.0." + number + ":80", "x", 8, false});
    }
    return list;
}

unsigned urgencyAt(std::int64_t msLeft)
{
    return callUrgency({1, true, Milliseconds(msLeft)});
}

} // namespace

BOOST_AUTO_TEST_CASE(a_program_goes_to_the_same_endpoint_from_each_gateway)
{
    EndpointBoard one;
    EndpointBoard other;
    one.setList(endpoints(9));
    auto reversed = endpoints(9);
    std::reverse(reversed.begin(), reversed.end());
    other.setList(reversed);
    for (std::uint64_t program = 1; program < 100; ++program) {
        const PlacementWish wish{"model", program, "x"};
        BOOST_TEST(one.choose(Instant(1), wish, {})->id == other.choose(Instant(1), wish, {})->id);
    }
}

BOOST_AUTO_TEST_CASE(a_program_stays_while_its_endpoint_queues_a_little_and_moves_when_it_queues_much)
{
    EndpointBoard board;
    board.setList(endpoints(3));
    const PlacementWish wish{"model", 42, "x"};
    const std::string home = board.choose(Instant(1), wish, {})->id;
    board.noteLoad(Instant(1), home, EndpointLoad{8, 4, 8});
    BOOST_TEST(board.choose(Instant(2), wish, {})->id == home);
    board.noteLoad(Instant(1), home, EndpointLoad{8, 8, 8});
    BOOST_TEST(board.choose(Instant(2), wish, {})->id != home);
    BOOST_TEST(board.choose(Instant(1000000), wish, {})->id == home); // What was told is too old to count on.
}

BOOST_AUTO_TEST_CASE(leaving_and_tried_endpoints_are_not_chosen)
{
    EndpointBoard board;
    auto list = endpoints(3);
    list[0].leaving = true;
    board.setList(list);
    const PlacementWish wish{"model", 0, "x"};
    BOOST_TEST(board.choose(Instant(1), wish, {"e1"})->id == "e2");
    BOOST_TEST(board.choose(Instant(1), wish, {"e1", "e2"}) == nullptr);
    BOOST_TEST(!board.isUsable("e0"));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_failed_is_avoided_for_a_while_but_better_than_none)
{
    EndpointBoard board;
    board.setList(endpoints(2));
    const PlacementWish wish{"model", 7, "x"};
    const std::string home = board.choose(Instant(1), wish, {})->id;
    board.noteFailure(Instant(1), home);
    BOOST_TEST(board.choose(Instant(2), wish, {})->id != home);
    BOOST_TEST(board.choose(Instant(300000), wish, {})->id == home);
    const std::string other = home == "e0" ? "e1" : "e0";
    board.noteFailure(Instant(300000), home);
    BOOST_TEST(board.choose(Instant(300001), wish, {other})->id == home);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_more_often_than_its_peers_is_ejected_and_returns)
{
    EndpointBoard board;
    board.setList(endpoints(9));
    Instant now(1);
    const PlacementWish wish{"model", 7, "x"};
    const std::string sick = board.choose(now, wish, {})->id;
    for (int i = 0; i < 30; ++i) {
        i % 5 < 2 ? board.noteError(now, sick) : board.noteSuccess(now, sick);
    }
    BOOST_TEST(board.choose(now, wish, {})->id != sick);
    now += std::chrono::seconds(3);
    BOOST_TEST(board.choose(now, wish, {})->id == sick);
}

BOOST_AUTO_TEST_CASE(where_all_fail_alike_none_is_ejected_and_never_more_than_a_third)
{
    EndpointBoard alike;
    alike.setList(endpoints(9));
    const PlacementWish wish{"model", 7, "x"};
    const std::string home = alike.choose(Instant(1), wish, {})->id;
    for (int i = 0; i < 30; ++i) {
        for (int e = 0; e < 9; ++e) {
            alike.noteError(Instant(1), "e" + std::to_string(e));
        }
    }
    BOOST_TEST(alike.choose(Instant(1), wish, {})->id == home);
    EndpointBoard many;
    many.setList(endpoints(9));
    for (int i = 0; i < 30; ++i) {
        for (int e = 0; e < 4; ++e) {
            many.noteError(Instant(1), "e" + std::to_string(e));
        }
    }
    std::set<std::string> used;
    for (std::uint64_t program = 1; program < 1000; ++program) {
        used.insert(many.choose(Instant(1), {"model", program, "x"}, {})->id);
    }
    BOOST_TEST(used.size() == 6U);
}

BOOST_AUTO_TEST_CASE(calls_without_affinity_go_where_least_is_under_way)
{
    EndpointBoard board;
    board.setList(endpoints(2));
    board.noteSent("e0");
    BOOST_TEST(board.choose(Instant(1), {"model", 0, "x"}, {})->id == "e1");
    board.noteSent("e1");
    board.noteSent("e1");
    BOOST_TEST(board.choose(Instant(1), {"model", 0, "x"}, {})->id == "e0");
}

BOOST_AUTO_TEST_CASE(programs_near_their_end_come_first_and_late_ones_last)
{
    BOOST_TEST(urgencyAt(200) < urgencyAt(700));
    BOOST_TEST(urgencyAt(700) < urgencyAt(2000));
    BOOST_TEST(urgencyAt(2000) < urgencyAt(5000));
    BOOST_TEST(urgencyAt(5000) < urgencyAt(-1));
    BOOST_TEST(urgencyAt(60000) < urgencyAt(0));
    BOOST_TEST(urgencyAt(-100000) <= LeastUrgent);
}

/** One endpoint that runs eight turns at once, each for 100 ms, under a burst of programs: in the order of urgency more
 * of them end in time than in the order of arrival. */
BOOST_AUTO_TEST_CASE(under_a_burst_more_programs_end_in_time_than_by_arrival)
{
    struct Program
    {
        int turnsLeft = 0; ///< Still to run.
        int arrived = 0; ///< Of the waiting turn, in ms.
        int due = 0; ///< In ms.
        int runsUntil = -1; ///< -1 while it waits.
    };
    const auto play = [](bool byUrgency) {
        std::vector<Program> programs;
        int inTime = 0;
        for (int now = 0; now < 6000; now += 10) {
            if (now < 2000 && now % 20 == 0) { // 50 programs a second of 1 to 4 turns; 32 turns a second more than fit.
                const int turns = 1 + static_cast<int>(programs.size() % 4);
                programs.push_back({turns, now, now + turns * 100 * 2, -1});
            }
            int running = 0;
            for (Program &program : programs) {
                if (program.runsUntil == now) {
                    program.runsUntil = -1;
                    program.arrived = now;
                    inTime += --program.turnsLeft == 0 && now <= program.due ? 1 : 0;
                }
                running += program.runsUntil >= 0 ? 1 : 0;
            }
            while (running < 8) {
                Program *next = nullptr;
                const auto order = [&](const Program &one) {
                    const unsigned urgency = byUrgency ? urgencyAt(one.due - now) : 0;
                    return std::pair(urgency, one.arrived);
                };
                for (Program &program : programs) {
                    const bool waits = program.turnsLeft > 0 && program.runsUntil < 0;
                    if (waits && (next == nullptr || order(program) < order(*next))) {
                        next = &program;
                    }
                }
                if (next == nullptr) {
                    break;
                }
                next->runsUntil = now + 100;
                ++running;
            }
        }
        return inTime;
    };
    BOOST_TEST(play(true) > play(false));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_waits_for_callers_and_requests_within_its_grace)
{
    constexpr Duration Grace = std::chrono::seconds(8);
    const Duration callersCome = gatewayListTtl(Grace) * MaxTtlOverrunFactor;
    BOOST_TEST(!Gateway::isStopDone(callersCome, 0, Grace));
    BOOST_TEST(Gateway::isStopDone(callersCome + std::chrono::seconds(1), 0, Grace));
    BOOST_TEST(!Gateway::isStopDone(callersCome + std::chrono::seconds(1), 1, Grace));
    BOOST_TEST(Gateway::isStopDone(std::chrono::milliseconds(7500), 1, Grace));
}

BOOST_AUTO_TEST_CASE(callers_forget_a_stopping_gateway_before_its_grace_ends)
{
    for (const int seconds : {1, 2, 4, 8, 30}) {
        const Duration grace = std::chrono::seconds(seconds);
        BOOST_TEST((gatewayListTtl(grace) * MaxTtlOverrunFactor < grace));
    }
    BOOST_TEST((gatewayListTtl(std::chrono::seconds(60)) <= std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(only_whole_events_are_passed_on)
{
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    BOOST_TEST(splitter.take("id: 1\nda", events).empty());
    BOOST_TEST(splitter.take("ta: one\n\nid: 2\ndata: t", events) == "id: 1\ndata: one\n\n");
    BOOST_TEST(splitter.rest() == "id: 2\ndata: t");
    BOOST_TEST(splitter.take("wo\r\n\r\n", events) == "id: 2\ndata: two\r\n\r\n");
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].data == "one");
    BOOST_TEST(events[1].id == "2");
    BOOST_TEST(events[1].data == "two");
}

BOOST_AUTO_TEST_CASE(data_of_several_lines_is_joined)
{
    const StreamEvent event = parseEvent("data: a\ndata:b\n: comment\nevent: x\n\n");
    BOOST_TEST(event.data == "a\nb");
    BOOST_TEST(event.hasData);
    BOOST_TEST(!parseEvent(": ping\n\n").hasData);
}
