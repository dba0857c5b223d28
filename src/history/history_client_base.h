/** @file history_client_base.h  Client of the replicated history store: reserves tokens of a program's budget, reads
 * the chain of turns that a request continues, and stores finished turns. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <kj/async.h>

#include "core/error_type.h"
#include "deployment/deployment_watcher_base.h"
#include "history/history_table_base.h"
#include "history/stream_origin_table_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** Request to start a turn. */
struct TurnStart
{
    ProgramClaim claim; ///< Most tokens that it may generate; the program is empty if the turn has no budget.
    std::uint64_t budget = 0; ///< Token budget of the program.
    std::string previous; ///< Id of the turn that it continues; empty for none.
    std::string customer; ///< Customer that owns the turn.
    bool isKept = false; ///< The turn will be stored, so the members must have room for it.
    /** Settled claims of requests whose streams this one resumes. Their gateways may never settle them. */
    std::vector<TokenClaim> resumed = {};
};

/** State read from the history store when a turn starts. */
struct TurnContext
{
    std::vector<std::shared_ptr<const KeptTurn>> chain; ///< Preceding turns, oldest first.
    bool isFirstTurn = false; ///< No other turn of its program has reserved tokens.
};

/** Blocking calls are for fibers of the control thread. */
class HistoryClient
{
public:
    HistoryClient(ControlLoop &loop, DeploymentWatcher &watcher, std::string dataCentre);

    /** Reserves the tokens of a turn and reads the chain that it continues.
     * Errors: BudgetSpent; NotFound if the previous turn doesn't exist; NotReady if no quorum answers by @p until. */
    [[nodiscard]] Result<TurnContext> begin(kj::WaitScope &scope, const TurnStart &start, Instant until);

    /** Writes @p records to a write quorum, retrying until @p until. Acknowledgements of all tries count together. A
     * member that lacks a turn of @p chain gets the chain, so that each member that acknowledges holds all of it.
     * @param chain turns that the written turn continues. Errors: NotReady. */
    [[nodiscard]] Result<void> write(kj::WaitScope &scope, const std::vector<HistoryRecord> &records,
        const std::vector<std::shared_ptr<const KeptTurn>> &chain, Instant until);
    /** Writes @p records to a write quorum without making the caller wait, for at most BackgroundWriteTime. While
     * MaxBackgroundWrites are under way, the records are sent only once. */
    void writeInBackground(std::vector<HistoryRecord> records);

    /** Sends the origin of a stream to all members without waiting for acks. */
    void addStreamOrigin(const StreamKey &stream, const StreamOrigin &origin, Duration ttl);
    /** Asks all members until one knows the origin, at most until @p until. */
    [[nodiscard]] std::optional<StreamOrigin> findStreamOrigin(
        kj::WaitScope &scope, const StreamKey &stream, Instant until);

private:
    friend class StreamRecorder;
    /** All history members may be down for seconds, and a reservation of tokens that isn't handed back stays. */
    static constexpr Duration BackgroundWriteTime = std::chrono::seconds(30);
    static constexpr std::size_t MaxBackgroundWrites = 1024;

    struct QuorumCall;
    struct OriginSearch;
    /** What a write stores. */
    struct Write
    {
        std::vector<HistoryRecord> records; ///< Records to write.
        std::vector<std::shared_ptr<const KeptTurn>> chain; ///< Turns that the written turn continues.
    };
    using WritePtr = std::shared_ptr<const Write>;
    using QuorumCallPtr = std::shared_ptr<QuorumCall>;

    /** The link to a member. */
    struct MemberLink
    {
        MemberLink(RpcContext &context, const std::string &address)
            : link(context, address)
        {
        }

        RpcLink link; ///< Connections to the member.
        Instant lastHeard{0}; ///< Time of the last response on the current connection.
    };

    [[nodiscard]] MemberLink &linkTo(const std::string &address);
    /** Sends a call and waits for its response. A connection that breaks, or on which nothing is heard for
     * SilenceTimeout while the call waits, is replaced for later calls. The call itself goes on until CallTimeout.
     * @param send takes a store and returns the promise of a response.
     * @param onSilence is called if the connection is replaced while the call waits. */
    template<typename Send>
    auto callMember(const std::string &address, Send send, std::function<void()> onSilence = {});
    kj::Promise<void> watchSilence(
        MemberLink &member, RpcLink::ConnectionPtr connection, Instant since, std::function<void()> onSilence);
    /** Members in the order in which reads try them: current before joining ones, then alive before silent ones, then
     * those of the own data centre first. */
    [[nodiscard]] std::vector<HistoryMember> membersByPreference() const;
    void sendBeginTo(const QuorumCallPtr &quorumCall, const HistoryMember &member,
        const std::shared_ptr<const TurnStart> &start, bool withChain);
    /** Sends a begin call to the members that haven't answered earlier tries, and waits for it.
     * @return whether a write quorum has stored the claim and returned the claims of the program's other turns; true
     * for a turn without a budget. */
    [[nodiscard]] bool callBegin(
        kj::WaitScope &scope, const QuorumCallPtr &quorumCall, const TurnStart &start, Instant until);
    /** Errors: BudgetSpent. A rejected claim stays stored until the turn is settled. */
    [[nodiscard]] static Result<void> checkBudget(
        const QuorumCall &quorumCall, const TurnStart &start, TurnContext &context);
    kj::Promise<void> retryInBackground(QuorumCallPtr quorumCall, WritePtr write, Instant until);
    /** Sends @p write to the members that haven't acknowledged it in earlier tries. */
    void sendWrite(const QuorumCallPtr &quorumCall, const WritePtr &write);
    void askForOrigin(const std::shared_ptr<OriginSearch> &search, const HistoryMember &member);
    /** Sends a call to one of several members. @param send takes a store and returns the promise of a status. */
    template<typename Send>
    void addCall(const QuorumCallPtr &quorumCall, const HistoryMember &member, Send send);
    /** Reads the missing part of @p chain from other members. @return the complete chain, oldest first. */
    Result<std::vector<std::shared_ptr<const KeptTurn>>> readChain(
        kj::WaitScope &scope, const TurnStart &start, TurnChain chain, Instant until);
    bool waitForCall(kj::WaitScope &scope, const QuorumCallPtr &quorumCall, Instant until);
    /** @param needsView the members may have changed, so the leader is asked for the view at once. */
    [[nodiscard]] bool waitBeforeRetry(kj::WaitScope &scope, Instant until, bool needsView);

    struct IgnoreFailures final : kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception && /*exception*/) override
        {
            // Each call handles its own failure.
        }
    };

    ControlLoop &loop; ///< Must outlive this object.
    DeploymentWatcher &watcher; ///< Must outlive this object.
    std::string dataCentre; ///< Data centre of this gateway.
    std::map<std::string, std::unique_ptr<MemberLink>> links; ///< By RPC address.
    std::size_t backgroundWrites = 0; ///< Writes of `retryInBackground` that are under way.
    IgnoreFailures failures; ///< Error handler of `tasks`.
    kj::TaskSet tasks; ///< QuorumCallPtr in flight; they continue after a quorum has answered.
};

} // namespace Chestnuthook
