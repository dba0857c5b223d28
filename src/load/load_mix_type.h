/** @file load_mix_type.h  Workload of the load tool: programs and their steps, generated from a seed so that runs with
 * the same seed send the same requests. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

/** Kinds of steps: a pause, a model call, a tool call, or a sub-agent with its own program. */
enum class LoadStepKind : std::uint8_t { Think, Model, Tool, SubAgent };

/** One step of a program. */
struct LoadStep
{
    LoadStepKind kind = LoadStepKind::Think; ///< Kind of step.
    std::int64_t ms = 0; ///< Think: length of the pause. Tool: delay of the service. In milliseconds.
    std::uint32_t words = 0; ///< Model: number of words in the new message.
    std::uint32_t maxTokens = 0; ///< Model: maximum number of tokens in the completion.
    bool stream = false; ///< Model: request the completion as server-sent events.
    bool idempotent = false; ///< Tool: the call is declared idempotent, so it may run more than once.
    bool resend = false; ///< Tool: send the call again after its response.
    std::uint32_t turns = 0; ///< SubAgent: number of its model calls.
};

/** The plan of a program. */
struct LoadProgram
{
    std::uint64_t number = 0; ///< Number in the run, from 0.
    std::size_t customer = 0; ///< Index of its customer in LoadTarget::customers.
    std::int64_t arrivalMs = 0; ///< Arrival time in milliseconds from the start of the run.
    std::uint32_t callBudget = 0; ///< Maximum number of calls; further calls must be rejected.
    std::vector<LoadStep> steps; ///< Steps in their order.
};

/** Parameters of the programs of a deployment. */
struct LoadMix
{
    std::string_view name; ///< Name of the deployment.
    std::uint32_t minTurns; ///< Minimum number of model calls of a program.
    std::uint32_t maxTurns; ///< Maximum number of model calls; most programs have far fewer.
    std::int64_t meanThinkMs; ///< Mean pause between two turns, in milliseconds.
    std::int64_t meanToolMs; ///< Mean duration of a tool call, in milliseconds.
    std::uint32_t meanWords; ///< Mean number of words in a new message.
    std::uint32_t maxTokens; ///< Maximum number of tokens in a completion.
    double toolShare; ///< Share of turns followed by a tool call.
    double idempotentShare; ///< Share of tool calls that are idempotent.
    double resendShare; ///< Share of the other tool calls that are sent again after their response.
    double subAgentShare; ///< Share of turns followed by a sub-agent.
    double streamShare; ///< Share of model calls that are streamed.
    double tightBudgetShare; ///< Share of programs whose budget is too small for their calls.
};

/** Parameters of the arrivals of a run. */
struct LoadArrivals
{
    std::uint64_t seed = 1; ///< Seed of all random numbers.
    double programsPerSecond = 5; ///< Mean arrival rate. Open loop: arrivals do not wait for responses.
    std::uint64_t programs = 100; ///< Maximum number of programs.
    std::int64_t durationMs = 20'000; ///< Time in which programs arrive, in milliseconds.
    double timeScale = 0.05; ///< Factor applied to pauses and tool durations, for small fakes.
    std::size_t customers = 1; ///< Number of customers; the first third of them is large.
    double greedyFactor = 1; ///< Factor applied to the weight of the first customer.
};

/** The mix of @p deployment, or null if there is none. */
[[nodiscard]] const LoadMix *findLoadMix(std::string_view deployment);

/** Plans all programs of a run, in the order of their arrival. */
[[nodiscard]] std::vector<LoadProgram> planWorkload(const LoadMix &mix, const LoadArrivals &arrivals);

} // namespace Chestnuthook
