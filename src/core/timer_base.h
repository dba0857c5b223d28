/** @file timer_base.h  The one timer service: a queue of due callbacks over a real or a virtual clock. */
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

    /** Adds @p action at @p due; a @p period above zero repeats it. */
    Id add(Instant due, Duration period, std::function<void()> action);
    /** Removes the callback; it does not run again. Unknown ids are ignored. */
    void cancel(Id id);
    [[nodiscard]] bool contains(Id id) const;
    [[nodiscard]] std::optional<Instant> nextDue() const;
    /** Id that the next subscription will get. */
    [[nodiscard]] Id nextId() const;
    [[nodiscard]] std::size_t size() const;
    /** Runs the first callback due at or before @p limit with an id below @p idLimit; false where there is none. */
    bool runFirst(Instant limit, Id idLimit, const std::function<Instant()> &clock);

private:
    struct Entry
    {
        Duration period{0}; ///< Zero for a callback that runs once.
        std::function<void()> action; ///< What to run.
    };
    using Key = std::pair<Instant, Id>;

    std::map<Key, Entry> entries; ///< All waiting callbacks in the order in which they run.
    std::unordered_map<Id, Instant> dueOf; ///< Due time of each waiting id; same ids as `entries`.
    Id next = 1; ///< Grows; ids are never reused.
    Id running = 0; ///< Id of the repeating callback that runs now; 0 where none does or it was cancelled.
};

/** Keeps a callback subscribed; cancels it on destruction. May outlive the service. */
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

    /** Ends the subscription; may be called from within the callback and more than once. */
    void cancel();
    /** Whether the callback will run (again). */
    [[nodiscard]] bool active() const;

private:
    std::weak_ptr<TimerQueue> queue; ///< Empty where nothing is subscribed.
    TimerQueue::Id id = 0; ///< The callback in `queue`; 0 where nothing is subscribed.
};

/** Time and callbacks for the control thread. Callbacks may subscribe and cancel. Not thread-safe but for `now`. */
class TimerService
{
public:
    using ClockFunction = std::function<Instant()>;

    explicit TimerService(ClockFunction clockFunction);
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    [[nodiscard]] Instant now() const;
    /** Runs @p action once, @p delay from now; a delay below zero counts as zero. */
    [[nodiscard]] TimerSubscription after(Duration delay, std::function<void()> action);
    /** Runs @p action each @p period, first one period from now; missed rounds are not made up for. */
    [[nodiscard]] TimerSubscription every(Duration period, std::function<void()> action);

    /** Runs what was due and subscribed when called; returns how many callbacks ran. */
    std::size_t runDue();
    /** When the next callback is due; empty where none waits. */
    [[nodiscard]] std::optional<Instant> nextDue() const;
    /** How many callbacks wait. */
    [[nodiscard]] std::size_t pending() const;

protected:
    ClockFunction clock; ///< Gives the current instant; never goes back.
    std::shared_ptr<TimerQueue> queue; ///< Shared with subscriptions, which may outlive the service.
};

/** The real service, over the steady clock; its owner calls `runDue` at `nextDue`. */
class SteadyTimer : public TimerService
{
public:
    SteadyTimer();
};

/** The service of tests: time stands still but for `advance`. */
class VirtualTimer : public TimerService
{
public:
    explicit VirtualTimer(Instant start = Instant(0));

    /** Moves time on by @p duration and runs each callback at its own due time, in order. */
    void advance(Duration duration);

private:
    Instant current; ///< The virtual time.
};

static_assert(TimerServiceLike<TimerService> && TimerServiceLike<SteadyTimer> && TimerServiceLike<VirtualTimer>);

} // namespace Chestnuthook
