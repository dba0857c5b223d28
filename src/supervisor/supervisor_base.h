/** @file supervisor_base.h  Starts, restarts and stops a table of children; gives up over its restart intensity. */
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/timer_base.h"
#include "supervisor/child_type.h"

namespace Chestnuthook
{

/** How many restarts are borne before the supervisor gives up. */
struct RestartIntensity
{
    std::size_t maxRestarts = 3; ///< Restarts borne within `period`.
    Duration period = std::chrono::seconds(10); ///< The span that is looked at.
    Duration pause = std::chrono::milliseconds(100); ///< Wait before a child is tried again whose restart failed.
};

/** A node of the supervisor tree; lives on the control thread. Restarts are run by the timer service, never from
 *  within childFailed, so a child may report its own failure. */
class Supervisor
{
public:
    Supervisor(std::string supervisorName, RestartStrategy restartStrategy, RestartIntensity restartIntensity,
        TimerService &timerService, std::vector<ChildSpecification> childTable);
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;
    ~Supervisor();

    /** Adds a row to the end of the table; before start. */
    void addChild(ChildSpecification specification);
    /** Adds @p nested, which outlives this one; when it gives up, that is its failure here. */
    void addSupervisor(Supervisor &nested, RestartPolicy restart = RestartPolicy::Permanent);
    /** Called when this one has given up and stopped all its children. */
    void onGiveUp(std::function<void(const Error &)> action);

    /** Starts the children in order; on an error stops those started and returns it. */
    [[nodiscard]] Result<void> start();
    /** Stops the children in reverse order. */
    void stop();
    /** A child has failed; unknown names and children that don't run are ignored. */
    void childFailed(std::string_view name, const Error &error);
    /** A child has ended as it should. */
    void childEnded(std::string_view name);

    [[nodiscard]] const std::string &name() const;
    [[nodiscard]] bool gaveUp() const;
    /** Whether all children run and are ready; else the first that isn't and why. Ended children don't count. */
    [[nodiscard]] Result<void> ready() const;
    /** States of all children, nested ones after their supervisor. */
    [[nodiscard]] std::vector<ChildState> states() const;

private:
    struct Child
    {
        ChildSpecification specification; ///< Its row.
        Supervisor *nested = nullptr; ///< Set where the child is a supervisor.
        ChildPhase phase = ChildPhase::Stopped; ///< Where it is in its life.
        std::uint64_t restarts = 0; ///< Times that it was started again.
        std::optional<Error> error; ///< The last failure.
        TimerSubscription restartTimer; ///< Active while it waits for its restart.
    };

    Child *find(std::string_view name);
    Result<void> startChild(Child &child);
    void stopChild(Child &child);
    void scheduleRestart(std::size_t index, const Error &error, Duration delay);
    void restart(std::size_t index);
    void giveUp(const Error &error);

    const std::string label; ///< Name of this supervisor.
    const RestartStrategy strategy; ///< Which children restart together.
    const RestartIntensity intensity; ///< When to give up.
    TimerService &timers; ///< Outlives this.
    std::vector<Child> children; ///< In start order; fixed once started.
    std::deque<Instant> restartTimes; ///< Restarts within the period, oldest first.
    std::function<void(const Error &)> giveUpAction; ///< May be empty.
    TimerSubscription giveUpTimer; ///< Active once the intensity is exceeded, until this has stopped.
    bool running = false; ///< Between start and stop.
    bool hasGivenUp = false; ///< Until the next start.
};

} // namespace Chestnuthook
