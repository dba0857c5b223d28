/** @file cold_endpoints_test.cpp  Cold endpoints: what the leader publishes of them, how their requests are counted,
 * and how gateways prefer warm ones; and the affinity of requests about the same object. */
#define BOOST_TEST_MODULE cold_endpoints
#include <boost/test/unit_test.hpp>

#include "deployment/cold_endpoints_base.h"
#include "deployment/cold_limit_func.h"
#include "gateway/endpoint_limits_base.h"
#include "gateway/load_balancer_base.h"
#include "gateway/request_affinity_func.h"

using namespace Chestnuthook;
using namespace std::chrono_literals;

namespace
{

constexpr double PerSecond = 25;
const Instant Start(std::chrono::microseconds(100s).count());

DeployedEndpoint listed(const std::string &id, Duration coldLeft = Duration(0))
{
    DeployedEndpoint endpoint{id, "app", "10.0.0.1:" + id, "x", 8};
    endpoint.coldLeft = coldLeft;
    return endpoint;
}

DeployedEndpoint published(const std::string &id, double coldPerSecond)
{
    DeployedEndpoint endpoint = listed(id);
    endpoint.coldPerSecond = coldPerSecond;
    return endpoint;
}

Configuration configuration()
{
    Configuration read;
    read.services["app"] = ServiceConfig{"app", std::nullopt, 20, PerSecond};
    return read;
}

SelectionCriteria criteria(std::uint64_t affinity)
{
    SelectionCriteria wanted;
    wanted.service = "app";
    wanted.affinity = affinity;
    return wanted;
}

} // namespace

// Guards against a new list for all gateways at each read, because the time left differs in each.
BOOST_AUTO_TEST_CASE(only_the_change_between_cold_and_warm_changes_the_list)
{
    ColdEndpoints cold;
    const Configuration read = configuration();
    std::vector<DeployedEndpoint> former;
    unsigned changes = 0;
    for (Duration age = 0ms; age < 25s; age += 700ms) {
        const Duration jitter = 100ms * static_cast<int>(age / 700ms % 8); // Lists lag by up to 800 ms.
        std::vector<DeployedEndpoint> list = {listed("a", std::max<Duration>(20s - age + jitter, 0ms)), listed("b")};
        cold.recordListed(Start + age, list);
        static_cast<void>(cold.mark(Start + age, &read, list));
        changes += !former.empty() && list != former ? 1 : 0;
        BOOST_TEST(list[0].coldPerSecond == (age < 20s || cold.isCold(Start + age, "a") ? PerSecond : 0));
        BOOST_TEST(list[1].coldPerSecond == 0);
        former = list;
    }
    BOOST_TEST(changes == 1U);
}

// Guards against a list of an older replica that ends the limit of an endpoint which has just become cold.
BOOST_AUTO_TEST_CASE(older_list_does_not_make_an_endpoint_warm)
{
    ColdEndpoints cold;
    cold.recordListed(Start, {listed("a", 10s)});
    cold.recordListed(Start + 700ms, {listed("a")});
    BOOST_TEST(cold.isCold(Start + 700ms, "a"));
    cold.recordListed(Start + 1400ms, {listed("a", 8600ms)});
    cold.recordListed(Start + 2100ms, {listed("a")});
    cold.recordListed(Start + 2800ms, {listed("a")});
    BOOST_TEST(cold.isCold(Start + 2800ms, "a")); // Not yet long enough.
    cold.recordListed(Start + 4200ms, {listed("a")});
    BOOST_TEST(!cold.isCold(Start + 4200ms, "a"));
    cold.recordListed(Start + 5s, {listed("a", 1s)}); // Cold again.
    BOOST_TEST(cold.isCold(Start + 5s, "a"));
    BOOST_TEST(!cold.isCold(Start + 6s, "a"));
    BOOST_TEST(!cold.isCold(Start + 6s, "b"));
}

// Guards against a new leader whose first list is older than what its predecessor published.
BOOST_AUTO_TEST_CASE(mark_of_a_former_leader_holds_until_lists_can_tell)
{
    ColdEndpoints cold;
    cold.adopt(Start, {published("a", PerSecond), published("b", 0)});
    cold.recordListed(Start + 100ms, {listed("a"), listed("b")});
    BOOST_TEST(cold.isCold(Start + 100ms, "a"));
    BOOST_TEST(!cold.isCold(Start + 100ms, "b"));
    BOOST_TEST(!cold.isCold(Start + ColdEndpoints::ListLag, "a"));
}

