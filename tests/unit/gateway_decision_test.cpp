/** @file gateway_decision_test.cpp  Endpoint selection, request priority, graceful shutdown and splitting of event
 * streams. */
#define BOOST_TEST_MODULE gateway_decision
#include <boost/test/unit_test.hpp>

#include "core/hash_func.h"
#include "gateway/event_split_func.h"
#include "gateway/gateway_base.h"
#include "gateway/load_balancer_base.h"
#include "gateway/request_priority_func.h"

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

unsigned priorityAt(std::int64_t msLeft)
{
    return requestPriority({1, true, Milliseconds(msLeft)});
}

} // namespace

BOOST_AUTO_TEST_CASE(all_gateways_select_the_same_endpoint_for_a_program)
{
    LoadBalancer one;
    LoadBalancer other;
    one.setEndpoints(Instant(1), endpoints(9));
    auto reversed = endpoints(9);
    std::reverse(reversed.begin(), reversed.end());
    other.setEndpoints(Instant(1), reversed);
    for (std::uint64_t program = 1; program < 100; ++program) {
        const SelectionCriteria criteria{"model", program, "x"};
        BOOST_TEST(one.choose(Instant(1), criteria, {})->id == other.choose(Instant(1), criteria, {})->id);
    }
}

/** Guards against gateways that all take the same one of several endpoints of which they know nothing new: at 54
 * gateways the busiest of 17 endpoints once got 3.9 times the requests of the average. */
BOOST_AUTO_TEST_CASE(gateways_without_fresh_reports_spread_requests_over_endpoints_that_report_their_pace)
{
    constexpr unsigned Gateways = 54;
    constexpr unsigned Requests = 6000;
    constexpr Duration Interval = std::chrono::milliseconds(2);
    std::vector<LoadBalancer> balancers(Gateways);
    for (LoadBalancer &balancer : balancers) {
        balancer.setEndpoints(Instant(1), endpoints(6));
        balancer.recordLoad(Instant(1), "e0", EndpointLoad{0, 0, 8, 100});
    }
    std::map<std::string, unsigned> counts;
    Instant now(1);
    for (unsigned i = 0; i < Requests; ++i) {
        LoadBalancer &balancer = balancers[i * 7 % Gateways];
        SelectionCriteria criteria{"model", 0, "x"};
        criteria.tieBreaker = hash64(std::to_string(i));
        const std::string chosen = balancer.choose(now, criteria, {})->id;
        balancer.recordLoad(now, chosen, EndpointLoad{1, 0, 8, 100});
        ++counts[chosen];
        now += Interval;
    }
    for (const auto &[endpoint, count] : counts) {
        BOOST_TEST(count < Requests / 6 * 13 / 10);
    }
    BOOST_TEST(counts.size() == 6U);
}

BOOST_AUTO_TEST_CASE(endpoint_slowed_by_its_neighbours_is_avoided_while_its_report_is_fresh)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Instant(1), endpoints(2));
    balancer.recordLoad(Instant(1), "e0", EndpointLoad{1, 0, 8, 250});
    balancer.recordLoad(Instant(1), "e1", EndpointLoad{3, 0, 8, 100});
    for (std::uint64_t request = 0; request < 50; ++request) {
        SelectionCriteria criteria{"model", 0, "x"};
        criteria.tieBreaker = request;
        BOOST_TEST(balancer.choose(Instant(2), criteria, {})->id == "e1");
    }
}

BOOST_AUTO_TEST_CASE(affinity_holds_until_the_endpoint_is_overloaded)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Instant(1), endpoints(3));
    const SelectionCriteria criteria{"model", 42, "x"};
    const std::string preferred = balancer.choose(Instant(1), criteria, {})->id;
    balancer.recordLoad(Instant(1), preferred, EndpointLoad{8, 4, 8});
    BOOST_TEST(balancer.choose(Instant(2), criteria, {})->id == preferred);
    balancer.recordLoad(Instant(1), preferred, EndpointLoad{8, 8, 8});
    BOOST_TEST(balancer.choose(Instant(2), criteria, {})->id != preferred);
    BOOST_TEST(balancer.choose(Instant(1000000), criteria, {})->id == preferred); // The load report has expired.
}

