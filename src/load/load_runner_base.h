/** @file load_runner_base.h  Runs a workload in an open loop, injects scheduled faults and displays progress. */
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

/** Limits of a run. */
struct LoadLimits
{
    std::int64_t durationMs = 20'000; ///< Time in which programs arrive, in milliseconds.
    std::int64_t graceMs = 30'000; ///< Time that programs may take after that, in milliseconds.
    std::size_t maxRunningPrograms = 200; ///< Each program has a thread; further arrivals are only counted.
    bool progress = false; ///< Print the progress to standard error.
};

/** Runs the programs of a workload; each run needs a new object. */
class LoadRunner
{
public:
    LoadRunner(const LoadTarget &target, LoadRecord &record, LoadLimits limits, std::string name);

    /** Runs @p programs and injects @p faults. @return a report without cache use, customer names and command. */
    LoadReport run(const std::vector<LoadProgram> &programs, const std::vector<LoadFault> &faults);

private:
    void showProgress(std::size_t arrived, std::size_t all);

    const LoadTarget &target; ///< Must outlive the runner.
    LoadRecord &record; ///< Must outlive the runner.
    LoadLimits limits; ///< Limits of the run.
    LoadDirectory directory; ///< Chooses the entry for each request.
    std::string name; ///< Name of the run, for markers.
    std::atomic<bool> stopped = false; ///< The time of the run is over.
    std::atomic<std::size_t> running = 0; ///< Number of running programs.
};

} // namespace Chestnuthook
