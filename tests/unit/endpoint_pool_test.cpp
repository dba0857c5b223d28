/** @file endpoint_pool_test.cpp  Decisions of the owner of a pool of endpoints, for single turns. No network. */
#define BOOST_TEST_MODULE endpoint_pool
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "dispatch/customer_share_base.h"
#include "dispatch/endpoint_pool_base.h"
#include "dispatch/program_demand_base.h"
#include "dispatch/program_table_base.h"
#include "dispatch/prompt_limit_func.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

constexpr double ReadTokensPerMs = 123; ///< Of the test's endpoints.
constexpr std::uint32_t Stride = 17; ///< Output tokens of an event.

/** A pool with a simulated clock and endpoints that take exactly the time that the priors say, times a factor. */
struct Fixture
{
    explicit Fixture(std::size_t count = 2, unsigned slots = 6, std::uint64_t memoryTokens = 69635)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->list.push_back({std::string(1, static_cast<char>('a' + i)), slots, memoryTokens, "v1", true});
            this->factors[this->list.back().id] = 1;
        }
        PoolParameters parameters;
        parameters.strideTokens = Stride;
        this->pool.setParameters(parameters);
        this->pool.setEndpoints(this->now, this->list);
    }

    TurnRequest request(std::uint32_t promptTokens = 1200)
    {
        TurnRequest result;
        result.ticket = ++this->lastTicket;
        result.holder = "gateway-1";
        result.customer = 1;
        result.promptTokens = promptTokens;
        result.outputTokens = 256;
        result.expectedTokens = 68;
        result.deadline = this->now + 5s;
        return result;
    }
    TurnRequest programRequest(std::uint64_t program, std::chrono::milliseconds total)
    {
        TurnRequest result = this->request();
        result.program = program;
        result.programTotal = total;
        result.programDeadline = this->now + total;
        return result;
    }
    TurnOutcome outcome(const TurnDecision &decision, double ms) const
    {
        TurnOutcome result;
        result.ticket = decision.ticket;
        result.holder = decision.holder;
        result.tokens = 68;
        result.firstEvent = Duration(static_cast<std::int64_t>(ms * 0.32 * 1000));
        result.total = Duration(static_cast<std::int64_t>(ms * 1000));
        return result;
    }
    /** Runs one turn alone at @p id; it takes the usual time of an idle endpoint times @p factor. */
    void runAt(const std::string &id, double factor)
    {
        TurnRequest turn = this->request();
        for (const PoolEndpoint &other : this->list) {
            if (other.id != id) {
                turn.excluded.push_back(other.id);
            }
        }
        const TurnDecision decision = this->pool.submit(this->now, turn);
        BOOST_REQUIRE(decision.verdict == TurnVerdict::Granted);
        const double usualMs = 45 + 1200 / ReadTokensPerMs + (68 - Stride) * 2.3;
        this->now += Duration(static_cast<std::int64_t>(usualMs * factor * 1000));
        this->pool.release(this->now, this->outcome(decision, usualMs * factor));
    }
    double speedOf(const std::string &id)
    {
        for (const EndpointForecast &forecast : this->pool.forecast(this->now, this->request())) {
            if (forecast.endpoint == id) {
                return forecast.speed;
            }
        }
        BOOST_FAIL("no forecast for " + id);
        return 0;
    }

    Instant now{1000000}; ///< Simulated time.
    std::vector<PoolEndpoint> list; ///< Endpoints of the pool.
    std::map<std::string, double> factors; ///< Speed of each.
    EndpointPool pool; ///< Under test.
    std::uint64_t lastTicket = 0; ///< Last ticket.
};

} // namespace

