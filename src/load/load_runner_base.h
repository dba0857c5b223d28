/** @file load_runner_base.h  A run: arrivals in open loop, faults by the schedule, progress for people. */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "load/load_fault_func.h"
#include "load/load_mix_type.h"
#include "load/load_program_base.h"
#include "load/load_report_func.h"

namespace Chestnuthook
{

/** Bounds of a run. */
struct LoadBounds
{
    std::int64_t durationMs = 20'000; ///< No arrivals after it.
    std::int64_t graceMs = 30'000; ///< How long programs may go on after it.
    std::size_t programsAtOnce = 200; ///< Each has a thread; arrivals past it are counted and not started.
    bool progress = false; ///< Whether a person watches.
};

class LoadRunner
{
public:
    LoadRunner(const LoadTarget &target, LoadRecord &record, LoadBounds bounds, std::string name);

    /** Runs @p programs and @p faults to the end. @return a report without cache use, names and command. */
    LoadReport run(const std::vector<LoadProgram> &programs, const std::vector<LoadFault> &faults);

private:
    void showProgress(std::size_t arrived, std::size_t all);

    const LoadTarget &target; ///< Outlives this.
    LoadRecord &record; ///< Outlives this.
    LoadBounds bounds; ///< As given.
    LoadDirectory directory; ///< Of the run.
    std::string name; ///< Of the run.
    std::atomic<bool> stopped = false; ///< The time is over.
    std::atomic<std::size_t> running = 0; ///< Programs under way.
};

} // namespace Chestnuthook
