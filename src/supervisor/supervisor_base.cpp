/** @file supervisor_base.cpp  Start, restart and stop of supervised children. */
#include "supervisor/supervisor_base.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

Supervisor::Supervisor(std::string supervisorName, RestartStrategy restartStrategy, RestartIntensity restartIntensity,
    TimerService &timerService, std::vector<ChildSpecification> childTable)
    : label(std::move(supervisorName))
    , strategy(restartStrategy)
    , intensity(restartIntensity)
    , timers(timerService)
{
    for (ChildSpecification &specification : childTable) {
        this->addChild(std::move(specification));
    }
}

Supervisor::~Supervisor()
{
    this->stop();
}

void Supervisor::addChild(ChildSpecification specification)
{
    Child child;
    child.specification = std::move(specification);
    this->children.push_back(std::move(child));
}

void Supervisor::addSupervisor(Supervisor &nested, RestartPolicy restart)
{
    ChildSpecification specification;
    specification.name = nested.name();
    specification.restart = restart;
    specification.start = [&nested] {
        return nested.start();
    };
    specification.stop = [&nested] {
        nested.stop();
    };
    specification.ready = [&nested] {
        return nested.ready();
    };
    this->addChild(std::move(specification));
    this->children.back().nested = &nested;
    nested.onGiveUp([this, &nested](const Error &error) {
        this->childFailed(nested.name(), error);
    });
}

void Supervisor::onGiveUp(std::function<void(const Error &)> action)
{
    this->giveUpAction = std::move(action);
}

Result<void> Supervisor::start()
{
    this->stop();
    this->hasGivenUp = false;
    this->restartTimes.clear();
    this->running = true;
    for (Child &child : this->children) {
        child.error.reset();
        if (Result<void> started = this->startChild(child); !started) {
            this->stop();
            child.phase = ChildPhase::Failed;
            child.error = started.error();
            return started;
        }
    }
    return {};
}

void Supervisor::stop()
{
    this->running = false;
    this->giveUpTimer.cancel();
    for (auto child = this->children.rbegin(); child != this->children.rend(); ++child) {
        this->stopChild(*child);
    }
}

void Supervisor::childFailed(std::string_view name, const Error &error)
{
    Child *const child = this->find(name);
    if (!this->running || child == nullptr || child->phase != ChildPhase::Running) {
        return;
    }
    logEvent(EventKind::ChildFailed,
        {{"supervisor", this->label}, {"child", std::string(name)}, {"error", errorText(error)}});
    child->error = error;
    if (child->specification.restart == RestartPolicy::Temporary) {
        child->phase = ChildPhase::Failed;
        return;
    }
    this->scheduleRestart(static_cast<std::size_t>(child - this->children.data()), error, Duration::zero());
}

void Supervisor::childEnded(std::string_view name)
{
    Child *const child = this->find(name);
    if (!this->running || child == nullptr || child->phase != ChildPhase::Running) {
        return;
    }
    if (child->specification.restart == RestartPolicy::Permanent) {
        this->childFailed(name, Error{ErrorKind::Internal, "permanent child ended", Ran::No, 0});
        return;
    }
    child->phase = ChildPhase::Ended;
}

const std::string &Supervisor::name() const
{
    return this->label;
}

bool Supervisor::gaveUp() const
{
    return this->hasGivenUp;
}

Result<void> Supervisor::ready() const
{
    if (!this->running) {
        return fail(ErrorKind::NotReady, this->label + " is not running");
    }
    for (const Child &child : this->children) {
        const std::string childName(child.specification.name);
        if (child.phase == ChildPhase::Ended) {
            continue;
        }
        if (child.phase != ChildPhase::Running) {
            return fail(ErrorKind::NotReady, childName + " is " + std::string(nameOf(child.phase)));
        }
        if (child.specification.ready) {
            if (Result<void> isReady = child.specification.ready(); !isReady) {
                return fail(isReady.error().kind, childName + ": " + isReady.error().what);
            }
        }
    }
    return {};
}

std::vector<ChildState> Supervisor::states() const
{
    std::vector<ChildState> all;
    for (const Child &child : this->children) {
        ChildState state;
        state.name = std::string(child.specification.name);
        state.phase = child.phase;
        state.restarts = child.restarts;
        state.error = child.error;
        if (child.phase == ChildPhase::Running) {
            const Result<void> isReady = child.specification.ready ? child.specification.ready() : Result<void>();
            state.ready = isReady.has_value();
            if (!isReady) {
                state.error = isReady.error();
            }
        }
        const std::string path = state.name + "/";
        all.push_back(std::move(state));
        if (child.nested != nullptr) {
            for (ChildState &inner : child.nested->states()) {
                inner.name = path + inner.name;
                all.push_back(std::move(inner));
            }
        }
    }
    return all;
}