/** Guards against grants beyond the slots: the endpoint would queue the turn where nobody sees it. */
BOOST_AUTO_TEST_CASE(no_more_turns_than_slots)
{
    Fixture fixture(2, 3);
    std::vector<TurnDecision> decisions;
    decisions.reserve(8);
    for (int i = 0; i < 8; ++i) {
        decisions.push_back(fixture.pool.submit(fixture.now, fixture.request()));
    }
    std::map<std::string, int> at;
    for (const TurnDecision &decision : decisions) {
        at[decision.endpoint] += decision.verdict == TurnVerdict::Granted ? 1 : 0;
    }
    BOOST_TEST(at["a"] == 3);
    BOOST_TEST(at["b"] == 3);
    BOOST_TEST(fixture.pool.waitingCount() == 2U);
    BOOST_TEST(fixture.pool.takeGrants(fixture.now).empty());
    BOOST_TEST((decisions.back().predictedWait > 0ms));

    fixture.now += 170ms;
    fixture.pool.release(fixture.now, fixture.outcome(decisions[0], 170));
    const auto grants = fixture.pool.takeGrants(fixture.now);
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants[0].endpoint == decisions[0].endpoint);
    BOOST_TEST(grants[0].ticket == decisions[6].ticket);
    BOOST_TEST((grants[0].predictedWait == 170ms));
}

/** Guards against a turn that runs twice or takes two slots because a message was sent again. */
BOOST_AUTO_TEST_CASE(resent_tickets_get_their_present_state)
{
    Fixture fixture(1, 1);
    const TurnRequest first = fixture.request();
    const TurnRequest second = fixture.request();
    BOOST_TEST((fixture.pool.submit(fixture.now, first).verdict == TurnVerdict::Granted));
    BOOST_TEST((fixture.pool.submit(fixture.now, second).verdict == TurnVerdict::Waiting));
    const TurnDecision again = fixture.pool.submit(fixture.now, first);
    BOOST_TEST((again.verdict == TurnVerdict::Granted));
    BOOST_TEST(again.endpoint == "a");
    BOOST_TEST((fixture.pool.submit(fixture.now, second).verdict == TurnVerdict::Waiting));
    BOOST_TEST(fixture.pool.runningCount() == 1U);
    BOOST_TEST(fixture.pool.waitingCount() == 1U);
    // The same ticket of another holder is another turn.
    TurnRequest other = first;
    other.holder = "gateway-2";
    BOOST_TEST((fixture.pool.submit(fixture.now, other).verdict == TurnVerdict::Waiting));
}

/** Guards against slots that stay taken after a cancellation, the death of a gateway, or an outcome that never comes.
 */
BOOST_AUTO_TEST_CASE(slots_are_freed_without_outcome)
{
    Fixture fixture(1, 2);
    const TurnRequest cancelled = fixture.request();
    TurnRequest orphan = fixture.request();
    orphan.holder = "gateway-2";
    fixture.pool.submit(fixture.now, cancelled);
    fixture.pool.submit(fixture.now, orphan);
    TurnRequest waiting = fixture.request();
    waiting.holder = "gateway-2";
    BOOST_TEST((fixture.pool.submit(fixture.now, waiting).verdict == TurnVerdict::Waiting));
    fixture.pool.dropHolder(fixture.now, "gateway-2");
    BOOST_TEST(fixture.pool.waitingCount() == 0U);
    BOOST_TEST(fixture.pool.runningCount() == 1U);
    fixture.pool.cancel(fixture.now, cancelled.holder, cancelled.ticket);
    fixture.pool.cancel(fixture.now, cancelled.holder, cancelled.ticket);
    BOOST_TEST(fixture.pool.runningCount() == 0U);

    fixture.pool.submit(fixture.now, fixture.request());
    fixture.now += 5501ms; // Past its deadline and the margin.
    fixture.pool.takeGrants(fixture.now);
    BOOST_TEST(fixture.pool.runningCount() == 0U);
    fixture.pool.release(fixture.now, TurnOutcome{});
}

