/** @file policy_queue_test.cpp  Order, fairness, load shedding, isolation and exact counting of endpoints' queues. */
#define BOOST_TEST_MODULE policy_queue
#include <boost/test/unit_test.hpp>

#include "policy/permit_table_base.h"
#include "policy/random_func.h"

using namespace Chestnuthook;

namespace
{

const EndpointId Engine{"127.0.0.1:1"};

QueuedCall callOf(const char *customer, double attained, std::int64_t arrivedMs, double tokens = 100)
{
    QueuedCall call;
    call.customer = CustomerId{customer};
    call.attainedTokens = attained;
    call.expectedTokens = tokens;
    call.arrived = Instant(arrivedMs * 1000);
    return call;
}

PermitKey keyOf(std::uint64_t permit, const char *entry = "entry-1")
{
    return {EntryId{entry}, permit};
}

} // namespace

BOOST_AUTO_TEST_CASE(most_attained_service_first_until_ageing_outweighs_it)
{
    PermitTable permits;
    permits.setMaxInFlight(Engine, 1);
    BOOST_TEST((permits.ask(Engine, keyOf(1), callOf("a", 0, 0)) == PermitState::Running));
    BOOST_TEST((permits.ask(Engine, keyOf(2), callOf("a", 100, 0)) == PermitState::Waiting));
    permits.ask(Engine, keyOf(3), callOf("a", 5000, 1000));
    permits.ask(Engine, keyOf(4), callOf("a", 9000, 200'000)); // Queued 200 s later: ageing outweighs 9000 tokens.
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; order.size() < 3;) {
        permits.release(keyOf(running));
        const auto granted = permits.takeGranted();
        BOOST_REQUIRE(granted.size() == 1U);
        order.push_back(running = granted[0].permit);
    }
    BOOST_TEST((order == std::vector<std::uint64_t>{3, 2, 4}));
}

BOOST_AUTO_TEST_CASE(customers_are_served_by_weight_without_credit_for_idle_time)
{
    PermitTable permits;
    permits.setMaxInFlight(Engine, 1);
    permits.fairness.setWeight(CustomerId{"big"}, 3);
    permits.fairness.setWeight(CustomerId{"small"}, 1);
    std::uint64_t next = 1;
    std::map<std::uint64_t, std::string> customerOf;
    const auto add = [&](const char *customer) {
        customerOf[next] = customer;
        permits.ask(Engine, keyOf(next), callOf(customer, 0, static_cast<std::int64_t>(next)));
        ++next;
    };
    for (int i = 0; i < 200; ++i) {
        add("big");
        add("small");
    }
    std::map<std::string, int> served;
    std::uint64_t running = 1;
    for (int i = 0; i < 100; ++i) {
        permits.release(keyOf(running));
        running = permits.takeGranted().at(0).permit;
        ++served[customerOf[running]];
    }
    BOOST_TEST(std::abs(served["big"] - 75) <= 1);
    add("late"); // Was idle until now; is served soon, but gets no more than its share.
    served.clear();
    for (int i = 0; i < 5; ++i) {
        add("late");
    }
    for (int i = 0; i < 10; ++i) {
        permits.release(keyOf(running));
        running = permits.takeGranted().at(0).permit;
        ++served[customerOf[running]];
    }
    BOOST_TEST(served["late"] >= 1);
    BOOST_TEST(served["late"] <= 3);
}

BOOST_AUTO_TEST_CASE(overload_sheds_newest_call_of_customer_above_its_share)
{
    EndpointQueue<MostAttainedService> queue(EndpointLimits{1, 4, true});
    FairCounters fairness;
    std::uint64_t id = 1;
    const auto push = [&](const char *customer) {
        QueuedCall call = callOf(customer, 0, static_cast<std::int64_t>(id));
        call.id = id++;
        return queue.push(call, fairness);
    };
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(!push("greedy"));
    }
    BOOST_TEST((push("modest") == std::optional<std::uint64_t>(4)));
    BOOST_TEST((push("greedy") == std::optional<std::uint64_t>(6)));
    BOOST_TEST(queue.waitingSize() == 4U);
}

