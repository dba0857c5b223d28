/** @file endpoint_queue_base.h  Queue of calls for one endpoint at its dispatcher, with the calls in flight. */
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

/** Limits of one endpoint's queue. */
struct EndpointLimits
{
    std::size_t maxInFlight = 32; ///< Maximum number of calls that run at the same time.
    std::size_t maxWaiting = 512; ///< Maximum number of calls that wait.
    bool fair = true; ///< Whether customers are served by their fair counters; otherwise only the queue order counts.
};

/** Calls that wait or run at one endpoint. Does no I/O and reads no clock.
 *
 * Invariants: start() lets at most limits.maxInFlight calls run, each id is in flight at most once, and start() lets
 * no other call run beside an isolated one. Calls added by adopt() may exceed these limits. */
template<QueueOrder Order>
class EndpointQueue
{
public:
    explicit EndpointQueue(EndpointLimits given = {}, Order rule = {})
        : limits(given)
        , order(rule)
    {
    }

    /** Adds a call. @return the id of the call that was shed because the queue is full, which may be that of @p call:
     * the newest call of the customer with the most waiting calls relative to its weight. */
    std::optional<std::uint64_t> push(const QueuedCall &call, FairCounters &fairness)
    {
        if (this->customerOf.contains(call.id)) {
            return std::nullopt; // The request was resent.
        }
        fairness.enter(call.customer);
        this->customerOf[call.id] = call.customer;
        this->waiting[call.customer].emplace(std::pair{this->order.key(call), call.id}, call);
        this->waitingTokensSum += call.expectedTokens;
        if (++this->waitingCount <= this->limits.maxWaiting) {
            return std::nullopt;
        }
        const std::uint64_t shed = this->newestWaitingCall(this->mostWaitingCustomer(fairness));
        this->remove(shed, fairness);
        return shed;
    }

    /** Moves the next call from the queue to the calls in flight. @return the call; nothing if none may start. */
    std::optional<QueuedCall> start(FairCounters &fairness)
    {
        if (this->waitingCount == 0 || this->running.size() >= this->limits.maxInFlight || this->isIsolatedRunning) {
            return std::nullopt;
        }
        const CustomerId customer = this->nextCustomer(fairness);
        const QueuedCall call = this->waiting[customer].begin()->second;
        if (call.isolated && !this->running.empty()) {
            return std::nullopt; // The isolated call is next; wait until all running calls have ended.
        }
        this->removeWaiting(call);
        this->running.emplace(call.id, call);
        this->runningTokensSum += call.expectedTokens;
        this->isIsolatedRunning = call.isolated;
        fairness.charge(call.customer, call.expectedTokens);
        return call;
    }

    /** Adds a call that runs already, regardless of the limits. If it is waiting, it becomes a call in flight. */
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
        this->isIsolatedRunning = this->isIsolatedRunning || call.isolated;
    }

    /** Removes a call that ended, or was cancelled while it waited. @return false if it is unknown, for example because
     * the message was resent. */
    bool remove(std::uint64_t id, FairCounters &fairness)
    {
        const auto customer = this->customerOf.find(id);
        if (customer == this->customerOf.end()) {
            return false;
        }
        fairness.leave(customer->second);
        const auto runs = this->running.find(id);
        if (runs != this->running.end()) {
            this->isIsolatedRunning = this->isIsolatedRunning && !runs->second.isolated;
            this->runningTokensSum -= runs->second.expectedTokens;
            this->running.erase(runs);
        } else {
            const auto &calls = this->waiting[customer->second];
            const auto found = std::find_if(calls.begin(), calls.end(), [&](const auto &entry) {
                return entry.first.second == id;
            });
            this->removeWaiting(QueuedCall(found->second));
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
    /** Sum of the expected tokens of all calls that wait or run. */
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

    EndpointLimits limits; ///< May change at any time; calls that run are not stopped.

private:
    using Calls = std::map<std::pair<double, std::uint64_t>, QueuedCall>;

    void removeWaiting(const QueuedCall &call)
    {
        const auto calls = this->waiting.find(call.customer);
        calls->second.erase(std::pair{this->order.key(call), call.id});
        if (calls->second.empty()) {
            this->waiting.erase(calls);
        }
        this->waitingTokensSum -= call.expectedTokens;
        --this->waitingCount;
    }

    /** Customer whose call starts next; at least one call must wait. */
    CustomerId nextCustomer(const FairCounters &fairness) const
    {
        const auto next =
            std::min_element(this->waiting.begin(), this->waiting.end(), [&](const auto &left, const auto &right) {
                if (!this->limits.fair) {
                    return left.second.begin()->first < right.second.begin()->first;
                }
                return fairness.counter(left.first) < fairness.counter(right.first);
            });
        return next->first;
    }

    /** Customer with the most waiting calls relative to its weight. */
    CustomerId mostWaitingCustomer(const FairCounters &fairness) const
    {
        const auto most =
            std::max_element(this->waiting.begin(), this->waiting.end(), [&](const auto &left, const auto &right) {
                return static_cast<double>(left.second.size()) / fairness.weight(left.first)
                    < static_cast<double>(right.second.size()) / fairness.weight(right.first);
            });
        return most->first;
    }

    /** Id of the waiting call of @p customer that arrived last. */
    std::uint64_t newestWaitingCall(const CustomerId &customer) const
    {
        const Calls &calls = this->waiting.at(customer);
        const auto newest = std::max_element(calls.begin(), calls.end(), [](const auto &left, const auto &right) {
            return std::pair{left.second.arrived, left.first.second}
            < std::pair{right.second.arrived, right.first.second};
        });
        return newest->first.second;
    }

    Order order; ///< Order of calls of one customer, or of all calls without fairness.
    std::map<CustomerId, Calls> waiting; ///< Waiting calls by customer; has no customer without waiting calls.
    std::map<std::uint64_t, QueuedCall> running; ///< Calls in flight, by id.
    std::map<std::uint64_t, CustomerId> customerOf; ///< Customer of each call that waits or runs.
    std::size_t waitingCount = 0; ///< Waiting calls of all customers.
    double waitingTokensSum = 0; ///< Expected tokens of all waiting calls.
    double runningTokensSum = 0; ///< Expected tokens of all calls in flight.
    bool isIsolatedRunning = false; ///< An isolated call is in flight.
};

} // namespace Chestnuthook
