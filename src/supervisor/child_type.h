/** @file child_type.h  Specification and state of a supervised part. */
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

/** When a child is started again. */
enum class RestartPolicy : std::uint8_t {
    Permanent, ///< Always.
    Transient, ///< After a failure, not after a normal end.
    Temporary, ///< Never.
};

/** Which children are started again with one that failed. */
enum class RestartStrategy : std::uint8_t {
    OneForOne, ///< That one only.
    RestForOne, ///< That one and all after it in the table.
};

/** Where a child is in its life. */
enum class ChildPhase : std::uint8_t { Stopped, Running, Restarting, Failed, Ended };

template<>
struct NameTable<ChildPhase>
{
    static constexpr auto Rows =
        std::to_array<NameRow<ChildPhase>>({{ChildPhase::Stopped, "stopped"}, {ChildPhase::Running, "running"},
            {ChildPhase::Restarting, "restarting"}, {ChildPhase::Failed, "failed"}, {ChildPhase::Ended, "ended"}});
};
static_assert(isNameTableWhole(ChildPhase::Ended));

/** One row of a supervisor's table. All functions run on the control thread. */
struct ChildSpecification
{
    std::string_view name; ///< Unique in its table; must outlive the supervisor.
    RestartPolicy restart = RestartPolicy::Permanent; ///< When it is started again.
    std::chrono::milliseconds stopTimeout{0}; ///< A stop that takes longer is logged; 0 for no bound.
    std::function<Result<void>()> start; ///< Starts it; an error leaves nothing running.
    std::function<void()> stop; ///< Stops it; harmless where it isn't running. May be empty.
    std::function<Result<void>()> ready; ///< An error says why it isn't ready. May be empty: ready while it runs.
};

/** A row whose functions are members of @p owner, which outlives the supervisor; `stop` and `ready` may be null. */
template<typename Owner>
[[nodiscard]] ChildSpecification makeChildSpecification(std::string_view name, Owner &owner,
    Result<void> (Owner::*start)(), void (Owner::*stop)() = nullptr, Result<void> (Owner::*ready)() const = nullptr)
{
    ChildSpecification row;
    row.name = name;
    row.start = [&owner, start]() {
        return (owner.*start)();
    };
    if (stop != nullptr) {
        row.stop = [&owner, stop]() {
            (owner.*stop)();
        };
    }
    if (ready != nullptr) {
        row.ready = [&owner, ready]() {
            return (owner.*ready)();
        };
    }
    return row;
}

/** What /readyz shows of a child. */
struct ChildState
{
    std::string name; ///< Path of names from the root's child on, with `/` between.
    ChildPhase phase = ChildPhase::Stopped; ///< Where it is in its life.
    bool ready = false; ///< Runs and says that it is ready.
    std::uint64_t restarts = 0; ///< Times that it was started again.
    std::optional<Error> error; ///< The last failure, or why it isn't ready.
};

} // namespace Chestnuthook
