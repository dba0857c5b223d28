/** @file endpoint_queue_base.h  The calls in flight and waiting at one endpoint, as its dispatcher counts them. */
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "policy/fair_counter_base.h"
#include "policy/queue_order_func.h"

namespace Chestnuthook
{

/** Bounds of one endpoint. */
struct EndpointLimits
{
    std::size_t inFlight = 32; ///< Calls that may run at the same time.
    std::size_t waiting = 512; ///< Calls that may wait.
    bool fair = true; ///< Serve customers by their counters; else all calls by the order alone.
};

/** Invariants: at most bounds.inFlight calls run, each id is in flight at most once, and while an isolated call runs
 * nothing else does. Pure. */
template<QueueOrder Order>
class EndpointQueue
{
public:
    explicit EndpointQueue(EndpointLimits given = {}, Order rule = {})
        : bounds(given)
        , order(rule)
    {
    }

    /** Adds a call. @return the id of the call that was shed for want of room, which may be @p call's own: the newest
     * call of the customer that waits for most by its weight. */
    std::optional<std::uint64_t> push(const QueuedCall &call, FairCounters &fairness)
    {
        if (this->customerOf.contains(call.id)) {
            return std::nullopt; // A resend.
        }
        fairness.enter(call.customer);
        this->customerOf[call.id] = call.customer;
        this->waiting[call.customer].emplace(std::pair{this->order.key(call), call.id}, call);
        this->waitingTokensSum += call.expectedTokens;
        if (++this->waitingCount <= this->bounds.waiting) {
            return std::nullopt;
        }
        const std::uint64_t shed = this->newestOf(this->mostWaiting(fairness));
        this->remove(shed, fairness);
        return shed;
    }

    /** Takes the next call that may start, and counts it as in flight. */
    std::optional<QueuedCall> start(FairCounters &fairness)
    {
        if (this->waitingCount == 0 || this->running.size() >= this->bounds.inFlight || this->isolatedRuns) {
            return std::nullopt;
        }
        const CustomerId customer = this->nextCustomer(fairness);
        const QueuedCall call = this->waiting[customer].begin()->second;
        if (call.isolated && !this->running.empty()) {
            return std::nullopt; // Its turn has come: what runs is let end first.
        }
        this->drop(call);
        this->running.emplace(call.id, call);
        this->runningTokensSum += call.expectedTokens;
        this->isolatedRuns = call.isolated;
        fairness.charge(call.customer, call.expectedTokens);
        return call;
    }

    /** Counts a call that runs already, whatever the bounds say. A call that waited starts. */
    void adopt(const QueuedCall &call, FairCounters &fairness)
    {
        if (this->running.contains(call.id)) {
            return;
        }
        this->remove(call.id, fairness);
        fairness.enter(call.customer);
        fairness.charge(call.customer, call.expectedTokens);
        this->customerOf[call.id] = call.customer;
        this->running.emplace(call.id, call);
        this->runningTokensSum += call.expectedTokens;
        this->isolatedRuns = this->isolatedRuns || call.isolated;
    }

    /** A call ended, or was given up while it waited. @return false where it is unknown, such as on a resend. */
    bool remove(std::uint64_t id, FairCounters &fairness)
    {
        const auto customer = this->customerOf.find(id);
        if (customer == this->customerOf.end()) {
            return false;
        }
        fairness.leave(customer->second);
        const auto runs = this->running.find(id);
        if (runs != this->running.end()) {
            this->isolatedRuns = this->isolatedRuns && !runs->second.isolated;
            this->runningTokensSum -= runs->second.expectedTokens;
            this->running.erase(runs);
        } else {
            const auto &calls = this->waiting[customer->second];
            const auto found = std::find_if(calls.begin(), calls.end(), [&](const auto &entry) {
                return entry.first.second == id;
            });
            this->drop(QueuedCall(found->second));
        }
        this->customerOf.erase(id);
        return true;
    }

    [[nodiscard]] std::size_t inFlightCount() const
    {
        return this->running.size();
    }
    [[nodiscard]] std::size_t waitingSize() const
    {
        return this->waitingCount;
    }
    /** Expected tokens of all calls that wait or run. */
    [[nodiscard]] double backlogTokens() const
    {
        return this->waitingTokensSum + this->runningTokensSum;
    }
    [[nodiscard]] bool contains(std::uint64_t id) const
    {
        return this->customerOf.contains(id);
    }
    [[nodiscard]] bool isRunning(std::uint64_t id) const
    {
        return this->running.contains(id);
    }

    EndpointLimits bounds; ///< May change at any time; nothing running is stopped by it.

private:
    using Calls = std::map<std::pair<double, std::uint64_t>, QueuedCall>;

    void drop(const QueuedCall &call)
    {
        const auto calls = this->waiting.find(call.customer);
        calls->second.erase(std::pair{this->order.key(call), call.id});
        if (calls->second.empty()) {
            this->waiting.erase(calls);
        }
        this->waitingTokensSum -= call.expectedTokens;
        --this->waitingCount;
    }

    CustomerId nextCustomer(const FairCounters &fairness) const
    {
        const auto next =
            std::min_element(this->waiting.begin(), this->waiting.end(), [&](const auto &left, const auto &right) {
                if (!this->bounds.fair) {
                    return left.second.begin()->first < right.second.begin()->first;
                }
                return fairness.counter(left.first) < fairness.counter(right.first);
            });
        return next->first;
    }

    CustomerId mostWaiting(const FairCounters &fairness) const
    {
        const auto most =
            std::max_element(this->waiting.begin(), this->waiting.end(), [&](const auto &left, const auto &right) {
                return static_cast<double>(left.second.size()) / fairness.weight(left.first)
                    < static_cast<double>(right.second.size()) / fairness.weight(right.first);
            });
        return most->first;
    }

    std::uint64_t newestOf(const CustomerId &customer) const
    {
        const Calls &calls = this->waiting.at(customer);
        const auto newest = std::max_element(calls.begin(), calls.end(), [](const auto &left, const auto &right) {
            return std::pair{left.second.arrived, left.first.second}
            < std::pair{right.second.arrived, right.first.second};
        });
        return newest->first.second;
    }

    Order order; ///< Within a customer, or among all calls.
    std::map<CustomerId, Calls> waiting; ///< No customer with an empty queue.
    std::map<std::uint64_t, QueuedCall> running; ///< In flight, by id.
    std::map<std::uint64_t, CustomerId> customerOf; ///< Of all calls that wait or run.
    std::size_t waitingCount = 0; ///< Of all customers.
    double waitingTokensSum = 0; ///< Of all waiting calls.
    double runningTokensSum = 0; ///< Of all running calls.
    bool isolatedRuns = false; ///< The one call in flight is isolated.
};

} // namespace Chestnuthook
