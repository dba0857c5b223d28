/** @file pool_client_base.h  Asks the owners of pools for endpoints, over RPC or directly where this gateway is the
 * owner itself, and reports what became of the requests. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/endpoint_pool_type.h"
#include "gateway/endpoint_pools_base.h"
#include "gateway/pool_message_func.h"
#include "gateway/pool_owner_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

class PoolClient;

/** A turn that an owner knows of: it waits, or it may use the endpoint. Gives the turn back on destruction. */
class PoolGrant
{
public:
    PoolGrant(PoolClient &client, std::uint64_t ticket)
        : client(client)
        , ticket(ticket)
    {
    }
    PoolGrant(const PoolGrant &) = delete;
    PoolGrant &operator=(const PoolGrant &) = delete;
    ~PoolGrant();

    /** Reports how the turn ended. Ticket and holder of @p outcome are set here. */
    void release(TurnOutcome outcome);
    [[nodiscard]] std::uint64_t id() const
    {
        return this->ticket;
    }

private:
    PoolClient &client; ///< Must outlive this object.
    std::uint64_t ticket; ///< Of the turn.
    bool isReleased = false; ///< Nothing is left to give back.
};

/** A request that needs an endpoint of a pooled service. */
struct PoolQuery
{
    std::string requestId; ///< For the log.
    std::string service; ///< Service that runs the request.
    std::string dataCentre; ///< Pools of this data centre are preferred.
    std::uint64_t affinity = 0; ///< Requests with the same value ask the same pool.
    TurnRequest turn; ///< What the owner gets; ticket and holder are set by the client.
};

/** What the owners of the pools have decided. */
struct PoolPlacement
{
    enum class Kind : std::uint8_t {
        Granted, ///< The request may go to the endpoint.
        Refused, ///< It can't be served before its deadline.
        Unplaced, ///< No owner has decided; the gateway has to choose.
    };
    Kind kind = Kind::Unplaced; ///< What was decided.
    std::string endpoint; ///< Granted endpoint.
    std::unique_ptr<PoolGrant> grant; ///< Set if granted.
    Duration retryAfter{0}; ///< If refused, the time after which it may be sent again.
};

/** Used by the control thread only. Grants must be gone when it is destroyed. */
class PoolClient
{
public:
    /** An owner that doesn't answer within this time is passed over. */
    static constexpr Duration AcquireTimeout = std::chrono::milliseconds(40);
    /** A call that waits for a grant takes this long; a stalled owner is noticed AcquireTimeout after its end. */
    static constexpr Duration AwaitTime = std::chrono::milliseconds(100);
    /** If the first pool predicts a longer wait than this, a second one is asked. */
    static constexpr Duration MaxFirstWait = std::chrono::milliseconds(30);
    /** Reports to an owner are given up after this time. */
    static constexpr Duration ReportTimeout = std::chrono::milliseconds(250);
    /** Reports that are kept for an owner that doesn't take them. */
    static constexpr std::size_t MaxQueuedReports = 256;
    /** A request is not left to wait if less time than this would remain after its predicted end. */
    static constexpr Duration MinUsefulTime = std::chrono::milliseconds(5);
    /** The connection to an owner that hasn't answered for this long is made anew. */
    static constexpr Duration LinkTimeout = std::chrono::seconds(2);

    PoolClient(ControlLoop &loop, std::string ownName, EndpointPools &pools, PoolOwner &owner);
    PoolClient(const PoolClient &) = delete;
    PoolClient &operator=(const PoolClient &) = delete;

    /** Asks the pools of a service for an endpoint and waits for a grant. */
    [[nodiscard]] PoolPlacement place(kj::WaitScope &scope, const PoolQuery &query);
    /** Tells new owners of the turns that are in flight in their pools. */
    void applyOwnerChanges(const std::vector<PoolOwnerChange> &changes);
    /** Drops the connections to gateways that are gone. */
    void dropUnusedLinks();
    /** Connects to the owners of the pools of @p service, so that the first request needn't wait for it. */
    void prepare(const std::string &service);

private:
    friend class PoolGrant;