BOOST_AUTO_TEST_CASE(draining_and_tried_endpoints_are_not_selected)
{
    LoadBalancer balancer;
    auto list = endpoints(3);
    list[0].leaving = true;
    balancer.setEndpoints(Instant(1), list);
    const SelectionCriteria criteria{"model", 0, "x"};
    BOOST_TEST(balancer.choose(Instant(1), criteria, {"e1"})->id == "e2");
    BOOST_TEST(balancer.choose(Instant(1), criteria, {"e1", "e2"}) == nullptr);
    BOOST_TEST(!balancer.isUsable("e0"));
}

BOOST_AUTO_TEST_CASE(stream_goes_on_only_at_the_version_that_began_it)
{
    auto list = endpoints(6);
    for (std::size_t i = 0; i < list.size(); ++i) {
        list[i].version = i == 5 ? "" : i % 2 == 0 ? "v1" : "v2";
    }
    LoadBalancer loadBalancer;
    loadBalancer.setEndpoints(Instant(1), list);
    BOOST_TEST(loadBalancer.commonVersion(Instant(1), "model").empty());
    for (std::uint64_t program = 0; program < 50; ++program) { // 0 stands for no affinity.
        for (const std::string version : {"v1", "v2"}) {
            std::set<std::string> tried;
            SelectionCriteria criteria{"model", program, "x"};
            criteria.version = version;
            while (const DeployedEndpoint *chosen = loadBalancer.choose(Instant(1), criteria, tried)) {
                BOOST_TEST(chosen->version == version);
                tried.insert(chosen->id);
                loadBalancer.recordFailure(Instant(1), chosen->id);
            }
            BOOST_TEST(tried.size() == (version == "v1" ? 3U : 2U));
            for (const std::string &id : tried) {
                loadBalancer.recordSuccess(Instant(1), id);
            }
        }
    }
    SelectionCriteria unknown{"model", 1, "x"};
    unknown.version = "";
    BOOST_TEST(loadBalancer.choose(Instant(1), unknown, {}) == nullptr);
    for (DeployedEndpoint &endpoint : list) {
        endpoint.version = "v2";
    }
    const Instant released = Instant(1) + std::chrono::seconds(100);
    loadBalancer.setEndpoints(released, list);
    BOOST_TEST(loadBalancer.commonVersion(released + std::chrono::seconds(59), "model").empty());
    BOOST_TEST(loadBalancer.commonVersion(released + std::chrono::seconds(61), "model") == "v2");
    BOOST_TEST(loadBalancer.commonVersion(released, "other").empty());
}

BOOST_AUTO_TEST_CASE(endpoint_that_states_that_it_leaves_is_avoided_until_it_is_no_longer_listed)
{
    constexpr Duration DrainPeriod = std::chrono::seconds(3);
    LoadBalancer loadBalancer(DrainPeriod);
    const auto list = endpoints(3);
    loadBalancer.setEndpoints(Instant(1), list);
    BOOST_TEST(loadBalancer.recordLeaving(Instant(2), "e1"));
    BOOST_TEST(!loadBalancer.recordLeaving(Instant(3), "e1"));
    loadBalancer.setEndpoints(Instant(4), list); // An old list still shows it as ready.
    BOOST_TEST(!loadBalancer.isUsable("e1"));
    for (std::uint64_t program = 0; program < 50; ++program) {
        std::set<std::string> tried;
        while (const DeployedEndpoint *chosen = loadBalancer.choose(Instant(5), {"model", program, "x"}, tried)) {
            tried.insert(chosen->id);
            if (tried.size() < 3) {
                BOOST_TEST(chosen->id != "e1"); // Last, as there is no other.
            }
        }
    }
    auto successor = list;
    successor[1].id = "e9"; // Another incarnation at the same address.
    loadBalancer.setEndpoints(Instant(6), successor);
    BOOST_TEST(loadBalancer.isUsable("e9"));
    loadBalancer.setEndpoints(Instant(7), list);
    BOOST_TEST(loadBalancer.isUsable("e1"));
}