// Guards against repeated log lines, and against endpoints of services without a rate that are limited to nothing.
BOOST_AUTO_TEST_CASE(each_change_is_told_once_and_a_service_without_a_rate_has_no_limit)
{
    ColdEndpoints cold;
    std::vector<DeployedEndpoint> list = {listed("a", 1s)};
    cold.recordListed(Start, list);
    BOOST_TEST(cold.takeChanges(Start).size() == 1U);
    BOOST_TEST(cold.takeChanges(Start + 500ms).empty());
    const auto warmed = cold.takeChanges(Start + 1s);
    BOOST_REQUIRE(warmed.size() == 1U);
    BOOST_TEST((warmed[0].left == 0ms));
    Configuration read = configuration();
    read.services["app"].coldPerSecond = 0;
    BOOST_TEST(!cold.mark(Start, &read, list));
    BOOST_TEST(list[0].coldPerSecond == 0);
    BOOST_TEST(!cold.mark(Start, nullptr, list)); // No configuration yet.
}

// Guards against budgets whose terms exceed what the settings allow; see rate_sum_test for their sum under load.
BOOST_AUTO_TEST_CASE(terms_of_the_budget_fit_into_one_second)
{
    for (const double perSecond : {0.5, 1.0, 5.0, 25.0, 100.0, 1000.0}) {
        for (const ColdTolerance tolerance : {ColdTolerance{}, ColdTolerance{1, 3}, ColdTolerance{2, 20}}) {
            const EndpointAccount account = endpointAccount("a", {0, perSecond}, tolerance);
            const RateBudget budget = rateBudget(account.limit, account.tolerance);
            const double credit = account.limit.ratePerSecond * (1 + std::chrono::duration<double>(CreditTtl).count());
            const double sum = credit + budget.capacity + std::max(account.limit.burst, 1.0) + budget.initialTokens
                + budget.isolatedRequests;
            const double allowed = perSecond * tolerance.factor + tolerance.requests;
            BOOST_TEST(sum <= allowed, sum << " requests of " << allowed << " at the rate " << perSecond);
            BOOST_TEST(account.limit.ratePerSecond <= perSecond);
        }
    }
    BOOST_TEST(endpointAccount("a", {0, PerSecond}, {}).limit.ratePerSecond == PerSecond);
}

// Guards against the higher of two limits, and against a cold limit that ends with the one that the endpoint named.
BOOST_AUTO_TEST_CASE(lower_of_both_limits_holds)
{
    BOOST_TEST(endpointAccount("a", {4, PerSecond}, {}).limit.ratePerSecond == 4);
    BOOST_TEST(endpointAccount("a", {90, PerSecond}, {}).limit.ratePerSecond == PerSecond);
    BOOST_TEST(endpointAccount("a", {0, PerSecond}, {}).limit.ratePerSecond == PerSecond);
    BOOST_TEST((endpointAccount("a", {90, PerSecond}, {}).tolerance.window == 1s));
    const EndpointAccount warm = endpointAccount("a", {4, 0}, {});
    BOOST_TEST(warm.limit.ratePerSecond == 4);
    BOOST_TEST((warm.tolerance.window == endpointLimitTolerance().window));
    BOOST_TEST(endpointAccount("a", {0, 0}, {}).limit.ratePerSecond == 0);
}

// Guards against a gateway that asks for credit of a cold endpoint and thereby ends the limit that others have heard.
BOOST_AUTO_TEST_CASE(gateway_without_knowledge_of_a_limit_does_not_end_it)
{
    const EndpointLimits unaware;
    EndpointLimitTable leader;
    BOOST_TEST(leader.record(Start, {"a", 5, 0ms}));
    BOOST_TEST(!leader.record(Start + 1s, unaware.reportOf(Start + 1s, "a")));
    BOOST_TEST(leader.limitOf("a") == 5);
}

