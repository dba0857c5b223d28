/** @file child_type.h  Specification and state of a supervised component. */
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/error_type.h"
#include "core/name_table_type.h"

namespace Chestnuthook
{

/** When a supervisor restarts a child. */
enum class RestartPolicy : std::uint8_t {
    Permanent, ///< Always.
    Transient, ///< After a failure, but not after a normal end.
    Temporary, ///< Never.
};

/** Which children are restarted when one of them fails. */
enum class RestartStrategy : std::uint8_t {
    OneForOne, ///< Only the failed child.
    RestForOne, ///< The failed child and all that come after it in the table.
};

/** Lifecycle phase of a child. */
enum class ChildPhase : std::uint8_t { Stopped, Running, Restarting, Failed, Ended };

template<>
struct NameTable<ChildPhase>
{
    static constexpr auto Rows =
        std::to_array<NameRow<ChildPhase>>({{ChildPhase::Stopped, "stopped"}, {ChildPhase::Running, "running"},
            {ChildPhase::Restarting, "restarting"}, {ChildPhase::Failed, "failed"}, {ChildPhase::Ended, "ended"}});
};
static_assert(isNameTableWhole(ChildPhase::Ended));

/** How a supervisor runs one of its children. All functions are called on the control thread. */
struct ChildSpecification
{
    std::string_view name; ///< Unique within its supervisor; must outlive it.
    RestartPolicy restart = RestartPolicy::Permanent; ///< When the child is restarted.
    std::chrono::milliseconds stopTimeout{0}; ///< A stop that takes longer is logged as a failure; 0 for no limit.
    std::function<Result<void>()> start; ///< Starts the child; leaves nothing running if it returns an error.
    std::function<void()> stop; ///< Stops the child; has no effect if it isn't running. May be empty.
    std::function<Result<void>()> ready; ///< Fails with the reason if not ready. Empty: ready while running.
};

/** Makes a specification whose functions are members of @p owner, which must outlive the supervisor.
 *  @p stop and @p ready may be null. */
template<typename Owner>
[[nodiscard]] ChildSpecification makeChildSpecification(std::string_view name, Owner &owner,
    Result<void> (Owner::*start)(), void (Owner::*stop)() = nullptr, Result<void> (Owner::*ready)() const = nullptr)
{
    ChildSpecification specification;
    specification.name = name;
    specification.start = [&owner, start]() {
        return (owner.*start)();
    };
    if (stop != nullptr) {
        specification.stop = [&owner, stop]() {
            (owner.*stop)();
        };
    }
    if (ready != nullptr) {
        specification.ready = [&owner, ready]() {
            return (owner.*ready)();
        };
    }
    return specification;
}

/** State of a child as shown by /readyz. */
struct ChildState
{
    std::string name; ///< Path of names below the root supervisor, separated by `/`.
    ChildPhase phase = ChildPhase::Stopped; ///< Current lifecycle phase.
    bool ready = false; ///< Whether the child runs and its readiness check succeeds.
    std::uint64_t restarts = 0; ///< Number of restarts.
    std::optional<Error> error; ///< The last failure, or the reason why the child isn't ready.
};

} // namespace Chestnuthook
