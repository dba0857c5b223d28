/** @file endpoint_pools_test.cpp  Which pools exist, who owns them, in which order requests ask them, and when an owner
 * is passed over; and what an owner does with turns that wait. */
#define BOOST_TEST_MODULE endpoint_pools
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/endpoint_pools_base.h"
#include "gateway/pool_client_base.h"
#include "gateway/pool_owner_base.h"
#include "gateway/program_totals_base.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t StackBytes = 256U << 10U; ///< Stack size of a request's fiber.
constexpr std::size_t Keys = 20000; ///< Keys whose distribution is measured.

std::vector<DeployedEndpoint> endpoints(std::size_t count, const std::string &dataCentre, std::size_t first = 0)
{
    std::vector<DeployedEndpoint> list;
    for (std::size_t i = first; i < first + count; ++i) {
        const std::string number = std::to_string(i);
        list.push_back({"e" + number, "model", "10.0.0." + number + ":1", dataCentre, 8});
    }
    return list;
}

InstanceInfo gateway(
    const std::string &name, const std::string &dataCentre, double processorShare = 0, bool ready = true)
{
    return {name, Wire::InstanceRole::GATEWAY, dataCentre, name + ":1", name + ":2", "", ready, false, processorShare};
}

std::map<std::string, std::string> poolsByEndpoint(const EndpointPools &pools)
{
    std::map<std::string, std::string> result;
    for (const auto &[id, pool] : pools.all()) {
        for (const DeployedEndpoint &endpoint : pool.endpoints) {
            result[endpoint.id] = id;
        }
    }
    return result;
}

TurnRequest turn(std::uint64_t ticket, const std::string &holder, Instant deadline)
{
    TurnRequest request;
    request.ticket = ticket;
    request.holder = holder;
    request.promptTokens = 100;
    request.outputTokens = 50;
    request.deadline = deadline;
    return request;
}

/** Places a request as a gateway does; dropping the promise cancels the request. */
kj::Promise<void> place(PoolClient &client, const PoolQuery &query, PoolPlacement &placement)
{
    return kj::startFiber(StackBytes, [&](kj::WaitScope &scope) {
        placement = client.place(scope, query);
    });
}

/** The owner of a pool with one endpoint that has one slot. */
struct OwnerFixture
{
    OwnerFixture()
    {
        pools.setInstances({gateway("g1", "a")});
        pools.setEndpoints(endpoints(1, "a"));
        this->pool = this->pools.all().begin()->first;
    }

    TurnRequest next(const std::string &holder = "g1")
    {
        return turn(++this->lastTicket, holder, this->loop.timers().now() + 5s);
    }

    PoolQuery query(const std::string &holder)
    {
        PoolQuery query;
        query.requestId = "r";
        query.service = "model";
        query.dataCentre = "a";
        query.turn = this->next(holder);
        return query;
    }

    ControlLoop loop{"secret", "test"}; ///< Clock and timers.
    EndpointPools pools; ///< One pool.
    PoolOwner owner{this->loop, this->pools, [](const PoolInfo &info) {
                        PoolOwner::Description description;
                        for (const DeployedEndpoint &endpoint : info.endpoints) {
                            description.endpoints.push_back({endpoint.id, 1, 0, "", true});
                        }
                        return description;
                    }}; ///< Under test.
    std::string pool; ///< Id of the pool.
    std::uint64_t lastTicket = 0; ///< Tickets given out.
};

} // namespace

/** Guards against pools that are too large for one owner, and endpoints that belong to none or to several. */
BOOST_AUTO_TEST_CASE(endpoints_are_split_into_pools_of_at_most_eight)
{
    for (std::size_t count = 1; count <= 70; ++count) {
        EndpointPools pools;
        pools.setEndpoints(endpoints(count, "a"));
        std::size_t total = 0;
        for (const auto &[id, pool] : pools.all()) {
            BOOST_TEST(pool.endpoints.size() <= EndpointPools::MaxPoolEndpoints);
            BOOST_TEST(!pool.endpoints.empty());
            total += pool.endpoints.size();
        }
        BOOST_TEST(total == count);
        BOOST_TEST(poolsByEndpoint(pools).size() == count);
    }
}

