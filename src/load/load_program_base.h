/** @file load_program_base.h  Runs one program as a careful caller would, and checks the promises as it goes. */
#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "fakes/fake_answer_func.h"
#include "load/load_client_base.h"
#include "load/load_mix_type.h"
#include "load/load_record_base.h"

namespace Chestnuthook
{

/** What all programs of a run share. */
struct LoadRun
{
    const LoadTarget &target; ///< The fleet.
    LoadDirectory &directory; ///< Which entry to use.
    LoadRecord &record; ///< What is seen.
    std::string name; ///< Names the run in markers, so that ledgers of several runs are told apart.
    std::atomic<bool> &stopped; ///< The run's time is over: programs end at their next step.
};

/** One program; for one thread. */
class LoadProgramRunner
{
public:
    LoadProgramRunner(LoadRun &run, const LoadProgram &plan);

    /** Runs it to its end. @return whether it came there. */
    bool run();

    /** Time spent waiting for answers. */
    [[nodiscard]] double busySeconds() const
    {
        return this->busy;
    }

private:
    bool create(const std::string &parent, std::uint32_t calls);
    bool step(const LoadStep &step);
    bool modelCall(const LoadStep &step);
    bool toolCall(const LoadStep &step);
    bool subAgent(const LoadStep &step);
    LoadAnswer call(const std::string &body);
    LoadAnswer persist(const std::string &method, const std::string &path, const std::string &body);
    bool take(const LoadAnswer &answer);
    void checkHistory();
    [[nodiscard]] std::string modelBody(const LoadStep &step, const std::string &content) const;
    [[nodiscard]] const std::string &key() const;

    LoadRun &shared; ///< Of the run.
    const LoadProgram &plan; ///< What to do.
    std::string id; ///< Of the program.
    std::uint32_t next = 1; ///< Number of the next call.
    std::uint32_t budget = 0; ///< Calls that it may make in any case.
    std::uint32_t mostBudget = 0; ///< Calls that it may make where sub-agents gave back what they left.
    bool spent = false; ///< The budget has ended, as it should.
    FakeChatRequest chat; ///< History as the model should see it; foretells the stand-in's answers.
    std::vector<std::string> answers; ///< Text or body of each answered call.
    bool failed = false; ///< A call was given up; the history's end is unknown.
    double busy = 0; ///< Seconds of waiting for answers.
};

} // namespace Chestnuthook
