/** @file load_mix_func.cpp  Generates the workload of a run. */
#include <algorithm>
#include <array>
#include <cmath>
#include <random>

#include "load/load_mix_type.h"

namespace Chestnuthook
{

namespace
{

constexpr std::array<LoadMix, 2> Mixes{{
    {.name = "kortagatt",
        .minTurns = 4,
        .maxTurns = 40,
        .meanThinkMs = 20'000,
        .meanToolMs = 3000,
        .meanWords = 60,
        .maxTokens = 200,
        .toolShare = 0.15,
        .idempotentShare = 0.3,
        .resendShare = 0.3,
        .subAgentShare = 0.1,
        .streamShare = 0.8,
        .tightBudgetShare = 0.1},
    {.name = "derwent",
        .minTurns = 2,
        .maxTurns = 12,
        .meanThinkMs = 5000,
        .meanToolMs = 1500,
        .meanWords = 25,
        .maxTokens = 80,
        .toolShare = 0.6,
        .idempotentShare = 0.5,
        .resendShare = 0.3,
        .subAgentShare = 0.05,
        .streamShare = 0.4,
        .tightBudgetShare = 0.1},
}};

constexpr std::uint32_t SubAgentTurns = 3;
constexpr double LargeCustomerWeight = 4;
constexpr std::size_t CustomersPerLargeOne = 3;

/** Random numbers that are the same with every standard library, unlike the distributions of <random>. */
class RandomGenerator
{
public:
    explicit RandomGenerator(std::uint64_t seed)
        : generator(seed)
    {
    }
    double uniform()
    {
        return static_cast<double>(this->generator() >> 11U) / 9007199254740992.0;
    }
    bool chance(double share)
    {
        return this->uniform() < share;
    }
    double exponential(double mean)
    {
        return -std::log(1 - this->uniform()) * mean;
    }

private:
    std::mt19937_64 generator; ///< Its sequence is fixed by the standard.
};

void addTurn(LoadProgram &program, const LoadMix &mix, const LoadArrivals &arrivals, RandomGenerator &rng)
{
    LoadStep model{.kind = LoadStepKind::Model};
    model.words = 1 + static_cast<std::uint32_t>(rng.exponential(mix.meanWords));
    model.maxTokens = mix.maxTokens;
    model.stream = rng.chance(mix.streamShare);
    program.steps.push_back(model);
    if (rng.chance(mix.toolShare)) {
        LoadStep tool{.kind = LoadStepKind::Tool};
        tool.ms = static_cast<std::int64_t>(rng.exponential(static_cast<double>(mix.meanToolMs)) * arrivals.timeScale);
        tool.idempotent = rng.chance(mix.idempotentShare);
        tool.resend = !tool.idempotent && rng.chance(mix.resendShare);
        program.steps.push_back(tool);
    }
    if (rng.chance(mix.subAgentShare)) {
        LoadStep agent{.kind = LoadStepKind::SubAgent};
        agent.turns = 1 + static_cast<std::uint32_t>(rng.uniform() * SubAgentTurns);
        program.steps.push_back(agent);
    }
    const double think = rng.exponential(static_cast<double>(mix.meanThinkMs)) * arrivals.timeScale;
    program.steps.push_back(LoadStep{.kind = LoadStepKind::Think, .ms = static_cast<std::int64_t>(think)});
}

std::uint32_t countCalls(const LoadProgram &program)
{
    return static_cast<std::uint32_t>(
        std::count_if(program.steps.begin(), program.steps.end(), [](const LoadStep &step) {
            return step.kind == LoadStepKind::Model || step.kind == LoadStepKind::Tool;
        }));
}

std::size_t drawCustomer(const LoadArrivals &arrivals, RandomGenerator &rng)
{
    std::vector<double> weights(arrivals.customers, 1);
    for (std::size_t i = 0; i < (arrivals.customers + CustomersPerLargeOne - 1) / CustomersPerLargeOne; ++i) {
        weights[i] = LargeCustomerWeight;
    }
    weights.front() *= arrivals.greedyFactor;
    double total = 0;
    for (const double weight : weights) {
        total += weight;
    }
    double at = rng.uniform() * total;
    std::size_t customer = 0;
    while (customer + 1 < weights.size() && at >= weights[customer]) {
        at -= weights[customer++];
    }
    return customer;
}

} // namespace

const LoadMix *findLoadMix(std::string_view deployment)
{
    const auto *const found = std::find_if(Mixes.begin(), Mixes.end(), [&](const LoadMix &mix) {
        return mix.name == deployment;
    });
    return found == Mixes.end() ? nullptr : found;
}

std::vector<LoadProgram> planWorkload(const LoadMix &mix, const LoadArrivals &arrivals)
{
    RandomGenerator rng(arrivals.seed);
    std::vector<LoadProgram> programs;
    double now = 0;
    while (programs.size() < arrivals.programs) {
        now += rng.exponential(1000 / arrivals.programsPerSecond);
        if (now > static_cast<double>(arrivals.durationMs)) {
            break;
        }
        LoadProgram program;
        program.number = programs.size();
        program.arrivalMs = static_cast<std::int64_t>(now);
        program.customer = drawCustomer(arrivals, rng);
        const double spread = (mix.maxTurns - mix.minTurns) / 4.0;
        const auto turns = mix.minTurns + static_cast<std::uint32_t>(rng.exponential(spread));
        for (std::uint32_t turn = 0; turn < std::min(turns, mix.maxTurns); ++turn) {
            addTurn(program, mix, arrivals, rng);
        }
        const std::uint32_t calls = countCalls(program);
        program.callBudget = rng.chance(mix.tightBudgetShare) ? std::max(1U, calls / 2) : calls;
        programs.push_back(std::move(program));
    }
    return programs;
}

} // namespace Chestnuthook