/** Guards against pools that mix data centres or services, whose endpoints can't stand in for each other. */
BOOST_AUTO_TEST_CASE(a_pool_has_one_service_and_one_data_centre)
{
    std::vector<DeployedEndpoint> list = endpoints(5, "a");
    for (const DeployedEndpoint &endpoint : endpoints(3, "b", 10)) {
        list.push_back(endpoint);
    }
    list.push_back({"other", "small", "10.0.1.1:1", "a", 4});
    EndpointPools pools;
    pools.setEndpoints(list);
    BOOST_TEST(pools.all().size() == 3U);
    for (const auto &[id, pool] : pools.all()) {
        for (const DeployedEndpoint &endpoint : pool.endpoints) {
            BOOST_TEST(endpoint.service == pool.service);
            BOOST_TEST(endpoint.dataCentre == pool.dataCentre);
        }
    }
}

/** Guards against a restart of one endpoint that moves the cached prompts of all programs to other pools. */
BOOST_AUTO_TEST_CASE(a_restarted_endpoint_keeps_its_pool)
{
    std::vector<DeployedEndpoint> list = endpoints(20, "a");
    EndpointPools pools;
    pools.setEndpoints(list);
    const auto before = poolsByEndpoint(pools);
    list[7].id = "restarted";
    pools.setEndpoints(list);
    auto after = poolsByEndpoint(pools);
    BOOST_TEST(after["restarted"] == before.at("e7"));
    after.erase("restarted");
    for (const auto &[endpoint, pool] : after) {
        BOOST_TEST(before.at(endpoint) == pool);
    }
}

/** Guards against gateways that ask different owners, and against owners in other data centres without need. */
BOOST_AUTO_TEST_CASE(the_owner_is_a_ready_gateway_of_the_data_centre)
{
    const std::vector<InstanceInfo> instances = {gateway("g1", "a"), gateway("g2", "a"), gateway("g3", "b"),
        gateway("g4", "a", 0, false), {"h1", Wire::InstanceRole::HISTORY, "a", "", "h1:2", "", true}};
    EndpointPools pools;
    EndpointPools others;
    pools.setInstances(instances);
    pools.setEndpoints(endpoints(40, "a"));
    others.setEndpoints(endpoints(40, "a"));
    others.setInstances({instances.rbegin(), instances.rend()});
    std::set<std::string> owners;
    for (const auto &[id, pool] : pools.all()) {
        BOOST_TEST(others.find(id)->owner == pool.owner);
        owners.insert(pool.owner);
    }
    BOOST_TEST(owners.contains("g3") == false);
    BOOST_TEST(owners.contains("g4") == false);
    BOOST_TEST(owners.contains("h1") == false);
    pools.setEndpoints(endpoints(40, "c")); // No gateway is in this data centre, so any may be the owner.
    for (const auto &[id, pool] : pools.all()) {
        BOOST_TEST(pools.gateway(pool.owner) != nullptr);
    }
}

/** Guards against pools that go to small gateways as often as to large ones, and against shares that old gateways don't
 * state counting as none. */
BOOST_AUTO_TEST_CASE(owners_are_weighted_by_processor_shares)
{
    std::map<std::string, double> chosen;
    for (std::size_t key = 0; key < Keys; ++key) {
        const std::string small = "small";
        const std::string large = "large";
        const bool isLarge = rendezvousRank(large, key, 0.3) > rendezvousRank(small, key, 0.1);
        chosen[isLarge ? large : small] += 1.0 / Keys;
    }
    BOOST_TEST(chosen["large"] > 0.73);
    BOOST_TEST(chosen["large"] < 0.77);

    std::map<std::string, std::size_t> owned;
    EndpointPools pools;
    std::vector<DeployedEndpoint> list;
    for (std::size_t i = 0; i < 600; ++i) {
        list.push_back({"e" + std::to_string(i), "s" + std::to_string(i), "x:" + std::to_string(i), "a", 8});
    }
    pools.setEndpoints(list);
    pools.setInstances({gateway("g1", "a", 0.1), gateway("g2", "a", 0.3), gateway("g3", "a", 0)});
    for (const auto &[id, pool] : pools.all()) {
        ++owned[pool.owner];
    }
    BOOST_TEST(owned["g1"] == 0U); // Less than half of the largest share: too small to own a pool.
    BOOST_TEST(owned["g2"] > 310U); // Three fifths of 600 are expected, and two fifths.
    BOOST_TEST(owned["g2"] < 410U);
    BOOST_TEST(owned["g3"] > 190U);
    BOOST_TEST(owned["g3"] < 290U);
}

