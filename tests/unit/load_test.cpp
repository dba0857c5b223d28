/** @file load_test.cpp  Workloads are reproducible by seed, and the checks detect violated guarantees. */
#define BOOST_TEST_MODULE load
#include <csignal>

#include <boost/test/unit_test.hpp>

#include "load/load_fault_func.h"
#include "load/load_ledger_func.h"
#include "load/load_mix_type.h"
#include "load/load_report_func.h"

using namespace Chestnuthook;

namespace
{

LoadArrivals someArrivals(std::uint64_t seed)
{
    LoadArrivals arrivals;
    arrivals.seed = seed;
    arrivals.programs = 2000;
    arrivals.programsPerSecond = 50;
    arrivals.customers = 8;
    return arrivals;
}

std::uint64_t countViolations(const LoadRecord &record, LoadGuarantee guarantee)
{
    return record.broken.at(static_cast<std::size_t>(guarantee));
}

LedgerRequest toolRequest(const std::string &marker, const std::string &digest, const std::string &outcome)
{
    return LedgerRequest{"p-1", "marker=" + marker + "&delay_ms=3", digest, outcome, "", 0};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_workload_is_determined_by_its_seed)
{
    const auto first = planWorkload(*findLoadMix("kortagatt"), someArrivals(1));
    const auto again = planWorkload(*findLoadMix("kortagatt"), someArrivals(1));
    const auto other = planWorkload(*findLoadMix("kortagatt"), someArrivals(2));
    BOOST_REQUIRE(first.size() == again.size());
    std::size_t same = 0;
    std::size_t shared = 0;
    for (std::size_t i = 0; i < first.size(); ++i) {
        same += first[i].arrivalMs == again[i].arrivalMs && first[i].steps.size() == again[i].steps.size() ? 1 : 0;
        shared += i < other.size() && first[i].arrivalMs == other[i].arrivalMs ? 1 : 0;
    }
    BOOST_TEST(same == first.size());
    BOOST_TEST(shared < first.size() / 10);
    BOOST_TEST(findLoadMix("nowhere") == nullptr);
}

BOOST_AUTO_TEST_CASE(arrivals_keep_their_rate_and_large_customers_send_more)
{
    const auto programs = planWorkload(*findLoadMix("derwent"), someArrivals(3));
    BOOST_TEST(programs.size() > 900U); // 20 s at 50 a second
    BOOST_TEST(programs.size() < 1100U);
    std::vector<std::size_t> byCustomer(8);
    for (const LoadProgram &program : programs) {
        byCustomer[program.customer] += 1;
        BOOST_TEST(program.callBudget >= 1U);
    }
    BOOST_TEST(byCustomer[0] > 2 * byCustomer[7]);
}

BOOST_AUTO_TEST_CASE(a_fault_schedule_is_sorted_and_an_invalid_line_is_named)
{
    const auto faults =
        parseFaultSchedule("# rehearsal\n4.5 signal entry-2 KILL\n\n1 fault engine-1 {\"kind\":\"slow\"}\n");
    BOOST_REQUIRE(faults.has_value());
    BOOST_REQUIRE(faults->size() == 2U);
    BOOST_TEST(faults->at(0).fakeFault == "{\"kind\":\"slow\"}");
    BOOST_TEST(faults->at(1).atMs == 4500);
    BOOST_TEST(faults->at(1).signal == SIGKILL);
    for (const char *bad : {"1 signal entry-1 HUP", "x fault engine-1 {}", "1 fault engine-1", "-1 signal a KILL"}) {
        const auto refused = parseFaultSchedule("# one\n" + std::string(bad));
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST(refused.error().what.starts_with("line 2"), bad);
    }
}

BOOST_AUTO_TEST_CASE(duplicate_calls_false_not_run_errors_and_crossed_responses_are_detected)
{
    LoadRecord record(1);
    record.addToolCall(SentToolCall{"m-once", "d1", false, false});
    record.addToolCall(SentToolCall{"m-twice", "d2", false, false});
    record.addToolCall(SentToolCall{"m-twice-allowed", "d3", true, false});
    record.addToolCall(SentToolCall{"m-refused", "", false, true});
    record.addToolCall(SentToolCall{"m-crossed", "d5", false, false});
    record.addToolCall(SentToolCall{"m-never", "", false, true});
    checkToolCalls({toolRequest("m-once", "d1", "ok"), toolRequest("m-once", "d1", "refused"),
                       toolRequest("m-twice", "d2", "ok"), toolRequest("m-twice", "d2", "cancelled"),
                       toolRequest("m-twice-allowed", "d3", "fault"), toolRequest("m-twice-allowed", "d3", "ok"),
                       toolRequest("m-refused", "d4", "running"), toolRequest("m-crossed", "d6", "ok")},
        record);
    BOOST_TEST(countViolations(record, LoadGuarantee::AtMostOnce) == 1U);
    BOOST_TEST(countViolations(record, LoadGuarantee::NotRunIsAccurate) == 1U);
    BOOST_TEST(countViolations(record, LoadGuarantee::CompleteOwnResponse) == 1U);
}

BOOST_AUTO_TEST_CASE(only_tokens_cached_before_count_as_recomputed)
{
    const std::vector<LedgerRequest> engines = {{"p-1", "", "", "ok", "prompt=100 cached=0", 1},
        {"p-1", "", "", "ok", "prompt=150 cached=100", 2}, {"p-1", "", "", "ok", "prompt=200 cached=16", 3},
        {"p-2", "", "", "ok", "prompt=50 cached=0", 2}, {"p-2", "", "", "ok", "release=p-2", 9}};
    const CacheUse use = computeCacheUse(engines);
    BOOST_TEST(use.prompt == 500U);
    BOOST_TEST(use.cachedOnce == 250U);
    BOOST_TEST(use.recomputed == 134U);
}

BOOST_AUTO_TEST_CASE(a_report_compares_measures_with_another_run)
{
    LoadRecord record(2);
    record.addProgram(0, true, 2.0, 0);
    record.addProgram(0, true, 4.0, 500);
    record.addProgram(1, true, 6.0, 900);
    record.addProgram(1, false, 9.0, 950);
    record.addCall(0, 0.5);
    record.addRefusal(1);
    record.check(LoadGuarantee::Order, false, "program p-9 shows other calls");
    LoadReport report;
    report.customerNames = {"one", "two"};
    const auto measures = loadMeasures(report, record);
    BOOST_TEST(measures.at("latency_mean_s") == 4.0);
    BOOST_TEST(measures.at("worst_tenant_finished_share") == 0.5);
    BOOST_TEST(measures.at("promises_broken") == 1.0);
    const std::string text = loadMarkdown(report, record, {{"latency_mean_s", 8.0}});
    BOOST_TEST(text.find("| latency_mean_s | 4 | 8 | 0.5 |") != std::string::npos, text);
    BOOST_TEST(text.find("program p-9 shows other calls") != std::string::npos);
}
