/** @file main.cpp  chestnuthook-load: runs the workload of a deployment against a fleet and writes a report. */
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <unistd.h>

#include "core/hash_func.h"
#include "core/settings_func.h"
#include "load/load_runner_base.h"
#include "table/error_table.h"

DEFINE_string(fleet, "", "Folder of a fleet that scripts/fleet started.");
DEFINE_string(mix, "kortagatt", "Whose programs: kortagatt or derwent.");
DEFINE_double(rate, 5, "Programs that arrive a second, whether or not earlier ones are done.");
DEFINE_int64(programs, 100, "Most programs of the run.");
DEFINE_int64(seconds, 20, "Time in which programs arrive.");
DEFINE_int64(grace_seconds, 30, "Time that programs may go on after it.");
DEFINE_int64(at_once, 200, "Most programs under way; arrivals past it are counted and not started.");
DEFINE_int64(seed, 1, "Seed of the programs and their arrivals.");
DEFINE_double(time_scale, 0.05, "Factor on thinking and tool time.");
DEFINE_double(greedy_factor, 1, "Factor on the arrivals of the first tenant.");
DEFINE_string(faults, "", "File with a schedule: SECONDS fault NAME JSON, or SECONDS signal NAME KILL|TERM|STOP|CONT.");
DEFINE_string(report, "load-report", "Folder for the report.");
DEFINE_string(compare, "", "Report folder of another run, to compare with.");

namespace
{

using namespace Chestnuthook;

constexpr std::int64_t MaxCount = 1'000'000;
constexpr int GuaranteeViolatedExit = 6;

const std::vector<SettingCheck> Settings = {
    {"fleet", "target", nonEmptyCheck(), "name the folder given to scripts/fleet start"},
    {"mix", "load", oneOfCheck({"kortagatt", "derwent"}), "say kortagatt or derwent"},
    {"rate", "load", positiveCheck(), "give programs a second above 0"},
    {"programs", "load", rangeCheck(1, MaxCount), "give a number of programs from 1"},
    {"seconds", "load", rangeCheck(1, MaxCount), "give seconds from 1"},
    {"grace_seconds", "load", rangeCheck(0, MaxCount), "give seconds"},
    {"at_once", "load", rangeCheck(1, 2000), "give a number from 1 to 2000; each program takes a thread"},
    {"seed", "load", rangeCheck(0, INT64_MAX), "give a whole number"},
    {"time_scale", "load", positiveCheck(), "give a factor above 0"},
    {"greedy_factor", "load", positiveCheck(), "give a factor above 0"},
    {"faults", "faults", {}, "name a readable file"},
    {"report", "report", nonEmptyCheck(), "name a folder that this user may write"},
    {"compare", "report", {}, "name the report folder of an earlier run"},
};

std::vector<LoadProgram> planPrograms(std::size_t customers)
{
    LoadArrivals arrivals;
    arrivals.seed = static_cast<std::uint64_t>(FLAGS_seed);
    arrivals.programsPerSecond = FLAGS_rate;
    arrivals.programs = static_cast<std::uint64_t>(FLAGS_programs);
    arrivals.durationMs = FLAGS_seconds * 1000;
    arrivals.timeScale = FLAGS_time_scale;
    arrivals.greedyFactor = FLAGS_greedy_factor;
    arrivals.customers = customers;
    return planWorkload(*findLoadMix(FLAGS_mix), arrivals);
}

Result<std::vector<LoadFault>> readFaultSchedule()
{
    if (FLAGS_faults.empty()) {
        return std::vector<LoadFault>();
    }
    std::ifstream stream(FLAGS_faults);
    if (!stream) {
        return fail(ErrorKind::BadRequest, "can't read " + FLAGS_faults);
    }
    return parseFaultSchedule(std::string(std::istreambuf_iterator<char>(stream), {}));
}

int runLoad(const std::string &command)
{
    const LoadTarget target = readTarget(FLAGS_fleet);
    const Result<std::vector<LoadFault>> faults = readFaultSchedule();
    if (!faults) {
        std::cerr << errorText(faults.error()) << '\n';
        return errorRow(faults.error().kind).exitCode;
    }
    const std::map<std::string, double> other =
        FLAGS_compare.empty() ? std::map<std::string, double>() : readMeasures(FLAGS_compare);
    LoadRecord record(target.customers.size());
    LoadLimits limits;
    limits.durationMs = FLAGS_seconds * 1000;
    limits.graceMs = FLAGS_grace_seconds * 1000;
    limits.maxRunningPrograms = static_cast<std::size_t>(FLAGS_at_once);
    limits.progress = ::isatty(STDERR_FILENO) == 1;
    LoadReport report =
        LoadRunner(target, record, limits, randomHex(4)).run(planPrograms(target.customers.size()), *faults);
    report.command = command;
    for (const auto &[name, key] : target.customers) {
        report.customerNames.push_back(name);
    }
    checkToolCalls(readLedgers(target.services), record);
    report.cache = computeCacheUse(readLedgers(target.engines));
    writeReport(FLAGS_report, report, record, other);
    const auto measures = loadMeasures(report, record);
    for (const auto &[name, value] : measures) {
        std::cout << name << " " << value << "\n";
    }
    return measures.at("promises_broken") > 0 ? GuaranteeViolatedExit : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    std::string command = "chestnuthook-load";
    for (int i = 1; i < argc; ++i) {
        command += " " + std::string(argv[i]);
    }
    const SettingsOutcome settings = loadSettings(argc, argv, Settings);
    if (const auto code = reportSettings(settings)) {
        return *code;
    }
    try {
        return runLoad(command);
    } catch (const std::exception &exception) {
        std::cerr << "error: " << exception.what() << '\n';
        return EXIT_FAILURE;
    }
}
