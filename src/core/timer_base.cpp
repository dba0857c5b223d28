/** @file timer_base.cpp  Timer queue, subscriptions and timer services. */
#include "core/timer_base.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace Chestnuthook
{

TimerQueue::Id TimerQueue::add(Instant due, Duration period, std::function<void()> action)
{
    const Id id = this->next++;
    this->entries.emplace(Key(due, id), Entry{period, std::move(action)});
    this->dueOf.emplace(id, due);
    return id;
}

void TimerQueue::cancel(Id id)
{
    if (id == this->running) {
        this->running = 0;
        return;
    }
    const auto found = this->dueOf.find(id);
    if (found == this->dueOf.end()) {
        return;
    }
    // Destroying the action's captures may cancel other timers, so the node is destroyed last.
    auto node = this->entries.extract(Key(found->second, id));
    this->dueOf.erase(found);
}

bool TimerQueue::contains(Id id) const
{
    return id != 0 && (id == this->running || this->dueOf.contains(id));
}

std::optional<Instant> TimerQueue::nextDue() const
{
    if (this->entries.empty()) {
        return std::nullopt;
    }
    return this->entries.begin()->first.first;
}

TimerQueue::Id TimerQueue::nextId() const
{
    return this->next;
}

std::size_t TimerQueue::size() const
{
    return this->entries.size();
}

bool TimerQueue::runFirst(Instant limit, Id idLimit, const std::function<Instant()> &clock)
{
    auto first = this->entries.begin();
    while (first != this->entries.end() && first->first.first <= limit && first->first.second >= idLimit) {
        ++first;
    }
    if (first == this->entries.end() || first->first.first > limit) {
        return false;
    }
    const auto [due, id] = first->first;
    auto node = this->entries.extract(first);
    this->dueOf.erase(id);
    const Duration period = node.mapped().period;
    if (period <= Duration::zero()) {
        node.mapped().action();
        return true;
    }
    // A callback may itself run the queue, so the previous id is restored at the end, also after an exception.
    struct Restore
    {
        Id &running; ///< The `running` field of the queue.
        Id previous; ///< Its previous value.
        ~Restore()
        {
            this->running = this->previous;
        }
    };
    const Restore restore{this->running, this->running};
    this->running = id;
    const auto reschedule = [&, due = due, id = id]() {
        if (this->running == id) {
            const Instant now = clock();
            const Instant planned = due + period;
            const Instant nextDueTime = planned > now ? planned : now + period;
            node.key() = Key(nextDueTime, id);
            this->entries.insert(std::move(node));
            this->dueOf.emplace(id, nextDueTime);
        }
    };
    try {
        node.mapped().action();
    } catch (...) {
        reschedule();
        throw;
    }
    reschedule();
    return true;
}

TimerSubscription::TimerSubscription(std::weak_ptr<TimerQueue> timerQueue, TimerQueue::Id timerId)
    : queue(std::move(timerQueue))
    , id(timerId)
{
}

TimerSubscription::TimerSubscription(TimerSubscription &&other) noexcept
    : queue(std::move(other.queue))
    , id(std::exchange(other.id, 0))
{
}

TimerSubscription &TimerSubscription::operator=(TimerSubscription &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->queue = std::move(other.queue);
        this->id = std::exchange(other.id, 0);
    }
    return *this;
}

TimerSubscription::~TimerSubscription()
{
    this->cancel();
}

void TimerSubscription::cancel()
{
    // Cancelling may destroy the owner of this subscription, so no member is accessed afterwards.
    const std::shared_ptr<TimerQueue> held = std::exchange(this->queue, {}).lock();
    const TimerQueue::Id cancelled = std::exchange(this->id, 0);
    if (held) {
        held->cancel(cancelled);
    }
}

bool TimerSubscription::active() const
{
    const std::shared_ptr<TimerQueue> held = this->queue.lock();
    return held && held->contains(this->id);
}

TimerService::TimerService(ClockFunction clockFunction)
    : clock(std::move(clockFunction))
    , queue(std::make_shared<TimerQueue>())
{
}

Instant TimerService::now() const
{
    return this->clock();
}

TimerSubscription TimerService::after(Duration delay, std::function<void()> action)
{
    const Instant due = this->now() + std::max(delay, Duration::zero());
    return TimerSubscription(this->queue, this->queue->add(due, Duration::zero(), std::move(action)));
}

TimerSubscription TimerService::every(Duration period, std::function<void()> action)
{
    const Duration bounded = std::max(period, Duration(1));
    return TimerSubscription(this->queue, this->queue->add(this->now() + bounded, bounded, std::move(action)));
}

std::size_t TimerService::runDue()
{
    const std::shared_ptr<TimerQueue> held = this->queue;
    const Instant limit = this->now();
    const TimerQueue::Id idLimit = held->nextId();
    std::size_t count = 0;
    while (held->runFirst(limit, idLimit, this->clock)) {
        ++count;
    }
    return count;
}

std::optional<Instant> TimerService::nextDue() const
{
    return this->queue->nextDue();
}

std::size_t TimerService::pending() const
{
    return this->queue->size();
}

SteadyTimer::SteadyTimer()
    : TimerService([] {
        const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return Instant(std::chrono::duration_cast<Duration>(sinceStart).count());
    })
{
}

VirtualTimer::VirtualTimer(Instant start)
    : TimerService([this] {
        return this->current;
    })
    , current(start)
{
}

void VirtualTimer::advance(Duration duration)
{
    const Instant target = this->current + std::max(duration, Duration::zero());
    while (true) {
        const std::optional<Instant> due = this->queue->nextDue();
        if (!due || *due > target) {
            break;
        }
        this->current = std::max(this->current, *due);
        this->queue->runFirst(this->current, std::numeric_limits<TimerQueue::Id>::max(), this->clock);
    }
    this->current = std::max(this->current, target);
}

} // namespace Chestnuthook
