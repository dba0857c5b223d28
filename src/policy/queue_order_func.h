/** @file queue_order_func.h  Orders in which waiting calls are served: rules behind one concept. */
#pragma once

#include <concepts>
#include <cstdint>

#include "core/id_type.h"
#include "core/timer_type.h"

namespace Chestnuthook
{

/** A call that waits for its turn at an endpoint. */
struct QueuedCall
{
    std::uint64_t id = 0; ///< Of the asker; unique in its queue.
    CustomerId customer; ///< For fairness.
    double attainedTokens = 0; ///< Service that its program has had.
    double expectedTokens = 0; ///< Prefill that is not cached, and decode.
    Instant arrived; ///< When it came to the queue.
    bool isolated = false; ///< Runs with nothing else in flight at the endpoint.
};

/** Gives each call a key that doesn't change while it waits; the least is served first. */
template<typename T>
concept QueueOrder = requires(const T &order, const QueuedCall &call)
{
    {
        order.key(call)
        } -> std::convertible_to<double>;
};

/** First come, first served. */
struct ArrivalOrder
{
    [[nodiscard]] double key(const QueuedCall &call) const
    {
        return static_cast<double>(call.arrived.us);
    }
};

/** The call with the least work first, whatever its program has had. */
struct ShortestFirst
{
    [[nodiscard]] double key(const QueuedCall &call) const
    {
        return call.expectedTokens;
    }
};

/** The program with the least service first. A call ages: each second of waiting counts as AgeingTokensPerSecond less
 * service, so a long program is overtaken for a bounded time only. As all keys fall alike, they need no updates. */
struct LeastAttainedService
{
    double ageingTokensPerSecond = 200; ///< Zero for no ageing.

    [[nodiscard]] double key(const QueuedCall &call) const
    {
        return call.attainedTokens + static_cast<double>(call.arrived.us) / 1e6 * this->ageingTokensPerSecond;
    }
};

/** The program with the most service first, so that what was begun is finished, ends its memory and wastes no cache.
 * A call ages: each second of waiting counts as AgeingTokensPerSecond more service. */
struct MostAttainedService
{
    double ageingTokensPerSecond = 50; ///< Zero for no ageing.

    [[nodiscard]] double key(const QueuedCall &call) const
    {
        return static_cast<double>(call.arrived.us) / 1e6 * this->ageingTokensPerSecond - call.attainedTokens;
    }
};

static_assert(
    QueueOrder<
        MostAttainedService> && QueueOrder<ArrivalOrder> && QueueOrder<ShortestFirst> && QueueOrder<LeastAttainedService>);

} // namespace Chestnuthook
