/** @file endpoint_choice_func.h  Choice of an endpoint for a call: rules behind one concept. */
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>

#include "policy/random_func.h"

namespace Chestnuthook
{

/** What is known of one fitting endpoint; may be late. */
struct EndpointEstimate
{
    std::size_t inFlight = 0; ///< Calls that run or wait there.
    double backlogTokens = 0; ///< Their expected tokens, prefill at its cost in decoded tokens.
    double cachedTokens = 0; ///< Of this call's prompt.
};

/** What is known of the call. */
struct CallEstimate
{
    double promptTokens = 0; ///< History included.
    double outputTokens = 0; ///< Expected.
};

/** Cost of one prefilled token over that of one decoded token in a full batch. */
constexpr double PrefillCost = 0.15;

/** Picks an index into @p endpoints, which is not empty; @p state is the rule's own memory. */
template<typename T>
concept EndpointChoice = requires(
    const T &rule, std::span<const EndpointEstimate> endpoints, const CallEstimate &call, std::uint64_t &state)
{
    {
        rule.choose(endpoints, call, state)
        } -> std::same_as<std::size_t>;
};

struct RoundRobin
{
    [[nodiscard]] std::size_t choose(
        std::span<const EndpointEstimate> endpoints, const CallEstimate & /*call*/, std::uint64_t &state) const
    {
        return static_cast<std::size_t>(state++ % endpoints.size());
    }
};

struct LeastLoaded
{
    [[nodiscard]] std::size_t choose(
        std::span<const EndpointEstimate> endpoints, const CallEstimate & /*call*/, std::uint64_t &state) const
    {
        const std::size_t begin = static_cast<std::size_t>(state++ % endpoints.size());
        std::size_t best = begin;
        for (std::size_t i = 1; i < endpoints.size(); ++i) {
            const std::size_t candidate = (begin + i) % endpoints.size();
            best = endpoints[candidate].inFlight < endpoints[best].inFlight ? candidate : best;
        }
        return best;
    }
};

struct PowerOfTwoChoices
{
    [[nodiscard]] std::size_t choose(
        std::span<const EndpointEstimate> endpoints, const CallEstimate & /*call*/, std::uint64_t &state) const
    {
        const std::size_t first = static_cast<std::size_t>(nextRandom(state) % endpoints.size());
        const std::size_t second = static_cast<std::size_t>(nextRandom(state) % endpoints.size());
        return endpoints[second].inFlight < endpoints[first].inFlight ? second : first;
    }
};

/** Always where most of the prompt is cached; for the bound on recomputed tokens. */
struct StrictCacheAffinity
{
    [[nodiscard]] std::size_t choose(
        std::span<const EndpointEstimate> endpoints, const CallEstimate &call, std::uint64_t &state) const
    {
        std::size_t best = LeastLoaded().choose(endpoints, call, state);
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            best = endpoints[i].cachedTokens > endpoints[best].cachedTokens ? i : best;
        }
        return best;
    }
};

/** Least predicted completion: backlog, then prefill of what is not cached, then decode. */
struct PredictedCompletion
{
    double cacheWeight = 16; ///< Tokens of backlog that a token of prefill outweighs; more keeps programs in place.

    [[nodiscard]] std::size_t choose(
        std::span<const EndpointEstimate> endpoints, const CallEstimate &call, std::uint64_t &state) const
    {
        const std::size_t begin = static_cast<std::size_t>(state++ % endpoints.size());
        std::size_t best = begin;
        double least = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            const std::size_t candidate = (begin + i) % endpoints.size();
            const EndpointEstimate &endpoint = endpoints[candidate];
            const double prefill = (call.promptTokens - endpoint.cachedTokens) * PrefillCost * this->cacheWeight;
            const double completion = endpoint.backlogTokens + prefill + call.outputTokens;
            if (completion < least) {
                least = completion;
                best = candidate;
            }
        }
        return best;
    }
};

static_assert(
    EndpointChoice<
        RoundRobin> && EndpointChoice<LeastLoaded> && EndpointChoice<PowerOfTwoChoices> && EndpointChoice<StrictCacheAffinity> && EndpointChoice<PredictedCompletion>);

} // namespace Chestnuthook
