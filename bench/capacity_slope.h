/** @file capacity_slope.h  Measurement of slopes (costs per unit) for docs/CAPACITY.md: heap, processor time, and
 * values of a process from /proc. */
#pragma once

#include <cstdint>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <malloc.h>
#include <sys/types.h>

namespace Chestnuthook::Capacity
{

/** Prints one slope. @p bound is its maximum; 0 if it has no budget of its own. */
inline void printSlope(const std::string &name, double value, double bound = 0)
{
    std::ostringstream line;
    line.precision(6);
    line << "name=capacity_" << name << " value=" << value << " baseline=0 ratio=" << (bound > 0 ? value / bound : 0)
         << " bound=" << bound << " verdict=" << (bound > 0 && value > bound ? "red" : "ok");
    std::cout << line.str() << std::endl;
}

/** Bytes of the heap that are in use. */
inline double heapBytes()
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/** Processor time of this process in microseconds. */
inline double processorUs()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/** Mean processor time of one run of @p work in microseconds, over @p count runs. */
template<typename Work>
double processorUsOf(int count, Work &&work)
{
    const double before = processorUs();
    for (int i = 0; i < count; ++i) {
        work(i);
    }
    return (processorUs() - before) / count;
}

/** Processor time of process @p pid in microseconds, as the scheduler counts it for each of its threads. */
inline double processorUsOf(pid_t pid)
{
    double nanoseconds = 0;
    const std::string folder = "/proc/" + std::to_string(pid) + "/task";
    for (const auto &task : std::filesystem::directory_iterator(folder)) {
        double ran = 0;
        std::ifstream(task.path() / "schedstat") >> ran;
        nanoseconds += ran;
    }
    return nanoseconds / 1e3;
}

/** Value of @p field in a file of /proc, such as `VmRSS` (kB) or `rchar` (bytes); 0 if there is no such field. */
inline double procNumber(pid_t pid, const std::string &file, const std::string &field)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/" + file);
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with(field + ":")) {
            return std::stod(line.substr(field.size() + 1));
        }
    }
    return 0;
}

/** Resident memory of process @p pid in bytes. */
inline double residentBytes(pid_t pid)
{
    return procNumber(pid, "status", "VmRSS") * 1024;
}

/** Bytes that process @p pid transferred by read and write system calls: RPC connections, files and logs. */
inline double readAndWrittenBytes(pid_t pid)
{
    return procNumber(pid, "io", "rchar") + procNumber(pid, "io", "wchar");
}

} // namespace Chestnuthook::Capacity
