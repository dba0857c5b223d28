/** @file policy_bench.cpp  The four measures of the users for each mix, against every baseline and with each mechanism
 * turned off, in virtual time: the same figures on each run. */
#include <cmath>
#include <cstdio>
#include <string>

#include "model/fleet_model.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Model;

namespace
{

/** Prints one measure; a bound above zero is the most that ratio may be, one below zero the least that value may be. */
void print(const std::string &name, double value, double baseline, double bound)
{
    // Against a baseline of nothing, anything is too much.
    const double ratio = baseline != 0 ? value / baseline : value == 0 ? 0 : HUGE_VAL;
    const bool red = bound > 0 ? ratio > bound : bound < 0 && value < -bound;
    char limit[32] = "none";
    if (bound != 0) {
        std::snprintf(limit, sizeof(limit), "%s%.2f", bound > 0 ? "<=" : ">=", std::abs(bound));
    }
    std::printf("name=policy.%s value=%.3f baseline=%.3f ratio=%.3f bound=%s verdict=%s\n", name.c_str(), value,
        baseline, ratio, limit, red ? "red" : "ok");
}

void printAll(const std::string &name, const Measures &value, const Measures &ours)
{
    print(name + ".mean_latency_s", value.meanLatency, ours.meanLatency, 0);
    print(name + ".p95_latency_s", value.p95Latency, ours.p95Latency, 0);
    print(name + ".recomputed_tokens", value.recomputed, ours.recomputed, 0);
    print(name + ".paused_token_seconds", value.pausedTokenSeconds, ours.pausedTokenSeconds, 0);
    print(name + ".ended_token_seconds", value.endedTokenSeconds, ours.endedTokenSeconds, 0);
    print(name + ".worst_share", value.worstShare, ours.worstShare, 0);
    print(name + ".worst_tenant_latency_s", value.worstLatency, ours.worstLatency, 0);
}

template<typename Order, typename Choice, typename Keep>
Measures measure(const Mix &mix, Options options, Order order = {}, Choice choice = {}, Keep keep = {})
{
    return FleetModel<Order, Choice, Keep>(mix, options, order, choice, keep).run();
}

using OurOrder = MostAttainedService;
using OurChoice = PredictedCompletion;
using OurKeep = LeastCost;

Options baselineOptions(Options options)
{
    options.fair = false;
    options.prefixIndex = false;
    return options;
}

void benchBaselines(const Mix &mix, const Options &options, const Measures &ours)
{
    const Options plain = baselineOptions(options);
    Options affinity = plain;
    affinity.prefixIndex = true;
    Options reports = plain;
    reports.load = LoadSource::Reports;
    const std::string name = mix.name + ".baseline.";
    printAll(name + "arrival_least_loaded", measure<ArrivalOrder, LeastLoaded, AlwaysHold>(mix, plain), ours);
    printAll(name + "arrival_least_reported", measure<ArrivalOrder, LeastLoaded, AlwaysHold>(mix, reports), ours);
    printAll(name + "arrival_two_choices", measure<ArrivalOrder, PowerOfTwoChoices, AlwaysHold>(mix, reports), ours);
    printAll(name + "arrival_affinity", measure<ArrivalOrder, StrictCacheAffinity, AlwaysHold>(mix, affinity), ours);
    printAll(name + "least_attained", measure<LeastAttainedService, OurChoice, OurKeep>(mix, options), ours);
    printAll(name + "shortest_first", measure<ShortestFirst, OurChoice, OurKeep>(mix, options), ours);
}

void benchAblations(const Mix &mix, const Options &options, const Measures &ours)
{
    const std::string name = mix.name + ".without.";
    printAll(name + "order", measure<ArrivalOrder, OurChoice, OurKeep>(mix, options), ours);
    printAll(name + "ageing", measure<OurOrder, OurChoice, OurKeep>(mix, options, OurOrder{0}), ours);
    Options unfair = options;
    unfair.fair = false;
    printAll(name + "fairness", measure<OurOrder, OurChoice, OurKeep>(mix, unfair), ours);
    Options blind = options;
    blind.prefixIndex = false;
    printAll(name + "prefix_index", measure<OurOrder, OurChoice, OurKeep>(mix, blind), ours);
    Options reports = options;
    reports.load = LoadSource::Reports;
    printAll(name + "counts_but_reports", measure<OurOrder, OurChoice, OurKeep>(mix, reports), ours);
    Options corrected = options;
    corrected.load = LoadSource::CorrectedReports;
    printAll(name + "counts_but_corrected", measure<OurOrder, OurChoice, OurKeep>(mix, corrected), ours);
    printAll(name + "retention_but_hold", measure<OurOrder, OurChoice, AlwaysHold>(mix, options), ours);
    printAll(name + "retention_but_drop", measure<OurOrder, OurChoice, AlwaysDrop>(mix, options), ours);
    Options unreleased = options;
    unreleased.releaseEnded = false;
    printAll(name + "release_of_ended", measure<OurOrder, OurChoice, OurKeep>(mix, unreleased), ours);
}

/** The targets of the design. */
void benchTargets(const Mix &mix, const Options &options, const Measures &ours)
{
    const Measures rotation = measure<ArrivalOrder, RoundRobin, AlwaysHold>(mix, baselineOptions(options));
    Options affinityOptions = options;
    const Measures affinity = measure<OurOrder, StrictCacheAffinity, OurKeep>(mix, affinityOptions);
    print(mix.name + ".mean_latency_s_against_arrival_round_robin", ours.meanLatency, rotation.meanLatency, 0.5);
    print(mix.name + ".recomputed_tokens_against_round_robin", ours.recomputed, rotation.recomputed, 0.3);
    print(mix.name + ".recomputed_tokens_against_affinity", ours.recomputed, affinity.recomputed, 1.1);
    print(mix.name + ".worst_share", ours.worstShare, rotation.worstShare, -0.95);
    print(mix.name + ".worst_share_of_all_demand", ours.worstShareOfAllDemand, rotation.worstShareOfAllDemand, -0.95);
    printAll(mix.name + ".baseline.arrival_round_robin", rotation, ours);
}

void benchMix(const Mix &mix, const Options &options, bool smoke)
{
    const Measures ours = measure<OurOrder, OurChoice, OurKeep>(mix, options);
    printAll(mix.name + ".ours", ours, ours);
    benchTargets(mix, options, ours);
    if (!smoke) {
        benchBaselines(mix, options, ours);
        benchAblations(mix, options, ours);
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
    return 0; // scripts/bench judges by the verdicts.
}
