/** @file load_fault_func.h  Scheduled fault injection: faults of the fake servers and signals to processes. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "load/load_client_base.h"

namespace Chestnuthook
{

/** One line of a fault schedule: `SECONDS fault NAME JSON` or `SECONDS signal NAME KILL|TERM|STOP|CONT`. */
struct LoadFault
{
    std::int64_t atMs = 0; ///< Time in milliseconds from the start of the run.
    std::string process; ///< Name of a process, for example `entry-2`.
    int signal = 0; ///< Signal to send; 0 for a fault of a fake server.
    std::string fakeFault; ///< JSON body for POST /fake/fault.
};

/** Parses a schedule and sorts it by time. Empty lines and lines that start with # are skipped. Errors: BadRequest with
 * the number of the line. */
[[nodiscard]] Result<std::vector<LoadFault>> parseFaultSchedule(const std::string &text);

/** Injects @p fault. @return a description of what was done, for the report. */
[[nodiscard]] std::string injectFault(const LoadFault &fault, const LoadTarget &target);

} // namespace Chestnuthook
