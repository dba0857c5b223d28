/** @file program_bench.cpp  Overhead of a call: latency added to a direct call to the engine in the same run, bytes
 * written to the log for each call, and the time until programs of a killed entry are served again. */
#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr double MaxAddedP95Ms = 5;
constexpr double MaxTakeoverMs = 4000;

double msSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

void print(const std::string &name, double value, double baseline, double bound, bool judged)
{
    const bool ok = bound <= 0 || value <= bound;
    std::cout << "name=" << name << " value=" << value << " baseline=" << baseline
              << " ratio=" << (baseline > 0 ? value / baseline : 0) << " bound=" << bound
              << " verdict=" << (ok || !judged ? "ok" : "red") << std::endl;
}

std::uintmax_t bytesUnder(const std::string &folder)
{
    std::uintmax_t bytes = 0;
    for (const auto &file : std::filesystem::recursive_directory_iterator(folder)) {
        bytes += file.is_regular_file() ? file.file_size() : 0;
    }
    return bytes;
}

void measureCalls(const ProcessFleet &fleet, int calls, bool judged)
{
    const std::string direct = R"({"model":"verse","messages":[{"role":"user","content":"A line"}],"max_tokens":1,)"
                               R"("stream":true})";
    std::vector<double> directMs;
    std::vector<double> throughMs;
    std::uintmax_t bytes = 0;
    for (int i = 0; i < calls; ++i) {
        const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
        const std::uintmax_t before = bytesUnder(fleet.folder + "/control-0");
        const auto first = Clock::now();
        http(fleet.engineAddresses[0], "POST", "/v1/chat/completions", direct);
        directMs.push_back(msSince(first));
        const auto second = Clock::now();
        fleet.ask(0, "POST", call, modelCall("verse", "A line", 1, true));
        throughMs.push_back(msSince(second));
        bytes += bytesUnder(fleet.folder + "/control-0") - before;
    }
    const double p50 = percentile(throughMs, 0.5) - percentile(directMs, 0.5);
    const double p95 = percentile(throughMs, 0.95) - percentile(directMs, 0.95);
    print("program_added_p50_ms", p50, percentile(directMs, 0.5), 0, judged);
    print("program_added_p95_ms", p95, percentile(directMs, 0.95), MaxAddedP95Ms, judged);
    print("program_log_bytes_per_call", static_cast<double>(bytes) / calls, 0, 0, judged);
}

void measureTakeover(ProcessFleet &fleet, bool judged)
{
    const std::string program = "/v1/programs/" + fleet.createProgram(0);
    const auto killed = Clock::now();
    fleet.processes.at("entry-0")->signal(SIGKILL);
    waitUntil([&]() {
        return fleet.ask(1, "GET", program).status == 200;
    });
    print("program_takeover_ms", msSince(killed), 0, MaxTakeoverMs, judged);
}

} // namespace

int main(int argc, char **argv)
{
    const bool smoke = argc > 1 && std::string(argv[1]) == "--smoke";
    constexpr int SmokeCalls = 20;
    constexpr int Calls = 400;
    ProcessFleet fleet({.entries = 2, .engineFlags = {"--token_ms=0"}});
    raiseRateLimits(fleet);
    measureCalls(fleet, smoke ? SmokeCalls : Calls, !smoke);
    measureTakeover(fleet, !smoke);
    return 0;
}
