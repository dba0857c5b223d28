/** @file endpoint_choice_func.h  Load balancing: rules that choose an endpoint for a call. */
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>

#include "policy/random_func.h"

namespace Chestnuthook
{

/** Estimated state of one candidate endpoint; may be out of date. */
struct EndpointEstimate
{
    std::size_t inFlight = 0; ///< Calls that run or wait at the endpoint.
    double backlogTokens = 0; ///< Expected tokens of these calls; prefill is weighted by PrefillCost.
    double cachedTokens = 0; ///< Tokens of this call's prompt that the endpoint has cached.
};

/** Estimated size of a call. */
struct CallEstimate
{
    double promptTokens = 0; ///< Tokens of the prompt, including the history.
    double outputTokens = 0; ///< Expected tokens of the answer.
};

/** Cost of prefilling one token relative to that of decoding one token in a full batch. */
constexpr double PrefillCost = 0.15;

/** A rule that returns an index into @p endpoints, which is not empty. @p state belongs to the rule and is kept between
 * its calls. */
template<typename T>
concept EndpointChoice = requires(
    const T &rule, std::span<const EndpointEstimate> endpoints, const CallEstimate &call, std::uint64_t &state)
{
    {
        rule.choose(endpoints, call, state)
        } -> std::same_as<std::size_t>;
};

/** Endpoints in turn. */
struct RoundRobin
{
    [[nodiscard]] std::size_t choose(
        std::span<const EndpointEstimate> endpoints, const CallEstimate & /*call*/, std::uint64_t &state) const
    {
        return static_cast<std::size_t>(state++ % endpoints.size());
    }
};

/** The endpoint with the fewest calls in flight; ties are broken in turn. */
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

/** The less loaded of two endpoints that are drawn at random. */
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

/** The endpoint with the most cached tokens of the prompt, whatever its load; a lower bound for recomputed tokens in
 * benchmarks. */
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

/** The endpoint with the earliest predicted completion: its backlog, then prefill of the tokens that are not cached,
 * then decode. */
struct PredictedCompletion
{
    double cacheWeight = 16; ///< Weight of a token to prefill against a token of backlog; higher values keep
                             ///< programs at their endpoint.

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