// Guards against cold endpoints that get requests although warm ones have room, also by affinity.
BOOST_AUTO_TEST_CASE(warm_endpoint_with_room_is_preferred)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Start, {published("a", PerSecond), published("b", 0), published("c", PerSecond)});
    for (std::uint64_t affinity = 0; affinity < 50; ++affinity) {
        BOOST_TEST(balancer.choose(Start, criteria(affinity), {})->id == "b");
        BOOST_TEST(balancer.choose(Start, criteria(affinity), {"b"})->id != "b"); // Cold ones are used if needed.
    }
    balancer.recordLoad(Start, "b", EndpointLoad{8, 0, 8}); // No free slot.
    BOOST_TEST(balancer.choose(Start, criteria(0), {})->id != "b");
    BOOST_TEST(balancer.choose(Start, criteria(7), {})->id == "b"); // Its cached prompts are worth a short wait.
    balancer.recordLoad(Start, "b", EndpointLoad{8, 8, 8});
    BOOST_TEST(balancer.choose(Start, criteria(7), {})->id != "b");
    balancer.recordFailure(Start, "b");
    BOOST_TEST(balancer.choose(Start + 1ms, criteria(0), {})->id != "b");
}

// Guards against all gateways sending to the same one of many cold endpoints.
BOOST_AUTO_TEST_CASE(gateways_begin_with_different_cold_endpoints)
{
    std::set<std::string> chosen;
    for (std::uint64_t gateway = 1; gateway <= 20; ++gateway) {
        LoadBalancer balancer(Duration(0), gateway);
        balancer.setEndpoints(Start,
            {published("a", PerSecond), published("b", PerSecond), published("c", PerSecond),
                published("d", PerSecond)});
        chosen.insert(balancer.choose(Start, criteria(0), {})->id);
    }
    BOOST_TEST(chosen.size() == 4U);
}

// Guards against requests to an endpoint that has become cold again until the list shows it.
BOOST_AUTO_TEST_CASE(endpoint_that_states_that_it_is_cold_counts_as_cold)
{
    LoadBalancer balancer;
    balancer.setEndpoints(Start, {published("a", 0), published("b", 0)});
    BOOST_TEST(balancer.coldCount(Start) == 0U);
    BOOST_TEST(balancer.recordCold(Start, "a", 2s));
    BOOST_TEST(!balancer.recordCold(Start, "a", 2s)); // Already known.
    BOOST_REQUIRE(balancer.findCold(Start, "a") != nullptr);
    BOOST_TEST(balancer.findCold(Start, "a")->service == "app");
    BOOST_TEST(balancer.coldCount(Start) == 1U);
    for (std::uint64_t affinity = 0; affinity < 50; ++affinity) {
        BOOST_TEST(balancer.choose(Start, criteria(affinity), {})->id == "b");
    }
    balancer.setEndpoints(Start + 1s, {published("a", 0), published("b", 0)}); // A list from before.
    BOOST_TEST(balancer.coldCount(Start + 1s) == 1U);
    BOOST_TEST(balancer.findCold(Start + 2s, "a") == nullptr);
    balancer.setEndpoints(Start + 3s, {published("a", PerSecond), published("b", 0)});
    BOOST_TEST(!balancer.recordCold(Start + 3s, "a", 0ms)); // Only the list ends what the list says.
    BOOST_TEST(balancer.coldCount(Start + 3s) == 1U);
}

// Guards against objects that change their endpoint, and programs that lose theirs because of a cookie.
BOOST_AUTO_TEST_CASE(affinity_is_that_of_the_program_or_the_object)
{
    RouteConfig sticky;
    sticky.isSticky = true;
    const RouteConfig other;
    ServiceConfig engine;
    engine.engine = EngineConfig{};
    const ServiceConfig plain;
    RequestMetadata first;
    first.requestId = "r1";
    first.object = "o";
    RequestMetadata second = first;
    second.requestId = "r2";
    for (const ServiceConfig &service : {engine, plain}) {
        BOOST_TEST(requestAffinity(sticky, service, first) != 0U);
        BOOST_TEST(requestAffinity(sticky, service, first) == requestAffinity(sticky, service, second));
    }
    BOOST_TEST(requestAffinity(other, plain, first) == 0U);
    BOOST_TEST(requestAffinity(other, engine, first) != requestAffinity(other, engine, second));
    second.program = "p";
    const std::uint64_t program = requestAffinity(sticky, engine, second);
    BOOST_TEST(program != requestAffinity(sticky, engine, first));
    second.object = "o2";
    BOOST_TEST(requestAffinity(sticky, engine, second) == program);
    first.object.clear();
    BOOST_TEST(requestAffinity(sticky, plain, first) == 0U);
}
