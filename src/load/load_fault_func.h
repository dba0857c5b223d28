/** @file load_fault_func.h  Faults on a schedule: orders to stand-ins and signals to processes of the fleet. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "load/load_client_base.h"

namespace Chestnuthook
{

/** One line of a schedule: `SECONDS fault NAME JSON` or `SECONDS signal NAME KILL|TERM|STOP|CONT`. */
struct LoadFault
{
    std::int64_t atMs = 0; ///< From the run's start.
    std::string process; ///< As in the fleet's pids, such as entry-2.
    int signal = 0; ///< 0 for an order to a stand-in.
    std::string order; ///< JSON for POST /fake/fault.
};

/** Reads a schedule; empty lines and those that begin with # are skipped. Errors: BadRequest with the line's number. */
[[nodiscard]] Result<std::vector<LoadFault>> parseFaults(const std::string &text);

/** Carries out one. @return what was done, for the report. */
[[nodiscard]] std::string carryOut(const LoadFault &fault, const LoadTarget &target);

} // namespace Chestnuthook