BOOST_AUTO_TEST_CASE(leaving_endpoint_without_alternative_is_used_only_early_in_its_drain_period)
{
    constexpr Duration DrainPeriod = std::chrono::seconds(3);
    const SelectionCriteria criteria{"model", 7, "x"};
    for (const bool isStated : {true, false}) {
        LoadBalancer loadBalancer(DrainPeriod);
        auto list = endpoints(1);
        loadBalancer.setEndpoints(Instant(1), list);
        list[0].leaving = !isStated;
        loadBalancer.setEndpoints(Instant(1), list);
        BOOST_TEST(loadBalancer.recordLeaving(Instant(1), "e0"));
        BOOST_TEST(loadBalancer.choose(Instant(1) + DrainPeriod / 3, criteria, {}) != nullptr);
        BOOST_TEST(loadBalancer.choose(Instant(1) + DrainPeriod * 2 / 3, criteria, {}) == nullptr);
    }
    LoadBalancer restarted(DrainPeriod); // It can't know for how long the endpoint has been leaving.
    auto list = endpoints(1);
    list[0].leaving = true;
    restarted.setEndpoints(Instant(1), list);
    BOOST_TEST(restarted.choose(Instant(2), criteria, {}) == nullptr);
}

BOOST_AUTO_TEST_CASE(failed_endpoint_is_avoided_unless_it_is_the_only_one)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Instant(1), endpoints(2));
    const SelectionCriteria criteria{"model", 7, "x"};
    const std::string preferred = balancer.choose(Instant(1), criteria, {})->id;
    balancer.recordFailure(Instant(1), preferred);
    BOOST_TEST(balancer.choose(Instant(2), criteria, {})->id != preferred);
    BOOST_TEST(balancer.choose(Instant(300000), criteria, {})->id == preferred);
    const std::string other = preferred == "e0" ? "e1" : "e0";
    balancer.recordFailure(Instant(300000), preferred);
    BOOST_TEST(balancer.choose(Instant(300001), criteria, {other})->id == preferred);
}

BOOST_AUTO_TEST_CASE(outlier_is_ejected_and_readmitted)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Instant(1), endpoints(9));
    Instant now(1);
    const SelectionCriteria criteria{"model", 7, "x"};
    const std::string outlier = balancer.choose(now, criteria, {})->id;
    for (int i = 0; i < 30; ++i) {
        i % 5 < 2 ? balancer.recordError(now, outlier) : balancer.recordSuccess(now, outlier);
    }
    BOOST_TEST(balancer.choose(now, criteria, {})->id != outlier);
    now += std::chrono::seconds(3);
    BOOST_TEST(balancer.choose(now, criteria, {})->id == outlier);
}

BOOST_AUTO_TEST_CASE(ejection_requires_an_outlier_and_is_limited_to_a_third)
{
    LoadBalancer alike;
    alike.setEndpoints(Instant(1), endpoints(9));
    const SelectionCriteria criteria{"model", 7, "x"};
    const std::string preferred = alike.choose(Instant(1), criteria, {})->id;
    for (int i = 0; i < 30; ++i) {
        for (int e = 0; e < 9; ++e) {
            alike.recordError(Instant(1), "e" + std::to_string(e));
        }
    }
    BOOST_TEST(alike.choose(Instant(1), criteria, {})->id == preferred);
    LoadBalancer many;
    many.setEndpoints(Instant(1), endpoints(9));
    for (int i = 0; i < 30; ++i) {
        for (int e = 0; e < 4; ++e) {
            many.recordError(Instant(1), "e" + std::to_string(e));
        }
    }
    std::set<std::string> used;
    for (std::uint64_t program = 1; program < 1000; ++program) {
        used.insert(many.choose(Instant(1), {"model", program, "x"}, {})->id);
    }
    BOOST_TEST(used.size() == 6U);
}

BOOST_AUTO_TEST_CASE(requests_without_affinity_go_to_the_least_loaded_endpoint)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Instant(1), endpoints(2));
    balancer.recordRequestStart("e0");
    BOOST_TEST(balancer.choose(Instant(1), {"model", 0, "x"}, {})->id == "e1");
    balancer.recordRequestStart("e1");
    balancer.recordRequestStart("e1");
    BOOST_TEST(balancer.choose(Instant(1), {"model", 0, "x"}, {})->id == "e0");
}