Supervisor::Child *Supervisor::find(std::string_view name)
{
    const auto found = std::find_if(this->children.begin(), this->children.end(), [name](const Child &child) {
        return child.specification.name == name;
    });
    return found == this->children.end() ? nullptr : &*found;
}

Result<void> Supervisor::startChild(Child &child)
{
    // Set before the call, so that a child can report a failure from within its start function.
    child.phase = ChildPhase::Running;
    Result<void> started;
    try {
        started = child.specification.start();
    } catch (const std::exception &exception) {
        started = fail(ErrorKind::Internal, std::string("start threw an exception: ") + exception.what());
    }
    const std::string childName(child.specification.name);
    if (!started) {
        child.restartTimer.cancel();
        child.phase = ChildPhase::Failed;
        child.error = started.error();
        logEvent(EventKind::ChildFailed,
            {{"supervisor", this->label}, {"child", childName}, {"error", errorText(started.error())}});
        return started;
    }
    logEvent(EventKind::ChildStarted,
        {{"supervisor", this->label}, {"child", childName}, {"restarts", std::to_string(child.restarts)}});
    return {};
}

void Supervisor::stopChild(Child &child)
{
    child.restartTimer.cancel();
    // Failed and ended children may still hold resources, so they are stopped as well.
    if (child.phase == ChildPhase::Stopped) {
        return;
    }
    child.phase = ChildPhase::Stopped;
    if (!child.specification.stop) {
        return;
    }
    const Instant begin = this->timers.now();
    std::string fault;
    try {
        child.specification.stop();
    } catch (const std::exception &exception) {
        fault = std::string("stop threw an exception: ") + exception.what();
    }
    const Duration elapsed = this->timers.now() - begin;
    const Duration timeout = child.specification.stopTimeout;
    if (fault.empty() && timeout > Duration::zero() && elapsed > timeout) {
        fault = "stop took " + std::to_string(elapsed.count()) + " us, longer than its timeout";
    }
    if (!fault.empty()) {
        logEvent(EventKind::ChildFailed,
            {{"supervisor", this->label}, {"child", std::string(child.specification.name)}, {"error", fault}});
    }
}

void Supervisor::scheduleRestart(std::size_t index, const Error &error, Duration delay)
{
    const Instant now = this->timers.now();
    while (!this->restartTimes.empty() && now - this->restartTimes.front() >= this->intensity.period) {
        this->restartTimes.pop_front();
    }
    Child &child = this->children[index];
    child.phase = ChildPhase::Restarting;
    if (this->restartTimes.size() >= this->intensity.maxRestarts) {
        // Deferred to a timer callback as well, since the failed child may be further up on the call stack.
        this->giveUpTimer = this->timers.after(Duration::zero(), [this, error] {
            this->giveUp(error);
        });
        return;
    }
    this->restartTimes.push_back(now);
    child.restartTimer = this->timers.after(delay, [this, index] {
        this->restart(index);
    });
}

void Supervisor::restart(std::size_t index)
{
    const std::size_t end = this->strategy == RestartStrategy::RestForOne ? this->children.size() : index + 1;
    std::vector<std::size_t> toRestart;
    for (std::size_t i = end; i-- > index;) {
        Child &child = this->children[i];
        const bool needsRestart = i == index || child.phase == ChildPhase::Running
            || child.phase == ChildPhase::Restarting || child.phase == ChildPhase::Stopped;
        if (needsRestart) {
            this->stopChild(child);
            toRestart.push_back(i);
        }
    }
    std::reverse(toRestart.begin(), toRestart.end());
    for (const std::size_t i : toRestart) {
        Child &child = this->children[i];
        ++child.restarts;
        if (Result<void> started = this->startChild(child); !started) {
            // Under RestForOne the later children stay stopped; the next restart of this child includes them.
            if (child.specification.restart != RestartPolicy::Temporary) {
                this->scheduleRestart(i, started.error(), this->intensity.restartRetryDelay);
                return;
            }
            continue;
        }
        if (!this->running) {
            return;
        }
    }
}

void Supervisor::giveUp(const Error &error)
{
    this->hasGivenUp = true;
    logEvent(EventKind::ChildFailed, {{"supervisor", this->label}, {"gave_up", "yes"}, {"error", errorText(error)}});
    this->stop();
    if (this->giveUpAction) {
        this->giveUpAction(error);
    }
}

} // namespace Chestnuthook
