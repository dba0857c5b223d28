/** @file load_fault_func.cpp  Parses fault schedules and injects faults. */
#include "load/load_fault_func.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <string_view>

namespace Chestnuthook
{

namespace
{

constexpr double MsPerSecond = 1000;
constexpr std::array<std::pair<std::string_view, int>, 4> Signals{
    {{"KILL", SIGKILL}, {"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}}};

Result<LoadFault> parseLine(const std::string &line, int number)
{
    std::istringstream words(line);
    double seconds = -1;
    std::string verb;
    LoadFault fault;
    words >> seconds >> verb >> fault.process;
    std::string rest;
    std::getline(words >> std::ws, rest);
    const auto *const signal = std::find_if(Signals.begin(), Signals.end(), [&](const auto &row) {
        return row.first == rest;
    });
    const bool isSignal = verb == "signal" && signal != Signals.end();
    const bool isFakeFault = verb == "fault" && rest.starts_with("{") && rest.ends_with("}");
    if (seconds < 0 || fault.process.empty() || (!isSignal && !isFakeFault)) {
        return fail(ErrorKind::BadRequest,
            "line " + std::to_string(number)
                + ": write SECONDS fault NAME JSON, or SECONDS signal NAME KILL, TERM, STOP or CONT");
    }
    fault.atMs = static_cast<std::int64_t>(seconds * MsPerSecond);
    fault.signal = isSignal ? signal->second : 0;
    fault.fakeFault = isFakeFault ? rest : "";
    return fault;
}

} // namespace

Result<std::vector<LoadFault>> parseFaultSchedule(const std::string &text)
{
    std::vector<LoadFault> faults;
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        Result<LoadFault> fault = parseLine(line, number);
        if (!fault) {
            return tl::unexpected(fault.error());
        }
        faults.push_back(std::move(*fault));
    }
    std::stable_sort(faults.begin(), faults.end(), [](const LoadFault &left, const LoadFault &right) {
        return left.atMs < right.atMs;
    });
    return faults;
}

std::string injectFault(const LoadFault &fault, const LoadTarget &target)
{
    const std::string at = std::to_string(fault.atMs) + " ms: ";
    if (fault.signal == 0) {
        const auto address = target.addresses.find(fault.process);
        if (address == target.addresses.end()) {
            return at + "no stand-in " + fault.process;
        }
        const LoadResponse answer = sendRequest(address->second, "", "POST", "/fake/fault", fault.fakeFault);
        return at + fault.process + " was given " + fault.fakeFault + ", status " + std::to_string(answer.status);
    }
    const auto pid = target.pids.find(fault.process);
    if (pid == target.pids.end() || ::kill(pid->second, fault.signal) != 0) {
        return at + "no process " + fault.process;
    }
    return at + fault.process + " was sent signal " + std::to_string(fault.signal);
}

} // namespace Chestnuthook