/** Guards against use of endpoints that a request must not use, and against waiting for one that can't come. */
BOOST_AUTO_TEST_CASE(versions_exclusions_and_unusable_endpoints)
{
    Fixture fixture(3);
    fixture.list[1].version = "v2";
    fixture.list[2].isUsable = false;
    fixture.pool.setEndpoints(fixture.now, fixture.list);
    TurnRequest versioned = fixture.request();
    versioned.version = "v2";
    BOOST_TEST(fixture.pool.submit(fixture.now, versioned).endpoint == "b");
    TurnRequest excluding = fixture.request();
    excluding.excluded = {"a", "b"};
    const TurnDecision refused = fixture.pool.submit(fixture.now, excluding);
    BOOST_TEST((refused.verdict == TurnVerdict::Refused));
    BOOST_TEST(refused.reason == "no endpoint allowed");

    // A waiting turn is refused when its last allowed endpoint goes.
    Fixture single(1, 1);
    single.pool.submit(single.now, single.request());
    BOOST_TEST((single.pool.submit(single.now, single.request()).verdict == TurnVerdict::Waiting));
    single.pool.setEndpoints(single.now, {});
    BOOST_TEST(single.pool.runningCount() == 1U);
    const auto decisions = single.pool.takeGrants(single.now);
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST((decisions[0].verdict == TurnVerdict::Refused));
}

/** Guards against turns that wait although they can't be served, and against refusals without a time for the retry. */
BOOST_AUTO_TEST_CASE(refuses_what_cannot_meet_its_deadline)
{
    Fixture fixture(1, 1);
    fixture.pool.submit(fixture.now, fixture.request());
    TurnRequest hurried = fixture.request();
    hurried.deadline = fixture.now + 200ms; // A turn takes some 170 ms, and the slot is free after as long.
    const TurnDecision refused = fixture.pool.submit(fixture.now, hurried);
    BOOST_TEST((refused.verdict == TurnVerdict::Refused));
    BOOST_TEST((refused.predictedWait >= 100ms));
    TurnRequest past = fixture.request();
    past.deadline = fixture.now;
    BOOST_TEST((fixture.pool.submit(fixture.now, past).verdict == TurnVerdict::Refused));
    TurnRequest patient = fixture.request();
    BOOST_TEST((fixture.pool.submit(fixture.now, patient).verdict == TurnVerdict::Waiting));
    fixture.now = patient.deadline;
    // The first turn never ended.
    const auto decisions = fixture.pool.takeGrants(fixture.now);
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST((decisions[0].verdict == TurnVerdict::Refused));
}

/** Guards against preemption: with prompts of 12,000 tokens, memory is used up before the slots are. */
BOOST_AUTO_TEST_CASE(memory_limits_turns)
{
    Fixture fixture(1);
    int granted = 0;
    for (int i = 0; i < 6; ++i) {
        granted += fixture.pool.submit(fixture.now, fixture.request(20000)).verdict == TurnVerdict::Granted ? 1 : 0;
        fixture.now += 200ms; // The last prompt is read.
        for (const TurnDecision &decision : fixture.pool.takeGrants(fixture.now)) {
            granted += decision.verdict == TurnVerdict::Granted ? 1 : 0;
        }
    }
    BOOST_TEST(granted == 3);
    // A turn that is larger than the memory runs alone instead of never.
    Fixture small(1, 6, 1000);
    BOOST_TEST((small.pool.submit(small.now, small.request()).verdict == TurnVerdict::Granted));
    BOOST_TEST((small.pool.submit(small.now, small.request()).verdict == TurnVerdict::Waiting));
}

/** Guards against programs that are late because an endpoint's speed isn't known: three turns must suffice to tell one
 * that is 2.4 times as slow, from short and from long turns. */
BOOST_AUTO_TEST_CASE(slow_endpoint_is_known_after_three_turns)
{
    Fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.runAt("a", 0.7);
        fixture.runAt("b", 1.7);
    }
    BOOST_TEST(fixture.speedOf("b") / fixture.speedOf("a") > 1.6);
    // With free slots at the fast endpoint nothing goes to the slow one.
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(fixture.pool.submit(fixture.now, fixture.request()).endpoint == "a");
    }
}

/** Guards against an endpoint that loses its turns because one of them took unusually long. */
BOOST_AUTO_TEST_CASE(single_outlier_does_not_make_an_endpoint_slow)
{
    Fixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.runAt("a", 1);
        fixture.runAt("b", 1);
    }
    fixture.runAt("b", 8);
    BOOST_TEST(fixture.speedOf("b") / fixture.speedOf("a") < 1.2);
    fixture.now += 2s; // The pace is forgotten.
    for (const EndpointForecast &forecast : fixture.pool.forecast(fixture.now, fixture.request())) {
        BOOST_TEST(forecast.pace < 1.05);
    }
}