/** Guards against a gateway that goes and thereby changes the owners of other gateways' pools. */
BOOST_AUTO_TEST_CASE(only_the_pools_of_a_gateway_that_goes_change_their_owner)
{
    EndpointPools pools;
    pools.setEndpoints(endpoints(64, "a"));
    const auto first = pools.setInstances({gateway("g1", "a", 0.2), gateway("g2", "a", 0.2), gateway("g3", "a", 0.2)});
    BOOST_TEST(first.size() == pools.all().size());
    std::map<std::string, std::string> before;
    for (const auto &[id, pool] : pools.all()) {
        before[id] = pool.owner;
    }
    const auto changes = pools.setInstances({gateway("g1", "a", 0.2), gateway("g3", "a", 0.2)});
    for (const auto &[id, pool] : pools.all()) {
        BOOST_TEST((before[id] == "g2") == (pool.owner != before[id]));
    }
    for (const PoolOwnerChange &change : changes) {
        BOOST_TEST(change.before == "g2");
    }
    const auto none = pools.setInstances({});
    BOOST_TEST(none.size() == pools.all().size());
    BOOST_TEST(none.front().after.empty());
}

/** Guards against programs that lose their cached prompts from turn to turn, and against use of far pools first. */
BOOST_AUTO_TEST_CASE(requests_ask_the_same_pool_of_their_data_centre_first)
{
    std::vector<DeployedEndpoint> list = endpoints(16, "a");
    for (const DeployedEndpoint &endpoint : endpoints(16, "b", 100)) {
        list.push_back(endpoint);
    }
    EndpointPools pools;
    pools.setEndpoints(list);
    std::map<std::string, std::size_t> firsts;
    for (std::uint64_t program = 1; program <= 1000; ++program) {
        const auto order = pools.order("model", "a", program);
        BOOST_REQUIRE(order.size() == 4U);
        BOOST_TEST(order[0]->dataCentre == "a");
        BOOST_TEST(order[1]->dataCentre == "a");
        BOOST_TEST(order[2]->dataCentre == "b");
        BOOST_TEST(pools.order("model", "a", program)[0] == order[0]);
        ++firsts[order[0]->id];
    }
    BOOST_TEST(firsts.size() == 2U);
    BOOST_TEST(firsts.begin()->second > 400U);
    BOOST_TEST(pools.order("model", "c", 1).size() == 4U);
    BOOST_TEST(pools.order("none", "a", 1).empty());
}

/** Guards against requests that all wait for the time-out of an owner that has stalled. */
BOOST_AUTO_TEST_CASE(an_owner_that_fails_is_passed_over)
{
    EndpointPools pools;
    Instant now(1'000'000);
    BOOST_TEST(pools.mayAsk(now, "g1"));
    pools.recordAsked("g1");
    pools.recordAsked("g1");
    BOOST_TEST(pools.mayAsk(now, "g1"));
    pools.recordFailure(now, "g1");
    pools.recordEnded("g1");
    BOOST_TEST(!pools.mayAsk(now, "g1"));
    BOOST_TEST(pools.mayAsk(now, "g2"));
    pools.recordFailure(now, "g1");
    pools.recordEnded("g1");
    now += EndpointPools::OwnerBackoff;
    BOOST_TEST(pools.mayAsk(now, "g1")); // One request finds out whether it answers again.
    pools.recordAsked("g1");
    BOOST_TEST(!pools.mayAsk(now, "g1"));
    pools.recordAnswer("g1");
    pools.recordEnded("g1");
    pools.recordAsked("g1");
    BOOST_TEST(pools.mayAsk(now, "g1"));
}

/** Guards against turns that wait for ever, or whose grant is lost. */
BOOST_FIXTURE_TEST_CASE(a_turn_that_waits_gets_the_slot_that_is_released, OwnerFixture)
{
    const TurnRequest first = this->next();
    const TurnRequest second = this->next("g2");
    BOOST_TEST((this->owner.acquire(this->pool, first)->verdict == TurnVerdict::Granted));
    BOOST_TEST((this->owner.acquire(this->pool, second)->verdict == TurnVerdict::Waiting));
    auto granted = this->owner.await(this->pool, "g2", second.ticket, 200ms);
    TurnOutcome outcome;
    outcome.ticket = first.ticket;
    outcome.holder = first.holder;
    outcome.total = 100ms;
    this->owner.release(this->pool, {outcome});
    const PoolAnswer answer = this->loop.wait(kj::mv(granted));
    BOOST_TEST((answer.verdict == TurnVerdict::Granted));
    BOOST_TEST(answer.endpoint == "e0");
}

