/** @file supervisor_base.h  Supervisor that starts, restarts and stops a table of children. */
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

/** How many restarts a supervisor makes before it gives up. */
struct RestartIntensity
{
    std::size_t maxRestarts = 3; ///< Restarts allowed within `period`.
    Duration period = std::chrono::seconds(10); ///< Sliding window in which restarts are counted.
    Duration restartRetryDelay = std::chrono::milliseconds(100); ///< Delay before a failed restart is retried.
};

/** A node of the supervision tree; used on the control thread only. It gives up, i.e. stops all children, when they
 *  exceed its restart intensity. Restarts run in timer callbacks and never within childFailed, so a child may report
 *  its own failure. */
class Supervisor
{
public:
    Supervisor(std::string supervisorName, RestartStrategy restartStrategy, RestartIntensity restartIntensity,
        TimerService &timerService, std::vector<ChildSpecification> childTable);
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;
    ~Supervisor();

    /** Adds a child at the end of the table; only allowed before start. */
    void addChild(ChildSpecification specification);
    /** Adds @p nested, which must outlive this supervisor, as a child that fails when it gives up. */
    void addSupervisor(Supervisor &nested, RestartPolicy restart = RestartPolicy::Permanent);
    /** Sets the function that is called after this supervisor has given up and stopped all its children. */
    void onGiveUp(std::function<void(const Error &)> action);

    /** Starts the children in the order of the table; on an error stops those already started and returns the error. */
    [[nodiscard]] Result<void> start();
    /** Stops the children in reverse order. */
    void stop();
    /** Reports that a child has failed; ignored if the name is unknown or the child isn't running. */
    void childFailed(std::string_view name, const Error &error);
    /** Reports that a child has ended normally; ignored if the name is unknown or the child isn't running. */
    void childEnded(std::string_view name);

    [[nodiscard]] const std::string &name() const;
    [[nodiscard]] bool gaveUp() const;
    /** Succeeds if all children but ended ones are ready, else fails with the first that isn't and the reason. */
    [[nodiscard]] Result<void> ready() const;
    /** States of all children; those of a nested supervisor follow it. */
    [[nodiscard]] std::vector<ChildState> states() const;

private:
    struct Child
    {
        ChildSpecification specification; ///< How to run the child.
        Supervisor *nested = nullptr; ///< Set if the child is a supervisor, else null.
        ChildPhase phase = ChildPhase::Stopped; ///< Current lifecycle phase.
        std::uint64_t restarts = 0; ///< Number of restarts.
        std::optional<Error> error; ///< The last failure.
        TimerSubscription restartTimer; ///< Active while a restart is pending.
    };

    Child *find(std::string_view name);
    Result<void> startChild(Child &child);
    void stopChild(Child &child);
    void scheduleRestart(std::size_t index, const Error &error, Duration delay);
    void restart(std::size_t index);
    void giveUp(const Error &error);

    const std::string label; ///< Name of this supervisor.
    const RestartStrategy strategy; ///< Which children are restarted together.
    const RestartIntensity intensity; ///< Limit of restarts above which the supervisor gives up.
    TimerService &timers; ///< Must outlive the supervisor.
    std::vector<Child> children; ///< In start order; fixed once started.
    std::deque<Instant> restartTimes; ///< Times of the restarts within the period, oldest first.
    std::function<void(const Error &)> giveUpAction; ///< Called after giving up; may be empty.
    TimerSubscription giveUpTimer; ///< Active from exceeding the intensity until the supervisor stops.
    bool running = false; ///< Between start and stop.
    bool hasGivenUp = false; ///< Set by giving up, cleared by the next start.
};

} // namespace Chestnuthook