    /** A turn that an owner knows of. */
    struct Held
    {
        std::string pool; ///< Id of the pool.
        std::string owner; ///< Gateway that decides.
        TurnRequest request; ///< As submitted.
        std::string endpoint; ///< Granted endpoint; empty while the turn waits.
    };
    /** An asked pool. */
    struct Asked
    {
        std::string poolId; ///< Id of the pool.
        std::string owner; ///< Gateway that was asked.
        std::unique_ptr<PoolGrant> grant; ///< Null if the owner didn't answer.
        PoolAnswer answer; ///< Its answer.
        std::string_view failure; ///< Why there is no answer.
        [[nodiscard]] bool is(TurnVerdict verdict) const
        {
            return this->grant != nullptr && this->answer.verdict == verdict;
        }
        [[nodiscard]] Duration predictedEnd() const
        {
            return this->answer.predictedWait + this->answer.predictedTime;
        }
    };
    /** Something to tell an owner. */
    struct Report
    {
        enum class Kind : std::uint8_t { Release, Cancel, Adopt };
        Kind kind = Kind::Cancel; ///< What is told.
        std::string pool; ///< Id of the pool.
        TurnOutcome outcome; ///< Of a release; otherwise only its ticket.
        AdoptedTurn adopted; ///< Of an adoption.
    };
    /** Another gateway that owns pools. */
    struct Peer
    {
        std::shared_ptr<RpcLink> link; ///< Connection to it.
        std::vector<Report> reports; ///< Not sent yet.
        bool isSending = false; ///< Reports are under way.
        Instant lastAnswer{0}; ///< When it answered last, or was first asked.
    };
    using Reply = std::unique_ptr<PoolAnswer>; ///< Null if the owner didn't answer.

    [[nodiscard]] Asked ask(kj::WaitScope &scope, const std::string &poolId, const PoolQuery &query);
    [[nodiscard]] PoolPlacement awaitGrant(kj::WaitScope &scope, const PoolQuery &query, Asked asked);
    [[nodiscard]] PoolPlacement conclude(const PoolQuery &query, Asked asked, PoolPlacement::Kind kind,
        std::string_view reason, Duration waited = Duration(0));
    [[nodiscard]] kj::Promise<Reply> callAcquire(
        const std::string &owner, const std::string &pool, const TurnRequest &request);
    [[nodiscard]] kj::Promise<Reply> callAwait(
        const std::string &owner, const std::string &pool, std::uint64_t ticket, Duration wait);
    /** Ends @p answered with nothing after @p timeout or if the call fails. */
    [[nodiscard]] kj::Promise<Reply> limit(const std::string &owner, kj::Promise<Reply> answered, Duration timeout);
    /** Ends a turn: it was used, or is given back. */
    void finish(std::uint64_t ticket, Report::Kind kind, TurnOutcome outcome);
    void report(const std::string &owner, Report report);
    void applyReport(const Report &report);
    void sendReports(const std::string &owner);
    [[nodiscard]] kj::Promise<void> callReports(
        const std::shared_ptr<RpcLink> &link, std::vector<Report> reports) const;
    /** Connection to the gateway @p name. @return null if it isn't listed. */
    [[nodiscard]] std::shared_ptr<RpcLink> linkTo(const std::string &name);
    void recordFailure(const std::string &owner, std::string_view reason);
    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    ControlLoop &loop; ///< Must outlive this object.
    std::string ownName; ///< Name of this gateway.
    EndpointPools &pools; ///< Must outlive this object.
    PoolOwner &owner; ///< Must outlive this object. Pools that this gateway owns.
    std::uint64_t lastTicket; ///< Starts at the time, so that a restarted gateway doesn't repeat tickets.
    std::map<std::uint64_t, Held> held; ///< By ticket.
    std::map<std::string, Peer> peers; ///< By name.
};

} // namespace Chestnuthook
