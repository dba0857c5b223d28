/** @file load_runner_base.cpp  Starts each program at its arrival time. */
#include "load/load_runner_base.h"

#include <chrono>
#include <iostream>
#include <thread>
#include <utility>

namespace Chestnuthook
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto PollInterval = std::chrono::milliseconds(20);

std::int64_t msSince(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

} // namespace

LoadRunner::LoadRunner(const LoadTarget &target, LoadRecord &record, LoadLimits limits, std::string name)
    : target(target)
    , record(record)
    , limits(limits)
    , directory(target.entries)
    , name(std::move(name))
{
}

LoadReport LoadRunner::run(const std::vector<LoadProgram> &programs, const std::vector<LoadFault> &faults)
{
    LoadReport report;
    LoadRunContext shared{this->target, this->directory, this->record, this->name, this->stopped};
    std::vector<std::thread> threads;
    const auto start = Clock::now();
    auto arrival = programs.begin();
    auto fault = faults.begin();
    const std::int64_t end = this->limits.durationMs + this->limits.graceMs;
    while (msSince(start) < end && (arrival != programs.end() || fault != faults.end() || this->running > 0)) {
        const std::int64_t now = msSince(start);
        for (; fault != faults.end() && fault->atMs <= now; ++fault) {
            report.faults.push_back(injectFault(*fault, this->target));
        }
        for (; arrival != programs.end() && arrival->arrivalMs <= now; ++arrival) {
            if (this->running >= this->limits.maxRunningPrograms) {
                report.droppedPrograms += 1;
                continue;
            }
            this->running += 1;
            threads.emplace_back([this, &shared, plan = &*arrival]() {
                LoadProgramRunner runner(shared, *plan);
                const bool finished = runner.run();
                this->record.addProgram(plan->customer, finished, runner.totalRequestSeconds(), plan->arrivalMs);
                this->running -= 1;
            });
        }
        this->showProgress(static_cast<std::size_t>(arrival - programs.begin()), programs.size());
        std::this_thread::sleep_for(PollInterval);
    }
    this->stopped = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    report.seconds = static_cast<double>(msSince(start)) / 1000;
    if (this->limits.progress) {
        std::cerr << "\n";
    }
    return report;
}

void LoadRunner::showProgress(std::size_t arrived, std::size_t all)
{
    if (!this->limits.progress) {
        return;
    }
    const std::scoped_lock lock(this->record.mutex);
    std::uint64_t broken = 0;
    for (const std::uint64_t count : this->record.broken) {
        broken += count;
    }
    std::cerr << "\rprograms " << arrived << " of " << all << ", under way " << this->running << ", calls "
              << this->record.callSeconds.size() << ", promises broken " << broken << "   " << std::flush;
}

} // namespace Chestnuthook
