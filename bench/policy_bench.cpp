/** @file policy_bench.cpp  Latency, recomputed tokens, held cache and fairness of the production policies for each
 * workload mix, against baselines and with each mechanism turned off. Runs in virtual time, so results are
 * reproducible. */
#include <cmath>
#include <cstdio>
#include <string>

#include "model/fleet_model.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Model;

namespace
{

/** Prints one measure. A @p bound above zero is the maximum ratio to the baseline; the absolute value of one below zero
 * is the minimum value. */
void print(const std::string &name, double value, double baseline, double bound)
{
    // Any value exceeds a baseline of zero.
    const double ratio = baseline != 0 ? value / baseline : value == 0 ? 0 : HUGE_VAL;
    const bool isFailed = bound > 0 ? ratio > bound : bound < 0 && value < -bound;
    char limit[32] = "none";
    if (bound != 0) {
        std::snprintf(limit, sizeof(limit), "%s%.2f", bound > 0 ? "<=" : ">=", std::abs(bound));
    }
    std::printf("name=policy.%s value=%.3f baseline=%.3f ratio=%.3f bound=%s verdict=%s\n", name.c_str(), value,
        baseline, ratio, limit, isFailed ? "red" : "ok");
}

void printAll(const std::string &name, const Measures &value, const Measures &production)
{
    print(name + ".mean_latency_s", value.meanLatency, production.meanLatency, 0);
    print(name + ".p95_latency_s", value.p95Latency, production.p95Latency, 0);
    print(name + ".recomputed_tokens", value.recomputed, production.recomputed, 0);
    print(name + ".paused_token_seconds", value.pausedTokenSeconds, production.pausedTokenSeconds, 0);
    print(name + ".ended_token_seconds", value.endedTokenSeconds, production.endedTokenSeconds, 0);
    print(name + ".worst_share", value.worstShare, production.worstShare, 0);
    print(name + ".worst_tenant_latency_s", value.worstLatency, production.worstLatency, 0);
}

template<typename Order, typename Choice, typename RetentionPolicy>
Measures measure(const Mix &mix, Options options, Order order = {}, Choice choice = {}, RetentionPolicy retention = {})
{
    return FleetModel<Order, Choice, RetentionPolicy>(mix, options, order, choice, retention).run();
}

using ProductionOrder = MostAttainedService;
using ProductionChoice = PredictedCompletion;
using ProductionRetention = LeastCost;

Options baselineOptions(Options options)
{
    options.fair = false;
    options.prefixIndex = false;
    return options;
}

void benchBaselines(const Mix &mix, const Options &options, const Measures &production)
{
    const Options baseline = baselineOptions(options);
    Options affinity = baseline;
    affinity.prefixIndex = true;
    Options reports = baseline;
    reports.load = LoadSource::Reports;
    const std::string name = mix.name + ".baseline.";
    printAll(name + "arrival_least_loaded", measure<ArrivalOrder, LeastLoaded, AlwaysHold>(mix, baseline), production);
    printAll(name + "arrival_least_reported", measure<ArrivalOrder, LeastLoaded, AlwaysHold>(mix, reports), production);
    printAll(
        name + "arrival_two_choices", measure<ArrivalOrder, PowerOfTwoChoices, AlwaysHold>(mix, reports), production);
    printAll(
        name + "arrival_affinity", measure<ArrivalOrder, StrictCacheAffinity, AlwaysHold>(mix, affinity), production);
    printAll(name + "least_attained",
        measure<LeastAttainedService, ProductionChoice, ProductionRetention>(mix, options), production);
    printAll(name + "shortest_first", measure<ShortestFirst, ProductionChoice, ProductionRetention>(mix, options),
        production);
}

void benchAblations(const Mix &mix, const Options &options, const Measures &production)
{
    const std::string name = mix.name + ".without.";
    printAll(name + "order", measure<ArrivalOrder, ProductionChoice, ProductionRetention>(mix, options), production);
    printAll(name + "ageing",
        measure<ProductionOrder, ProductionChoice, ProductionRetention>(mix, options, ProductionOrder{0}), production);
    Options unfair = options;
    unfair.fair = false;
    printAll(
        name + "fairness", measure<ProductionOrder, ProductionChoice, ProductionRetention>(mix, unfair), production);
    Options withoutIndex = options;
    withoutIndex.prefixIndex = false;
    printAll(name + "prefix_index", measure<ProductionOrder, ProductionChoice, ProductionRetention>(mix, withoutIndex),
        production);
    Options reports = options;
    reports.load = LoadSource::Reports;
    printAll(name + "counts_but_reports", measure<ProductionOrder, ProductionChoice, ProductionRetention>(mix, reports),
        production);
    Options corrected = options;
    corrected.load = LoadSource::CorrectedReports;
    printAll(name + "counts_but_corrected",
        measure<ProductionOrder, ProductionChoice, ProductionRetention>(mix, corrected), production);
    printAll(
        name + "retention_but_hold", measure<ProductionOrder, ProductionChoice, AlwaysHold>(mix, options), production);
    printAll(
        name + "retention_but_drop", measure<ProductionOrder, ProductionChoice, AlwaysDrop>(mix, options), production);
    Options unreleased = options;
    unreleased.releaseEnded = false;
    printAll(name + "release_of_ended",
        measure<ProductionOrder, ProductionChoice, ProductionRetention>(mix, unreleased), production);
}

/** Compares the production policies with the targets of the design. */
void benchTargets(const Mix &mix, const Options &options, const Measures &production)
{
    const Measures roundRobin = measure<ArrivalOrder, RoundRobin, AlwaysHold>(mix, baselineOptions(options));
    Options affinityOptions = options;
    const Measures affinity = measure<ProductionOrder, StrictCacheAffinity, ProductionRetention>(mix, affinityOptions);
    print(
        mix.name + ".mean_latency_s_against_arrival_round_robin", production.meanLatency, roundRobin.meanLatency, 0.5);
    print(mix.name + ".recomputed_tokens_against_round_robin", production.recomputed, roundRobin.recomputed, 0.3);
    print(mix.name + ".recomputed_tokens_against_affinity", production.recomputed, affinity.recomputed, 1.1);
    print(mix.name + ".worst_share", production.worstShare, roundRobin.worstShare, -0.95);
    print(mix.name + ".worst_share_of_all_demand", production.worstShareOfAllDemand, roundRobin.worstShareOfAllDemand,
        -0.95);
    printAll(mix.name + ".baseline.arrival_round_robin", roundRobin, production);
}

void benchMix(const Mix &mix, const Options &options, bool smoke)
{
    const Measures production = measure<ProductionOrder, ProductionChoice, ProductionRetention>(mix, options);
    printAll(mix.name + ".ours", production, production);
    benchTargets(mix, options, production);
    if (!smoke) {
        benchBaselines(mix, options, production);
        benchAblations(mix, options, production);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const bool smoke = argc > 1 && std::string(argv[1]) == "--smoke";
    constexpr std::uint64_t Seed = 2026;
    benchMix(kortagattMix(Seed), Options{}, smoke);
    benchMix(derwentMix(Seed), Options{}, smoke);
    Mix fault = kortagattMix(Seed);
    fault.name = "fault";
    Options faults;
    faults.faults = true;
    faults.reportLag = 3;
    benchMix(fault, faults, smoke);
    return 0; // scripts/bench evaluates the printed verdicts.
}
