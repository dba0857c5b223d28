/** @file history_client_base.h  A gateway's way to the history: claims of tokens, chains of turns, kept turns. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <kj/async.h>

#include "core/error_type.h"
#include "deployment/deployment_watcher_base.h"
#include "history/history_table_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** What a turn needs before it may run. */
struct TurnRequest
{
    ProgramClaim claim; ///< The most that it may generate; no program where the turn has no budget.
    std::uint64_t budget = 0; ///< Of the program, in tokens.
    std::string previous; ///< The turn that it continues; empty for none.
    std::string customer; ///< Whose it is.
};

/** What was found at the start of a turn. */
struct TurnContext
{
    std::vector<std::shared_ptr<const KeptTurn>> chain; ///< The turns that it continues, oldest first.
    bool isFirstTurn = false; ///< No other turn of its program has claimed tokens.
};

/** For the fibers of the control thread. */
class HistoryClient
{
public:
    HistoryClient(ControlLoop &loop, DeploymentWatcher &watcher, std::string dataCentre);

    /** Claims the tokens of a turn and reads the chain that it continues.
     * Errors: BudgetSpent; NotFound where no such turn exists; NotReady where that can't be known until @p until. */
    [[nodiscard]] Result<TurnContext> begin(kj::WaitScope &scope, const TurnRequest &start, Instant until);

    /** Writes @p records with a quorum, until @p until. Errors: NotReady. */
    [[nodiscard]] Result<void> write(kj::WaitScope &scope, const std::vector<HistoryRecord> &records, Instant until);
    /** Writes in the background, without knowing the outcome. */
    void writeInBackground(std::vector<HistoryRecord> records);

private:
    struct Round;
    using Calls = std::shared_ptr<Round>;

    kj::Promise<Wire::HistoryStore::Client> storeAt(const HistoryMember &member);
    [[nodiscard]] std::vector<HistoryMember> nearestFirst() const;
    void sendBegin(const Calls &round, const HistoryMember &member, const std::shared_ptr<const TurnRequest> &start,
        bool withChain);
    /** @return whether the claim lasts and the claims of the others are known. */
    [[nodiscard]] bool beginRound(kj::WaitScope &scope, const Calls &round, const TurnRequest &start, Instant until);
    /** Errors: BudgetSpent. The claim is left to the settlement of the turn. */
    [[nodiscard]] static Result<void> checkBudget(const Round &round, const TurnRequest &start, TurnContext &begun);
    void sendWrite(const Calls &round, const HistoryView &view, const std::vector<HistoryRecord> &records);
    void addCall(const Calls &round, const HistoryMember &member, kj::Promise<Wire::HistoryStatus> call);
    /** Reads what is missing of @p chain. @return it whole, oldest first. */
    Result<std::vector<std::shared_ptr<const KeptTurn>>> readChain(
        kj::WaitScope &scope, const TurnRequest &start, TurnChain chain, Instant until);
    bool waitRound(kj::WaitScope &scope, const Calls &round, Instant until);
    [[nodiscard]] bool pauseBeforeRetry(kj::WaitScope &scope, Instant until);

    struct IgnoreFailures final : kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception && /*exception*/) override
        {
            // Each call takes care of its own failure.
        }
    };

    ControlLoop &loop; ///< Outlives this.
    DeploymentWatcher &watcher; ///< Outlives this.
    std::string dataCentre; ///< Of this gateway.
    std::map<std::string, std::unique_ptr<RpcLink>> links; ///< By address.
    IgnoreFailures failures; ///< Of `tasks`.
    kj::TaskSet tasks; ///< Calls under way; they go on after a quorum has answered.
};

} // namespace Chestnuthook
