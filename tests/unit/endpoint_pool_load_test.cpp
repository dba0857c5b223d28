/** @file endpoint_pool_load_test.cpp  What callers get of a pool under load, compared with placement by hash. No
 * network; time is simulated and seeds are fixed. */
#define BOOST_TEST_MODULE endpoint_pool_load
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "support/pool_simulation.h"

using namespace Chestnuthook;

namespace
{

constexpr std::uint64_t Seeds = 6;
const std::vector<double> Mixed{0.7, 1, 1.7, 0.7, 1, 1, 1.7, 1};
const std::vector<double> Equal(8, 1.0);

/** Means over all seeds. */
struct Means
{
    double inTime = 0; ///< Share of programs in time.
    double late = 0; ///< Share of programs that ended by twice their time.
    double refused = 0; ///< Share of programs that were refused at their first turn.
    double refusedLater = 0; ///< Share of programs that were refused at a later turn.
    double worstCustomer = 0; ///< Least share in time of a customer that doesn't flood.
    double floodingCustomer = 0; ///< Share in time of customer 0.
    double shortTurns = 0; ///< Share of turns with short prompts in time.
    double longTurns = 0; ///< Share of turns with long prompts in time.
    double slotUse = 0; ///< Share of slots in use.
    double submitUs = 0; ///< Processor time of submit().
    double otherUs = 0; ///< Processor time of release() and takeGrants() for each turn.
    int preemptions = 0; ///< In all runs.
    std::vector<double> turnsAt; ///< Share of turns at each endpoint.
};

Means run(const std::string &name, PoolScenario scenario, bool usesPool = true)
{
    Means means;
    means.turnsAt.resize(scenario.speeds.size());
    scenario.usesPool = usesPool;
    double turns = 0;
    for (scenario.seed = 1; scenario.seed <= Seeds; ++scenario.seed) {
        const PoolResult result = PoolSimulation(scenario).run();
        const double part = 1.0 / Seeds;
        const double programs = result.programs;
        means.inTime += result.inTime / programs * part;
        means.late += result.late / programs * part;
        means.refused += result.refused / programs * part;
        means.refusedLater += result.refusedLater / programs * part;
        means.worstCustomer += result.worstCustomer * part;
        means.floodingCustomer += result.floodingCustomer * part;
        means.shortTurns += result.shortPart() * part;
        means.longTurns += result.longPart() * part;
        means.slotUse += result.slotUse * part;
        means.submitUs += result.submitUs * part;
        means.otherUs += result.otherUs * part;
        means.preemptions += result.preemptions;
        for (std::size_t i = 0; i < result.turnsAt.size(); ++i) {
            means.turnsAt[i] += result.turnsAt[i];
            turns += result.turnsAt[i];
        }
    }
    for (double &share : means.turnsAt) {
        share /= turns;
    }
    std::printf(
        "%-22s %s: in time %.3f late %.3f refused %.3f later %.3f worst customer %.3f flooding %.3f short %.3f long "
        "%.3f preemptions %d use %.2f us %.1f + %.1f\n",
        name.c_str(), usesPool ? "pool" : "hash", means.inTime, means.late, means.refused, means.refusedLater,
        means.worstCustomer, means.floodingCustomer, means.shortTurns, means.longTurns, means.preemptions,
        means.slotUse, means.submitUs, means.otherUs);
    return means;
}

PoolScenario scenario(std::vector<double> speeds, double load)
{
    PoolScenario result;
    result.speeds = std::move(speeds);
    result.load = load;
    return result;
}

} // namespace

/** Guards against late programs while there is capacity: at half of the capacity, nearly all must be in time. */
BOOST_AUTO_TEST_CASE(half_load)
{
    const Means hash = run("mixed 0.5", scenario(Mixed, 0.5), false);
    const Means pool = run("mixed 0.5", scenario(Mixed, 0.5));
    BOOST_TEST(pool.inTime > 0.97);
    BOOST_TEST(pool.inTime > hash.inTime + 0.1);
    BOOST_TEST(pool.refused == 0);
    BOOST_TEST(pool.worstCustomer > 0.95);
    BOOST_TEST(pool.preemptions == 0);
    const Means equal = run("equal 0.5", scenario(Equal, 0.5));
    BOOST_TEST(equal.inTime > 0.95);
}

/** Guards against queues before busy endpoints while others are free. */
BOOST_AUTO_TEST_CASE(high_load)
{
    const Means hash = run("mixed 0.8", scenario(Mixed, 0.8), false);
    const Means pool = run("mixed 0.8", scenario(Mixed, 0.8));
    BOOST_TEST(pool.inTime > 0.9);
    BOOST_TEST(pool.inTime > hash.inTime + 0.2);
    BOOST_TEST(pool.refused < 0.03);
    BOOST_TEST(pool.refusedLater < 0.005);
    BOOST_TEST(pool.worstCustomer > 0.8);
    PoolScenario reporting = scenario(Mixed, 0.8);
    reporting.reportsPace = true;
    BOOST_TEST(run("mixed 0.8, pace", reporting).inTime > 0.95);
}

/** Guards against overload that makes all programs late: what the endpoints can serve in time is at most 1 / 1.7 = 0.59
 * of the programs, of which most must be in time; the others are refused at their first turn. */
