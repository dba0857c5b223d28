/** @file timer_base.h  Timer service: a queue of callbacks by due time, over a real or a virtual clock. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Callbacks ordered by due time, then by order of subscription. Used by one thread only. */
class TimerQueue
{
public:
    using Id = std::uint64_t;

    /** Schedules @p action for @p due; a @p period above zero makes it repeat. */
    Id add(Instant due, Duration period, std::function<void()> action);
    /** Removes the callback, so that it does not run again. Unknown ids are ignored. */
    void cancel(Id id);
    [[nodiscard]] bool contains(Id id) const;
    [[nodiscard]] std::optional<Instant> nextDue() const;
    /** Id that the next subscription gets. */
    [[nodiscard]] Id nextId() const;
    [[nodiscard]] std::size_t size() const;
    /** Runs the first callback due by @p limit with an id below @p idLimit; returns false if there is none. */
    bool runFirst(Instant limit, Id idLimit, const std::function<Instant()> &clock);

private:
    struct Entry
    {
        Duration period{0}; ///< Zero if the callback runs once.
        std::function<void()> action; ///< The callback.
    };
    using Key = std::pair<Instant, Id>;

    std::map<Key, Entry> entries; ///< Pending callbacks in the order in which they run.
    std::unordered_map<Id, Instant> dueOf; ///< Due time of each pending id; has the same ids as `entries`.
    Id next = 1; ///< Id of the next subscription; ids are never reused.
    Id running = 0; ///< Id of the repeating callback being run; 0 if there is none or it was cancelled.
};

/** Handle of a subscribed callback; cancels it on destruction. May outlive the service. */
class [[nodiscard]] TimerSubscription
{
public:
    TimerSubscription() = default;
    TimerSubscription(std::weak_ptr<TimerQueue> timerQueue, TimerQueue::Id timerId);
    TimerSubscription(TimerSubscription &&other) noexcept;
    TimerSubscription &operator=(TimerSubscription &&other) noexcept;
    TimerSubscription(const TimerSubscription &) = delete;
    TimerSubscription &operator=(const TimerSubscription &) = delete;
    ~TimerSubscription();

    /** Ends the subscription; may be called from within the callback and repeatedly. */
    void cancel();
    /** Whether the callback is still going to run. */
    [[nodiscard]] bool active() const;

private:
    std::weak_ptr<TimerQueue> queue; ///< Empty if nothing is subscribed.
    TimerQueue::Id id = 0; ///< Id of the callback in `queue`; 0 if nothing is subscribed.
};

/** Clock and timers of the control thread. Callbacks may subscribe and cancel. Only `now` is thread-safe. */
class TimerService
{
public:
    using ClockFunction = std::function<Instant()>;

    explicit TimerService(ClockFunction clockFunction);
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    [[nodiscard]] Instant now() const;
    /** Runs @p action once after @p delay; a negative delay counts as zero. */
    [[nodiscard]] TimerSubscription after(Duration delay, std::function<void()> action);
    /** Runs @p action every @p period, first after one period; missed runs are skipped. */
    [[nodiscard]] TimerSubscription every(Duration period, std::function<void()> action);

    /** Runs the callbacks that are subscribed and due at the time of the call; returns how many ran. */
    std::size_t runDue();
    /** When the next callback is due; empty if none is pending. */
    [[nodiscard]] std::optional<Instant> nextDue() const;
    /** Number of pending callbacks. */
    [[nodiscard]] std::size_t pending() const;

protected:
    ClockFunction clock; ///< Returns the current instant; never goes back.
    std::shared_ptr<TimerQueue> queue; ///< Shared with subscriptions, which may outlive the service.
};

/** Timer service over the steady clock; its owner calls `runDue` at `nextDue`. */
class SteadyTimer : public TimerService
{
public:
    SteadyTimer();
};

/** Timer service for tests, whose time only changes by `advance`. */
class VirtualTimer : public TimerService
{
public:
    explicit VirtualTimer(Instant start = Instant(0));

    /** Advances the time by @p duration and runs each callback at its due time, in order. */
    void advance(Duration duration);

private:
    Instant current; ///< The virtual time.
};

static_assert(TimerServiceLike<TimerService> && TimerServiceLike<SteadyTimer> && TimerServiceLike<VirtualTimer>);

} // namespace Chestnuthook