/** Guards against an estimate that never recovers because a slow endpoint gets no turns. */
BOOST_AUTO_TEST_CASE(endpoint_that_was_slow_is_tried_again)
{
    Fixture fixture;
    for (int i = 0; i < 8; ++i) {
        fixture.runAt("a", 1);
        fixture.runAt("b", 2.4);
    }
    int probes = 0;
    for (int second = 0; second < 30; ++second) {
        TurnRequest turn = fixture.programRequest(100 + static_cast<std::uint64_t>(second), 5000ms);
        const TurnDecision decision = fixture.pool.submit(fixture.now, turn);
        BOOST_TEST_INFO(decision.reason);
        BOOST_REQUIRE(decision.verdict == TurnVerdict::Granted);
        probes += decision.endpoint == "b" ? 1 : 0;
        fixture.now += 170ms;
        fixture.pool.release(fixture.now, fixture.outcome(decision, 172));
        fixture.now += 830ms;
    }
    BOOST_TEST(probes > 2);
    BOOST_TEST(fixture.speedOf("b") / fixture.speedOf("a") < 1.5);
}

/** Guards against turns that are sent to an endpoint while a neighbour on its host slows it down. */
BOOST_AUTO_TEST_CASE(reported_pace_is_used_and_forgotten)
{
    Fixture fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.runAt("a", 0.9);
        fixture.runAt("b", 1);
    }
    fixture.pool.recordLoad(fixture.now, "a", ReportedLoad{0, 0, 6, 250});
    const TurnDecision decision = fixture.pool.submit(fixture.now, fixture.request());
    BOOST_TEST(decision.endpoint == "b");
    fixture.pool.cancel(fixture.now, decision.holder, decision.ticket);
    fixture.now += 2s;
    BOOST_TEST(fixture.pool.submit(fixture.now, fixture.request()).endpoint == "a");
    // What the endpoint reports beyond the grants takes slots, also several times as many as it has.
    for (int i = 0; i < 20; ++i) {
        fixture.pool.recordLoad(fixture.now, "b", ReportedLoad{6, 40, 6, 0});
    }
    for (const EndpointForecast &forecast : fixture.pool.forecast(fixture.now, fixture.request())) {
        BOOST_TEST(forecast.isFree == (forecast.endpoint == "a"));
    }
}

/** Guards against long prompts that are read at one endpoint one after another while the turns there stand still, and
 * against long prompts that wait without bound. */
BOOST_AUTO_TEST_CASE(long_prompts_spread_and_wait_for_a_bounded_time)
{
    Fixture fixture;
    std::map<std::string, int> at;
    std::vector<TurnRequest> waiting;
    for (int i = 0; i < 4; ++i) {
        const TurnRequest turn = fixture.request(14000);
        const TurnDecision decision = fixture.pool.submit(fixture.now, turn);
        ++at[decision.endpoint];
        if (decision.verdict == TurnVerdict::Waiting) {
            waiting.push_back(turn);
        }
    }
    BOOST_TEST(at["a"] == 1);
    BOOST_TEST(at["b"] == 1);
    BOOST_TEST(waiting.size() == 2U);
    // A short prompt doesn't wait behind long ones that wait.
    BOOST_TEST((fixture.pool.submit(fixture.now, fixture.request(100)).verdict == TurnVerdict::Granted));
    // Short prompts that keep arriving don't keep the long ones out for longer than their bound.
    std::size_t started = 0;
    for (int ms = 0; ms < 500; ms += 5) {
        fixture.now += 5ms;
        for (const TurnDecision &decision : fixture.pool.takeGrants(fixture.now)) {
            started += std::count_if(waiting.begin(), waiting.end(), [&](const TurnRequest &turn) {
                return turn.ticket == decision.ticket && decision.verdict == TurnVerdict::Granted;
            });
        }
        if (ms % 20 == 0) {
            const TurnDecision decision = fixture.pool.submit(fixture.now, fixture.request(2400));
            fixture.pool.cancel(fixture.now, decision.holder, decision.ticket);
        }
    }
    BOOST_TEST(started == waiting.size());
}

