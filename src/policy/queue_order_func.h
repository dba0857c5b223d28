/** @file queue_order_func.h  Scheduling orders in which waiting calls are served. */
#pragma once

#include <concepts>
#include <cstdint>

#include "core/id_type.h"
#include "core/timer_type.h"

namespace Chestnuthook
{

/** A call in the queue of an endpoint. */
struct QueuedCall
{
    std::uint64_t id = 0; ///< Unique in its queue.
    CustomerId customer; ///< Customer of the call, for fair queueing.
    double attainedTokens = 0; ///< Service that its program has received.
    double expectedTokens = 0; ///< Prefill of tokens that are not cached, and decode.
    Instant arrived; ///< Time when it was queued.
    bool isolated = false; ///< Runs only while no other call is in flight at the endpoint.
};

/** An order gives each call a key that does not change while it waits. The call with the lowest key is served first. */
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

/** The call with the least expected work first, whatever service its program has received. */
struct ShortestFirst
{
    [[nodiscard]] double key(const QueuedCall &call) const
    {
        return call.expectedTokens;
    }
};

/** The program with the least attained service first. Calls age: each second of waiting counts as ageingTokensPerSecond
 * less service, so a long program can be overtaken for a bounded time only. All calls age at the same rate, so keys
 * need no updates. */
struct LeastAttainedService
{
    double ageingTokensPerSecond = 200; ///< Tokens per second of waiting; 0 turns ageing off.

    [[nodiscard]] double key(const QueuedCall &call) const
    {
        return call.attainedTokens + static_cast<double>(call.arrived.us) / 1e6 * this->ageingTokensPerSecond;
    }
};

/** The program with the most attained service first. Programs that have started are finished, so that their cache is
 * used and then freed. Calls age: each second of waiting counts as ageingTokensPerSecond more service. */
struct MostAttainedService
{
    double ageingTokensPerSecond = 50; ///< Tokens per second of waiting; 0 turns ageing off.

    [[nodiscard]] double key(const QueuedCall &call) const
    {
        return static_cast<double>(call.arrived.us) / 1e6 * this->ageingTokensPerSecond - call.attainedTokens;
    }
};

static_assert(
    QueueOrder<
        MostAttainedService> && QueueOrder<ArrivalOrder> && QueueOrder<ShortestFirst> && QueueOrder<LeastAttainedService>);

} // namespace Chestnuthook
