/** @file load_program_base.h  Runs one program with retries and checks the guarantees on each response. */
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

/** State shared by all programs of a run. */
struct LoadRunContext
{
    const LoadTarget &target; ///< Fleet under load.
    LoadDirectory &directory; ///< Chooses the entry for each request.
    LoadRecord &record; ///< Collects the results.
    std::string name; ///< Part of all markers, which tells the requests of several runs apart in a ledger.
    std::atomic<bool> &stopped; ///< The time of the run is over: programs end before their next step.
};

/** Runs one program; not thread-safe. */
class LoadProgramRunner
{
public:
    LoadProgramRunner(LoadRunContext &run, const LoadProgram &plan);

    /** Runs the program. @return whether all its steps were done or its budget was spent. */
    bool run();

    /** Time spent on requests, including retries and the delays between them, in seconds. */
    [[nodiscard]] double totalRequestSeconds() const
    {
        return this->requestSeconds;
    }

private:
    bool create(const std::string &parent, std::uint32_t calls);
    bool step(const LoadStep &step);
    bool modelCall(const LoadStep &step);
    bool toolCall(const LoadStep &step);
    bool subAgent(const LoadStep &step);
    LoadResponse call(const std::string &body);
    LoadResponse sendWithRetries(const std::string &method, const std::string &path, const std::string &body);
    bool handleResponse(const LoadResponse &answer);
    void checkHistory();
    [[nodiscard]] std::string modelBody(const LoadStep &step, const std::string &content) const;
    [[nodiscard]] const std::string &key() const;

    LoadRunContext &shared; ///< State of the run.
    const LoadProgram &plan; ///< Plan of the program.
    std::string id; ///< Program id.
    std::uint32_t next = 1; ///< Number of the next call.
    std::uint32_t budget = 0; ///< Number of calls that must not be rejected for the budget.
    std::uint32_t maxBudget = 0; ///< Upper bound of the budget: sub-agents may have returned what they did not use.
    bool budgetSpent = false; ///< A call was rejected because the budget is spent.
    FakeChatRequest chat; ///< The expected history; predicts the completions of the fake engine.
    std::vector<std::string> answers; ///< Completion text or tool response of each successful call.
    bool failed = false; ///< A call was abandoned, so the end of the history is unknown.
    double requestSeconds = 0; ///< Seconds spent on requests.
};

} // namespace Chestnuthook