BOOST_AUTO_TEST_CASE(nearest_deadline_has_priority_and_late_programs_come_last)
{
    BOOST_TEST(priorityAt(200) < priorityAt(700));
    BOOST_TEST(priorityAt(700) < priorityAt(2000));
    BOOST_TEST(priorityAt(2000) < priorityAt(5000));
    BOOST_TEST(priorityAt(5000) < priorityAt(-1));
    BOOST_TEST(priorityAt(60000) < priorityAt(0));
    BOOST_TEST(priorityAt(-100000) <= LowestPriority);
}

/** Simulates a burst of programs at an endpoint that runs eight turns at once, each for 100 ms. More programs must meet
 * their deadlines if turns are run by priority than if they are run in order of arrival. */
BOOST_AUTO_TEST_CASE(priority_order_meets_more_deadlines_than_arrival_order)
{
    struct Program
    {
        int turnsLeft = 0; ///< Turns that aren't finished yet.
        int arrived = 0; ///< Arrival time of the waiting turn, in milliseconds.
        int due = 0; ///< Deadline of the program, in milliseconds.
        int runsUntil = -1; ///< End of the running turn in milliseconds; -1 while the turn waits.
    };
    const auto simulate = [](bool byPriority) {
        std::vector<Program> programs;
        int inTime = 0;
        for (int now = 0; now < 6000; now += 10) {
            // 50 programs per second with 1 to 4 turns; 32 turns per second exceed the capacity.
            if (now < 2000 && now % 20 == 0) {
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
                    const unsigned priority = byPriority ? priorityAt(one.due - now) : 0;
                    return std::pair(priority, one.arrived);
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
    BOOST_TEST(simulate(true) > simulate(false));
}

BOOST_AUTO_TEST_CASE(stopping_gateway_accepts_no_request_that_it_could_not_finish)
{
    for (const int graceSeconds : {1, 2, 4, 5, 8, 30}) {
        for (const int requestMs : {100, 500, 1200, 3000, 4000, 20000}) {
            const Duration grace = std::chrono::seconds(graceSeconds);
            const Duration longest = std::chrono::milliseconds(requestMs);
            const ShutdownSchedule schedule = shutdownSchedule(grace, longest);
            BOOST_TEST((schedule.endIdleAfter <= schedule.acceptFor && schedule.acceptFor <= schedule.endAfter));
            BOOST_TEST((schedule.endAfter < grace));
            // One life of a list of gateways has to pass before the port is closed, however long requests may take.
            const bool finishes = schedule.acceptFor + longest < schedule.endAfter;
            BOOST_TEST((finishes || schedule.acceptFor <= gatewayListTtl(grace) + std::chrono::milliseconds(200)));
            BOOST_TEST((schedule.endIdleAfter >= std::min(gatewayListTtl(grace), schedule.endAfter)));
        }
    }
}

BOOST_AUTO_TEST_CASE(graceful_shutdown_waits_for_clients_and_requests_within_the_grace_period)
{
    for (const int requestMs : {100, 1000, 3000, 20000}) {
        const Duration grace = std::chrono::seconds(8);
        const ShutdownSchedule schedule = shutdownSchedule(grace, std::chrono::milliseconds(requestMs));
        BOOST_TEST(!schedule.isDone(gatewayListTtl(grace), 0));
        BOOST_TEST(!schedule.isDone(schedule.endIdleAfter - Duration(1), 0));
        BOOST_TEST(schedule.isDone(schedule.endIdleAfter, 0));
        BOOST_TEST(!schedule.isDone(schedule.acceptFor, 1));
        BOOST_TEST(!schedule.isDone(schedule.endAfter - Duration(1), 1));
        BOOST_TEST(schedule.isDone(schedule.endAfter, 1));
    }
}

BOOST_AUTO_TEST_CASE(clients_drop_a_stopping_gateway_before_its_grace_period_ends)
{
    for (const int seconds : {1, 2, 4, 8, 30}) {
        const Duration grace = std::chrono::seconds(seconds);
        BOOST_TEST((gatewayListTtl(grace) * MaxTtlOverrunFactor < grace));
    }
    BOOST_TEST((gatewayListTtl(std::chrono::seconds(60)) <= std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(splitter_returns_only_complete_events)
{
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    BOOST_TEST(splitter.append("id: 1\nda", events).empty());
    BOOST_TEST(splitter.append("ta: one\n\nid: 2\ndata: t", events) == "id: 1\ndata: one\n\n");
    BOOST_TEST(splitter.remainder() == "id: 2\ndata: t");
    BOOST_TEST(splitter.append("wo\r\n\r\n", events) == "id: 2\ndata: two\r\n\r\n");
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].data == "one");
    BOOST_TEST(events[1].id == "2");
    BOOST_TEST(events[1].data == "two");
}

BOOST_AUTO_TEST_CASE(stream_that_ends_within_an_event_or_a_line_is_told_from_a_whole_one)
{
    const std::string whole = "id: 1\ndata: one\n\n";
    for (const std::string rest : {"", ": comment\n", ": a\n: b\r\n"}) {
        EventSplitter splitter;
        std::vector<StreamEvent> events;
        std::ignore = splitter.append(whole + rest, events);
        BOOST_TEST(!splitter.isInsideEvent(), rest);
    }
    for (const std::string rest : {"i", "id: 2\n", ": comment", ": a\n: b", ": a\nid: 2\n", "data: x\r\n\r", "\r"}) {
        EventSplitter splitter;
        std::vector<StreamEvent> events;
        std::ignore = splitter.append(whole + rest, events);
        BOOST_TEST(splitter.isInsideEvent(), rest);
    }
}

BOOST_AUTO_TEST_CASE(events_are_the_same_in_whatever_parts_they_arrive)
{
    const std::string text = "id: 1\r\ndata: one\r\n\r\n: c\n\n\nid: 2\ndata: a\ndata: b\n\ndata: rest\r\n";
    EventSplitter whole;
    std::vector<StreamEvent> expected;
    const std::string ready = whole.append(text, expected);
    BOOST_REQUIRE(expected.size() == 4U);
    for (std::size_t partBytes = 1; partBytes < text.size(); ++partBytes) {
        EventSplitter splitter;
        std::vector<StreamEvent> events;
        std::string relayed;
        for (std::size_t at = 0; at < text.size(); at += partBytes) {
            relayed += splitter.append(std::string_view(text).substr(at, partBytes), events);
        }
        BOOST_TEST(relayed == ready);
        BOOST_TEST(splitter.remainder() == whole.remainder());
        BOOST_REQUIRE(events.size() == expected.size());
        for (std::size_t i = 0; i < events.size(); ++i) {
            BOOST_TEST(events[i].data == expected[i].data);
            BOOST_TEST(events[i].id == expected[i].id);
        }
    }
}

BOOST_AUTO_TEST_CASE(largest_responses_are_given_up_when_memory_runs_out)
{
    constexpr std::size_t Kilobyte = 1U << 10U;
    ResponseMemory memory(1000 * Kilobyte);
    unsigned released = 0;
    const auto release = [&released]() {
        ++released;
    };
    ResponseMemory::Share large(memory, release);
    ResponseMemory::Share medium(memory, release);
    ResponseMemory::Share small(memory, release);
    BOOST_TEST(small.resize(10 * Kilobyte));
    BOOST_TEST(medium.resize(400 * Kilobyte));
    BOOST_TEST(large.resize(500 * Kilobyte));
    BOOST_TEST(small.resize(50 * Kilobyte));
    BOOST_TEST(released == 0U);
    BOOST_TEST(medium.resize(460 * Kilobyte)); // The larger one makes room.
    BOOST_TEST(released == 1U);
    BOOST_TEST(large.isGivenUp());
    BOOST_TEST(!large.resize(Kilobyte));
    large.restart();
    BOOST_TEST(large.resize(490 * Kilobyte));
    medium.pin();
    large.pin();
    BOOST_TEST(small.resize(60 * Kilobyte)); // Nothing can be freed, and small responses are never given up.
    BOOST_TEST(!small.resize(100 * Kilobyte));
    BOOST_TEST(released == 2U);
}

BOOST_AUTO_TEST_CASE(multiple_data_lines_are_joined)
{
    const StreamEvent event = parseEvent("data: a\ndata:b\n: comment\nevent: x\n\n");
    BOOST_TEST(event.data == "a\nb");
    BOOST_TEST(event.hasData);
    BOOST_TEST(!parseEvent(": ping\n\n").hasData);
}