/** Guards against a long prompt that is held back although its program has no time to spare. */
BOOST_AUTO_TEST_CASE(long_prompt_limit)
{
    BOOST_TEST(mayStartReading({120, 0, 1000}, 0));
    BOOST_TEST(!mayStartReading({120, 0, 1000}, 60));
    BOOST_TEST(mayStartReading({120, 250, 1000}, 60));
    BOOST_TEST(mayStartReading({120, 0, 0}, 60));
    BOOST_TEST(!mayStartReading({120, 0, 0}, 200));
    BOOST_TEST(mayStartReading({120, MaxLongWaitMs, 1e6}, 60));
    BOOST_TEST(mayStartReading({10, 0, 1000}, 60));
}

/** Guards against programs that are late because others with more time were served first. */
BOOST_AUTO_TEST_CASE(program_with_least_time_to_spare_is_first)
{
    Fixture fixture(1, 1);
    const TurnDecision running = fixture.pool.submit(fixture.now, fixture.request());
    // All are in progress: half of their time has passed.
    const auto waitingTurn = [&](std::uint64_t program, std::chrono::milliseconds total,
                                 std::chrono::milliseconds left) {
        TurnRequest turn = fixture.programRequest(program, total);
        turn.programDeadline = fixture.now + left;
        BOOST_TEST((fixture.pool.submit(fixture.now, turn).verdict == TurnVerdict::Waiting));
        return turn.ticket;
    };
    const std::uint64_t relaxed = waitingTurn(1, 2000ms, 1500ms);
    const std::uint64_t late = waitingTurn(2, 2000ms, 20ms);
    const std::uint64_t urgent = waitingTurn(3, 2000ms, 800ms);
    fixture.now += 170ms;
    fixture.pool.release(fixture.now, fixture.outcome(running, 170));
    std::vector<std::uint64_t> order;
    for (int i = 0; i < 3; ++i) {
        const auto grants = fixture.pool.takeGrants(fixture.now);
        BOOST_REQUIRE(grants.size() == 1U);
        order.push_back(grants[0].ticket);
        fixture.pool.cancel(fixture.now, grants[0].holder, grants[0].ticket);
    }
    BOOST_TEST(order == (std::vector<std::uint64_t>{urgent, relaxed, late}), boost::test_tools::per_element());
}

/** Guards against a customer that gets more than the others by sending more. */
BOOST_AUTO_TEST_CASE(customer_level_follows_service)
{
    CustomerShares shares;
    Instant now{1000000};
    for (int i = 0; i < 1000; ++i) {
        now += 5ms;
        shares.charge(now, i % 10 < 5 ? 1 : 2 + i % 5, 1, 200);
    }
    BOOST_TEST(shares.level(1) > 0);
    BOOST_TEST(shares.level(2) == 0);
    BOOST_TEST(shares.level(99) == 0);
    // With the weight that its rate gives it, the same service is no more than its share.
    for (int i = 0; i < 1000; ++i) {
        now += 5ms;
        shares.charge(now, i % 10 < 5 ? 1 : 2 + i % 5, i % 10 < 5 ? 5 : 1, 200);
    }
    BOOST_TEST(shares.level(1) == 0);
    // Service is forgotten.
    now += 60s;
    shares.charge(now, 2, 1, 100);
    BOOST_TEST(shares.level(1) == 0);
}

/** Guards against a new owner that gives away slots that are in use. */
BOOST_AUTO_TEST_CASE(adopted_turns_take_slots)
{
    Fixture fixture(1, 2);
    const TurnRequest first = fixture.request();
    const TurnRequest second = fixture.request();
    fixture.pool.adopt(fixture.now, first, "a");
    fixture.pool.adopt(fixture.now, first, "a");
    BOOST_TEST(fixture.pool.runningCount() == 1U);
    fixture.pool.submit(fixture.now, second);
    BOOST_TEST((fixture.pool.submit(fixture.now, fixture.request()).verdict == TurnVerdict::Waiting));
    fixture.pool.adopt(fixture.now, fixture.request(), "unknown");
    TurnOutcome outcome;
    outcome.ticket = first.ticket;
    outcome.holder = first.holder;
    outcome.notRun = true;
    fixture.pool.release(fixture.now, outcome);
    BOOST_TEST(fixture.pool.takeGrants(fixture.now).size() == 1U);
    // A waiting turn that a gateway says it runs is no longer given a slot.
    const TurnRequest waiting = fixture.request();
    BOOST_TEST((fixture.pool.submit(fixture.now, waiting).verdict == TurnVerdict::Waiting));
    fixture.pool.adopt(fixture.now, waiting, "a");
    BOOST_TEST(fixture.pool.waitingCount() == 0U);
}

