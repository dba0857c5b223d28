/** @file load_mix_type.h  What the load tool sends: programs as steps, made from a seed so that two runs ask the same.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chestnuthook
{

enum class LoadStepKind : std::uint8_t { Think, Model, Tool, SubAgent };

/** One step of a program. */
struct LoadStep
{
    LoadStepKind kind = LoadStepKind::Think; ///< What is done.
    std::int64_t ms = 0; ///< Think: pause of the caller. Tool: how long the service takes.
    std::uint32_t words = 0; ///< Model: words of the new message.
    std::uint32_t maxTokens = 0; ///< Model: bound of the answer.
    bool stream = false; ///< Model: as server-sent events.
    bool idempotent = false; ///< Tool: may run twice.
    bool resend = false; ///< Tool: sent again after its answer.
    std::uint32_t turns = 0; ///< SubAgent: its model calls.
};

/** A whole program. */
struct LoadProgram
{
    std::uint64_t number = 0; ///< In the run, from 0.
    std::size_t customer = 0; ///< Index into the run's customers.
    std::int64_t arrivalMs = 0; ///< From the run's start.
    std::uint32_t callBudget = 0; ///< Calls it may make; steps past it must be refused.
    std::vector<LoadStep> steps; ///< In order.
};

/** The shape of a deployment's programs. */
struct LoadMix
{
    std::string_view name; ///< Deployment.
    std::uint32_t leastTurns; ///< Model calls of a program.
    std::uint32_t mostTurns; ///< Most programs are far below.
    std::int64_t meanThinkMs; ///< Between a person's turns.
    std::int64_t meanToolMs; ///< Of one tool call.
    std::uint32_t meanWords; ///< Of a new message.
    std::uint32_t maxTokens; ///< Of an answer.
    double toolShare; ///< Turns followed by a tool call.
    double idempotentShare; ///< Of tool calls.
    double resendShare; ///< Of non-idempotent tool calls.
    double subAgentShare; ///< Turns followed by a sub-agent.
    double streamShare; ///< Of model calls.
    double tightBudgetShare; ///< Programs whose budget ends before their steps.
};

/** How a run's programs arrive. */
struct LoadArrivals
{
    std::uint64_t seed = 1; ///< Of everything random.
    double programsPerSecond = 5; ///< Open loop: arrivals don't wait for answers.
    std::uint64_t programs = 100; ///< At most so many.
    std::int64_t durationMs = 20'000; ///< No arrivals after it.
    double timeScale = 0.05; ///< Factor on thinking and tool time, for small stand-ins.
    std::size_t customers = 1; ///< How many there are; the first ones are large.
    double greedyFactor = 1; ///< Factor on the arrivals of the first customer.
};

/** The mix of @p deployment, or null. */
[[nodiscard]] const LoadMix *findLoadMix(std::string_view deployment);

/** All programs of a run, in the order of their arrival. */
[[nodiscard]] std::vector<LoadProgram> planLoad(const LoadMix &mix, const LoadArrivals &arrivals);

} // namespace Chestnuthook
