/** @file load_runner_base.cpp  Starts programs when they arrive. */
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

constexpr auto LookPeriod = std::chrono::milliseconds(20);

std::int64_t msSince(Clock::time_point began)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began).count();
}

} // namespace

LoadRunner::LoadRunner(const LoadTarget &target, LoadRecord &record, LoadBounds bounds, std::string name)
    : target(target)
    , record(record)
    , bounds(bounds)
    , directory(target.entries)
    , name(std::move(name))
{
}

LoadReport LoadRunner::run(const std::vector<LoadProgram> &programs, const std::vector<LoadFault> &faults)
{
    LoadReport report;
    LoadRun shared{this->target, this->directory, this->record, this->name, this->stopped};
    std::vector<std::thread> threads;
    const auto began = Clock::now();
    auto arrival = programs.begin();
    auto fault = faults.begin();
    const std::int64_t end = this->bounds.durationMs + this->bounds.graceMs;
    while (msSince(began) < end && (arrival != programs.end() || fault != faults.end() || this->running > 0)) {
        const std::int64_t now = msSince(began);
        for (; fault != faults.end() && fault->atMs <= now; ++fault) {
            report.faults.push_back(carryOut(*fault, this->target));
        }
        for (; arrival != programs.end() && arrival->arrivalMs <= now; ++arrival) {
            if (this->running >= this->bounds.programsAtOnce) {
                report.notStarted += 1;
                continue;
            }
            this->running += 1;
            threads.emplace_back([this, &shared, plan = &*arrival]() {
                LoadProgramRunner runner(shared, *plan);
                const bool finished = runner.run();
                this->record.addProgram(plan->customer, finished, runner.busySeconds(), plan->arrivalMs);
                this->running -= 1;
            });
        }
        this->showProgress(static_cast<std::size_t>(arrival - programs.begin()), programs.size());
        std::this_thread::sleep_for(LookPeriod);
    }
    this->stopped = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    report.seconds = static_cast<double>(msSince(began)) / 1000;
    if (this->bounds.progress) {
        std::cerr << "\n";
    }
    return report;
}

void LoadRunner::showProgress(std::size_t arrived, std::size_t all)
{
    if (!this->bounds.progress) {
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