BOOST_AUTO_TEST_CASE(overload)
{
    const Means hash = run("mixed 1.7", scenario(Mixed, 1.7), false);
    const Means pool = run("mixed 1.7", scenario(Mixed, 1.7));
    BOOST_TEST(pool.inTime > 0.4);
    BOOST_TEST(pool.inTime > hash.inTime + 0.2);
    BOOST_TEST(pool.late < 0.12);
    BOOST_TEST(pool.refusedLater < 0.01);
    BOOST_TEST(pool.refused < 0.58);
}

/** Guards against programs that are late at slow endpoints while fast ones have free slots, and against slow endpoints
 * that are left idle when all fast ones are busy. */
BOOST_AUTO_TEST_CASE(slow_endpoints)
{
    const std::vector<double> speeds{0.7, 0.7, 1.7};
    const Means quiet = run("0.7 0.7 1.7 at 0.4", scenario(speeds, 0.4));
    const Means usual = run("0.7 0.7 1.7 at 0.6", scenario(speeds, 0.6));
    const Means busy = run("0.7 0.7 1.7 at 0.85", scenario(speeds, 0.85));
    const Means hash = run("0.7 0.7 1.7 at 0.6", scenario(speeds, 0.6), false);
    BOOST_TEST(quiet.turnsAt[2] < 0.05);
    BOOST_TEST(usual.turnsAt[2] < 0.06);
    BOOST_TEST(busy.turnsAt[2] > usual.turnsAt[2]);
    BOOST_TEST(quiet.inTime > 0.97);
    BOOST_TEST(usual.inTime > 0.97);
    BOOST_TEST(usual.inTime > hash.inTime + 0.2);
}

namespace
{

/** Share of the programs in time that customers need while another one floods the pool. */
constexpr double InTimeBesideFlood = 0.85;

/** One customer sends 7.5 times its usual; without it the load would be @p usualLoad. */
void checkFlood(double usualLoad)
{
    PoolScenario flood = scenario(Mixed, usualLoad * (7 + 7.5) / 8);
    flood.floodFactor = 7.5;
    const std::string name = "flood at " + std::to_string(usualLoad).substr(0, 3);
    const Means hash = run(name, flood, false);
    const Means pool = run(name, flood);
    BOOST_TEST(pool.worstCustomer > InTimeBesideFlood);
    BOOST_TEST(pool.worstCustomer > hash.worstCustomer + 0.3);
    // What the others leave free goes to the flooding customer.
    BOOST_TEST(pool.floodingCustomer > 0.15);
}

} // namespace

/** Guards against a customer that takes the capacity of the others with 7.5 times its usual load. */
BOOST_AUTO_TEST_CASE(flooding_customer_at_half_load)
{
    checkFlood(0.5);
}

/** As above, where the others alone use 0.8 of the capacity. */
BOOST_AUTO_TEST_CASE(flooding_customer_at_high_load)
{
    checkFlood(0.8);
}

/** Guards against long prompts that delay short ones, and against long ones that are put off. */
BOOST_AUTO_TEST_CASE(long_beside_short)
{
    PoolScenario mixed = scenario(Equal, 0.7);
    mixed.longPart = 0.1;
    const Means hash = run("long 0.1 at 0.7", mixed, false);
    const Means pool = run("long 0.1 at 0.7", mixed);
    BOOST_TEST(pool.inTime > 0.85);
    BOOST_TEST(pool.inTime > hash.inTime + 0.1);
    BOOST_TEST(pool.shortTurns > 0.9);
    BOOST_TEST(pool.longTurns > 0.85);
    BOOST_TEST(pool.preemptions == 0);
    mixed.speeds = Mixed;
    mixed.load = 0.5;
    const Means uneven = run("long 0.1 at 0.5, mixed", mixed);
    BOOST_TEST(uneven.inTime > 0.95);
    BOOST_TEST(uneven.shortTurns > 0.9);
    BOOST_TEST(uneven.longTurns > 0.85);
}

/** Guards against a change of the owner, or lost messages, costing more than latency for a moment. */
BOOST_AUTO_TEST_CASE(new_owner_and_lost_outcomes)
{
    PoolScenario restarted = scenario(Mixed, 0.7);
    restarted.restartMs = 6000;
    const Means steady = run("mixed 0.7", scenario(Mixed, 0.7));
    const Means pool = run("mixed 0.7, new owner", restarted);
    BOOST_TEST(pool.inTime > steady.inTime - 0.05);
    BOOST_TEST(pool.refusedLater == 0);
    PoolScenario lossy = scenario(Mixed, 0.5);
    lossy.lostPart = 0.01;
    BOOST_TEST(run("mixed 0.5, 1% lost", lossy).inTime > 0.95);
}

/** Guards against an owner that needs more than its share of a processor: 200 submits and releases a second in 0.02
 * core, so 100 us for both, also with a long queue. */
BOOST_AUTO_TEST_CASE(processor_time)
{
    std::vector<double> speeds = Mixed;
    speeds.insert(speeds.end(), Mixed.begin(), Mixed.end());
    const Means pool = run("16 endpoints at 1.7", scenario(speeds, 1.7));
    BOOST_TEST(pool.submitUs < 50);
    BOOST_TEST(pool.otherUs < 50);
}
