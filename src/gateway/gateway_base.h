/** @file gateway_base.h  Serves callers: admits a request, finds what it continues, runs it at an endpoint and answers.
 * It keeps nothing that a caller needs; any gateway serves any request. */
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/timer_base.h"
#include "deployment/deployment_member_base.h"
#include "deployment/deployment_watcher_base.h"
#include "gateway/call_dialect_type.h"
#include "gateway/credit_share_base.h"
#include "gateway/endpoint_board_base.h"
#include "gateway/endpoint_link_base.h"
#include "gateway/event_split_func.h"
#include "history/history_client_base.h"
#include "http/http_server_base.h"

namespace Chestnuthook
{

struct GatewaySettings
{
    std::string dataCentre; ///< Of this instance.
};

/** Tokens claimed for a turn; settled when this ends, with what the caller was handed. */
class TokenSettlement
{
public:
    TokenSettlement(HistoryClient &history, ProgramClaim claim);
    TokenSettlement(const TokenSettlement &) = delete;
    TokenSettlement &operator=(const TokenSettlement &) = delete;
    ~TokenSettlement();

    void addHanded(std::uint32_t tokens)
    {
        this->handed += tokens;
    }
    /** The settled claim, for a write of its own; nothing more is written at the end. */
    [[nodiscard]] ProgramClaim settle();

private:
    HistoryClient &history; ///< Outlives this.
    ProgramClaim claim; ///< As claimed; no program where there is nothing to settle.
    std::uint32_t handed = 0; ///< Tokens that the caller was handed.
};

/** For the control thread. */
class Gateway
{
public:
    Gateway(ControlLoop &loop, DeploymentWatcher &watcher, const CallDialect &dialect,
        ConfigurationParser readConfiguration, GatewaySettings settings);

    /** To be called after each update of the watcher. */
    void followUpdate(std::uint32_t parts);
    /** Answers one request of a caller. */
    void answer(kj::WaitScope &scope, HttpExchange &exchange);

    [[nodiscard]] bool isReady() const
    {
        return this->configuration != nullptr && !this->draining;
    }
    [[nodiscard]] HttpLimits limits() const;
    /** Whether a planned stop that began @p since ago may end: no request is under way any more and callers have had
     * time to learn of it, or the @p grace before the process is killed is nearly over. */
    [[nodiscard]] static bool isStopDone(Duration since, std::size_t underWay, Duration grace);
    /** Takes no new callers from now on; those that come are served. */
    void drain()
    {
        this->draining = true;
    }
    /** Requests that were under way at endpoints that went down since the last call. */
    [[nodiscard]] std::vector<EndpointStrike> takeStrikes();

private:
    /** One request on its way. */
    struct Call;

    /** How an attempt at an endpoint ended. */
    enum class AttemptEnd : std::uint8_t {
        Delivered, ///< The caller has the answer.
        NotRun, ///< The endpoint did not run it and never will.
        Failed, ///< It may have run; the caller has nothing yet, or a stream up to some event.
        TimedOut, ///< As Failed, since the time ran out.
    };

    [[nodiscard]] bool admit(kj::WaitScope &scope, Call &call);
    [[nodiscard]] bool admitRate(kj::WaitScope &scope, Call &call);
    [[nodiscard]] bool beginTurn(kj::WaitScope &scope, Call &call);
    void run(kj::WaitScope &scope, Call &call);
    [[nodiscard]] AttemptEnd attempt(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint);
    [[nodiscard]] AttemptEnd exchangeWith(
        kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint, EndpointConnection &connection);
    [[nodiscard]] AttemptEnd deliverWhole(
        kj::WaitScope &scope, Call &call, HttpResponseReader &reader, const ResponseHead &head);
    [[nodiscard]] AttemptEnd deliverStream(
        kj::WaitScope &scope, Call &call, HttpResponseReader &reader, const ResponseHead &head);
    void finishStream(kj::WaitScope &scope, Call &call);
    [[nodiscard]] std::optional<Milliseconds> programTimeLeft(const Call &call) const;
    [[nodiscard]] std::string forwardBytes(const Call &call, const DeployedEndpoint &endpoint) const;

    /** Notes a strike where the endpoint doesn't accept connections any more. */
    void noteStrikeIfDown(std::uint64_t fingerprint, const DeployedEndpoint &endpoint);
    void refuse(kj::WaitScope &scope, Call &call, unsigned status, std::string_view reason, double retryAfterSeconds);
    void startCreditFetch();
    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    ControlLoop &loop; ///< Outlives this.
    DeploymentWatcher &watcher; ///< Outlives this.
    const CallDialect &dialect; ///< Outlives this.
    ConfigurationParser readDocument; ///< Decodes a configuration.
    GatewaySettings settings; ///< As given.
    ConfigurationPtr configuration; ///< In force; null before the first. Its version never falls.
    EndpointBoard board; ///< Endpoints and their load.
    EndpointLinks links; ///< Connections to endpoints.
    HistoryClient history; ///< Kept turns and budgets.
    CreditShare credit; ///< Rates of the customers.
    std::size_t gateways = 0; ///< That live, this one with them; 0 before it is known.
    kj::Maybe<kj::ForkedPromise<void>> creditFetch; ///< The question to the leader that is under way.
    Instant creditPausedUntil{0}; ///< The leader didn't answer; it isn't asked before.
    std::vector<EndpointStrike> strikes; ///< To be reported.
    bool draining = false; ///< See `drain`.
};

} // namespace Chestnuthook