BOOST_AUTO_TEST_CASE(an_isolated_call_runs_alone)
{
    PermitTable permits;
    permits.setMaxInFlight(Engine, 8);
    permits.ask(Engine, keyOf(1), callOf("a", 0, 0));
    QueuedCall suspect = callOf("a", 0, 1);
    suspect.isolated = true;
    BOOST_TEST((permits.ask(Engine, keyOf(2), suspect) == PermitState::Waiting));
    BOOST_TEST((permits.ask(Engine, keyOf(3), callOf("a", 0, 2)) == PermitState::Waiting));
    permits.release(keyOf(1));
    BOOST_TEST((permits.takeGranted() == std::vector<PermitKey>{keyOf(2)}));
    BOOST_TEST(permits.inFlight(Engine) == 1U);
    permits.release(keyOf(2));
    BOOST_TEST((permits.takeGranted() == std::vector<PermitKey>{keyOf(3)}));
}

BOOST_AUTO_TEST_CASE(permit_counts_once_with_resent_and_reordered_messages)
{
    PermitTable permits;
    permits.setMaxInFlight(Engine, 2);
    for (int resend = 0; resend < 3; ++resend) {
        BOOST_TEST((permits.ask(Engine, keyOf(1), callOf("a", 0, 0)) == PermitState::Running));
    }
    BOOST_TEST(permits.inFlight(Engine) == 1U);
    permits.release(keyOf(1));
    permits.release(keyOf(1));
    BOOST_TEST((permits.ask(Engine, keyOf(1), callOf("a", 0, 0)) == PermitState::Waiting));
    BOOST_TEST(permits.load(Engine) == 0U);
    permits.release(keyOf(9)); // Overtakes the request for the same permit.
    permits.ask(Engine, keyOf(9), callOf("a", 0, 0));
    BOOST_TEST(permits.load(Engine) == 0U);
}

BOOST_AUTO_TEST_CASE(permits_return_after_lease_end_and_move_to_new_dispatcher)
{
    PermitTable permits;
    permits.setMaxInFlight(Engine, 2);
    permits.ask(Engine, keyOf(1, "dead"), callOf("a", 0, 0));
    permits.ask(Engine, keyOf(2, "dead"), callOf("a", 0, 0));
    permits.ask(Engine, keyOf(3), callOf("a", 0, 0));
    permits.releaseUnleased({EntryId{"entry-1"}});
    BOOST_TEST((permits.takeGranted() == std::vector<PermitKey>{keyOf(3)}));
    BOOST_TEST(permits.inFlight(Engine) == 1U);
    PermitTable next;
    next.setMaxInFlight(Engine, 1);
    next.adopt(Engine, keyOf(3), callOf("a", 0, 0));
    next.adopt(Engine, keyOf(3), callOf("a", 0, 0));
    BOOST_TEST(next.inFlight(Engine) == 1U);
    BOOST_TEST((next.ask(Engine, keyOf(4), callOf("a", 0, 0)) == PermitState::Waiting));
}

BOOST_AUTO_TEST_CASE(random_messages_keep_limit_and_count)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::uint64_t random = seed;
        PermitTable permits;
        permits.setMaxInFlight(Engine, 4);
        std::set<PermitKey> running;
        for (int i = 0; i < 3000; ++i) {
            const PermitKey key = keyOf(nextRandom(random) % 400, nextRandom(random) % 2 == 0 ? "x" : "y");
            if (nextRandom(random) % 2 == 0) {
                QueuedCall call = callOf(nextRandom(random) % 3 == 0 ? "a" : "b", 0, i);
                call.isolated = nextRandom(random) % 10 == 0;
                if (permits.ask(Engine, key, call) == PermitState::Running) {
                    running.insert(key);
                }
            } else {
                permits.release(key);
                running.erase(key);
            }
            for (const PermitKey &granted : permits.takeGranted()) {
                BOOST_TEST(running.insert(granted).second);
            }
            BOOST_TEST(running.size() <= 4U);
            BOOST_TEST(running.size() == permits.inFlight(Engine));
        }
    }
}
