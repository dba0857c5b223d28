/** @file log_budget_type.h  How much memory and disk the replicated log of a member may take. All bounds are worked out
 * here, from the limits of the process; docs/CAPACITY.md adds them up. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace Chestnuthook
{

/** Bounds in bytes. Entries count with RaftEntry::OverheadBytes. */
struct LogBudget
{
    std::uint64_t snapshotBytes = 0; ///< Entries applied since the last snapshot, from which the next one is taken.
    std::uint64_t keptBytes = 0; ///< Entries kept before a snapshot, for members that lag slightly.
    std::uint64_t maxCommandBytes = 0; ///< A single command; a larger one is rejected.
    std::uint64_t maxUncommittedBytes = 0; ///< Entries that are not committed; further commands are rejected.
    std::uint64_t maxInflightBytes = 0; ///< Entries sent to a member that it has not acknowledged.
    std::uint64_t maxFileBytes = 0; ///< Size of the log file from which it is rewritten without obsolete records.
};

/** Bounds for a process that may use @p memoryBytes of memory and @p diskBytes of disk; 0 for a limit that isn't known.
 */
[[nodiscard]] constexpr LogBudget logBudget(std::uint64_t memoryBytes, std::uint64_t diskBytes)
{
    constexpr std::uint64_t DefaultMemoryBytes = 2ULL << 30U;
    constexpr std::uint64_t MaxInflightBytes = 4ULL << 20U;
    const std::uint64_t memory = memoryBytes == 0 ? DefaultMemoryBytes : memoryBytes;
    const std::uint64_t disk = diskBytes == 0 ? std::numeric_limits<std::uint64_t>::max() : diskBytes;
    LogBudget budget;
    budget.snapshotBytes = std::min(memory / 32, disk / 16);
    budget.keptBytes = budget.snapshotBytes / 2;
    budget.maxCommandBytes = std::min(memory / 48, disk / 24);
    budget.maxUncommittedBytes = budget.snapshotBytes;
    budget.maxInflightBytes = std::min(budget.snapshotBytes / 2, MaxInflightBytes);
    budget.maxFileBytes = 4 * budget.snapshotBytes;
    return budget;
}

} // namespace Chestnuthook