/** Guards against a holder that has died and keeps its slots, and against tickets that the owner doesn't know. */
BOOST_FIXTURE_TEST_CASE(the_turns_of_a_dead_gateway_are_dropped, OwnerFixture)
{
    const TurnRequest first = this->next("g2");
    const TurnRequest second = this->next();
    BOOST_TEST((this->owner.acquire(this->pool, first)->verdict == TurnVerdict::Granted));
    BOOST_TEST((this->owner.acquire(this->pool, second)->verdict == TurnVerdict::Waiting));
    this->owner.retainHolders({"g1"});
    // No call waits, so the grant is kept until the holder asks.
    const PoolAnswer answer = this->loop.wait(this->owner.await(this->pool, "g1", second.ticket, 200ms));
    BOOST_TEST((answer.verdict == TurnVerdict::Granted));
    const PoolAnswer unknown = this->loop.wait(this->owner.await(this->pool, "g1", 999, 200ms));
    BOOST_TEST(!unknown.verdict.has_value());
    BOOST_TEST(!this->owner.acquire("none", this->next()).has_value());
}

/** Guards against clients that have gone and keep a place in the queue or a slot. */
BOOST_FIXTURE_TEST_CASE(a_request_that_ends_early_gives_its_turn_back, OwnerFixture)
{
    PoolClient client(this->loop, "g1", this->pools, this->owner);
    const PoolQuery query = this->query("g1");
    PoolPlacement first;
    this->loop.wait(place(client, query, first));
    BOOST_TEST((first.kind == PoolPlacement::Kind::Granted));
    PoolPlacement dropped;
    {
        // This request is cancelled while it waits.
        const kj::Promise<void> cancelled = place(client, query, dropped).eagerlyEvaluate(nullptr);
        this->loop.wait(this->loop.kjTimer().afterDelay(20 * kj::MILLISECONDS));
    }
    PoolPlacement last;
    auto waiting = place(client, query, last);
    this->loop.wait(this->loop.kjTimer().afterDelay(20 * kj::MILLISECONDS));
    first.grant = nullptr; // The granted request ends without an outcome.
    this->loop.wait(kj::mv(waiting));
    BOOST_TEST((last.kind == PoolPlacement::Kind::Granted));
    BOOST_TEST(last.endpoint == "e0");
    BOOST_TEST(dropped.grant == nullptr);
}

/** Guards against requests that fail or wait where no owner can be asked. */
BOOST_FIXTURE_TEST_CASE(without_an_owner_the_gateway_chooses_by_itself, OwnerFixture)
{
    PoolClient client(this->loop, "g2", this->pools, this->owner);
    PoolQuery query = this->query("g2");
    const auto kindNow = [&]() {
        PoolPlacement placement;
        placement.kind = PoolPlacement::Kind::Granted;
        this->loop.wait(place(client, query, placement));
        return placement.kind;
    };
    this->pools.recordFailure(this->loop.timers().now(), "g1");
    BOOST_TEST((kindNow() == PoolPlacement::Kind::Unplaced));
    this->pools.setInstances({});
    BOOST_TEST((kindNow() == PoolPlacement::Kind::Unplaced));
    query.service = "none";
    BOOST_TEST((kindNow() == PoolPlacement::Kind::Unplaced));
}

/** Guards against later turns whose urgency is unknown, and against a table that grows without end. */
BOOST_AUTO_TEST_CASE(the_total_time_of_a_program_is_known_for_its_later_turns)
{
    ProgramTotals totals;
    Instant now(0);
    TurnRequest first = turn(1, "g1", now + 1s);
    first.program = 7;
    first.programDeadline = now + 4s;
    first.programTotal = 4000ms;
    totals.complete(now, first);
    TurnRequest later = turn(2, "g2", now + 3s);
    later.program = 7;
    later.programDeadline = now + 4s;
    totals.complete(now + 2s, later);
    BOOST_TEST((later.programTotal == 4000ms));
    TurnRequest other = later;
    other.program = 8;
    other.programTotal.reset();
    totals.complete(now, other);
    BOOST_TEST(!other.programTotal.has_value());
    for (std::uint64_t program = 100; program < 10000; ++program) {
        now += 10ms;
        first.program = program;
        first.programDeadline = now + 1s;
        totals.complete(now, first);
    }
    BOOST_TEST(totals.size() < 4 * ProgramTotals::SweepStep);
}