/** Guards against memory that grows with the programs, customers and turns seen. */
BOOST_AUTO_TEST_CASE(tables_are_bounded)
{
    ProgramTable programs;
    for (std::uint64_t program = 1; program <= 3 * ProgramTable::MaxPrograms; ++program) {
        programs.use(program).turns = 1;
        programs.use(1);
    }
    BOOST_TEST(programs.size() == ProgramTable::MaxPrograms);
    BOOST_TEST(programs.find(1) != nullptr);
    BOOST_TEST(programs.find(2) == nullptr);

    Fixture fixture(1, 1);
    for (std::size_t i = 0; i < 2 * EndpointPool::MaxWaiting; ++i) {
        TurnRequest turn = fixture.request();
        turn.deadline = fixture.now + 3600s;
        fixture.pool.submit(fixture.now, turn);
    }
    BOOST_TEST(fixture.pool.waitingCount() == EndpointPool::MaxWaiting);
}

/** Guards against a failure by values that no correct gateway or endpoint sends. */
BOOST_AUTO_TEST_CASE(extreme_values)
{
    Fixture fixture;
    TurnRequest turn = fixture.request(0xffffffffU);
    turn.outputTokens = 0xffffffffU;
    turn.expectedTokens = 0xffffffffU;
    turn.program = 7;
    turn.programTotal = std::chrono::milliseconds(-5);
    turn.programDeadline = Instant(0);
    turn.customerWeight = -1;
    turn.deadline = Instant(std::numeric_limits<std::int64_t>::max());
    TurnDecision decision = fixture.pool.submit(fixture.now, turn);
    BOOST_TEST((decision.verdict == TurnVerdict::Granted));
    TurnOutcome outcome = fixture.outcome(decision, 1e12);
    outcome.tokens = 0xffffffffU;
    outcome.load = ReportedLoad{0xffffffffU, 0xffffffffU, 0xffffffffU, 0xffffffffU};
    fixture.pool.release(fixture.now, outcome);
    outcome = fixture.outcome(fixture.pool.submit(fixture.now, fixture.request(0)), -1e12);
    outcome.load = ReportedLoad{};
    fixture.pool.release(fixture.now, outcome);
    fixture.now += 10s;
    for (int i = 0; i < 200; ++i) {
        fixture.runAt("a", 1);
        fixture.runAt("b", 1);
    }
    BOOST_TEST(fixture.speedOf("a") / fixture.speedOf("b") < 1.3);
    BOOST_TEST(fixture.speedOf("b") / fixture.speedOf("a") < 1.3);
    const TurnDecision usual = fixture.pool.submit(fixture.now, fixture.request());
    BOOST_TEST((usual.predictedTime < 1s));
}

/** Guards against new programs that are admitted because a slot is free at the moment, while programs in progress will
 * need it again after their pause. */
BOOST_AUTO_TEST_CASE(demand_counts_pausing_programs)
{
    ProgramDemand demand;
    Instant now{1000000};
    for (std::uint64_t turn = 0; turn < 2000; ++turn) {
        demand.endTurn(now, turn % 10, 200);
        now += 10ms;
        demand.beginTurn(turn % 10, 100);
    }
    BOOST_TEST(demand.slots(6) > 3.5);
    BOOST_TEST(demand.slots(6) < 4.5);
    const double before = demand.slots(0);
    for (std::uint64_t program = 0; program < 6; ++program) {
        demand.endTurn(now, program, 200);
    }
    BOOST_TEST(demand.slots(0) > before + 3);
    now += 5s;
    demand.removeEnded(now);
    BOOST_TEST(demand.slots(0) < before + 0.1);
}
