/** @file gateway_base.h  Handles client requests: admits a request, loads the turns that it continues, forwards it to
 * an endpoint and relays the response. Gateways hold no client state, so any gateway can serve any request. */
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/timer_base.h"
#include "deployment/deployment_member_base.h"
#include "deployment/deployment_watcher_base.h"
#include "gateway/configuration_freshness_base.h"
#include "gateway/endpoint_connector_base.h"
#include "gateway/endpoint_limits_base.h"
#include "gateway/event_split_func.h"
#include "gateway/header_codec_type.h"
#include "gateway/load_balancer_base.h"
#include "gateway/pool_dispatcher_base.h"
#include "gateway/rate_limiter_base.h"
#include "gateway/request_quarantine_base.h"
#include "gateway/request_waits_base.h"
#include "gateway/response_memory_base.h"
#include "gateway/shutdown_schedule_func.h"
#include "history/history_client_base.h"
#include "http/http_server_base.h"

namespace Chestnuthook
{

struct GatewaySettings
{
    std::string name; ///< Name of this instance.
    std::string dataCentre; ///< Data centre of this instance.
    std::string endpointSource; ///< IP address from which direct connections to endpoints leave; may be empty.
    Duration drainPeriod{0}; ///< Time after which an endpoint that is known to leave must get no request.
    RateTolerance rateTolerance; ///< Tolerated excess over the customers' rates.
    ColdTolerance coldTolerance; ///< Requests that cold endpoints may get.
    std::size_t memoryLimitBytes = 110U << 20U; ///< Memory of the process above which the platform ends it.
    /** Time after the acknowledgement of a configuration in which an older one may be served; 0 for any. */
    Duration configurationLimit{0};
};

/** Settles the token claim of a turn, at the latest on destruction, with the number of tokens delivered to the client.
 */
class TokenSettlement
{
public:
    TokenSettlement(HistoryClient &history, ProgramClaim claim);
    TokenSettlement(const TokenSettlement &) = delete;
    TokenSettlement &operator=(const TokenSettlement &) = delete;
    ~TokenSettlement();

    void addDeliveredTokens(std::uint32_t tokens)
    {
        this->deliveredTokens += tokens;
    }
    /** Returns the settled claim for the caller to write. The destructor then writes nothing. */
    [[nodiscard]] ProgramClaim settle();

private:
    HistoryClient &history; ///< Must outlive this object.
    ProgramClaim claim; ///< The open claim; its program is empty if there is nothing to settle.
    std::uint32_t deliveredTokens = 0; ///< Tokens delivered to the client so far.
};

/** Must be used on the control thread only. */
class Gateway
{
public:
    Gateway(ControlLoop &loop, DeploymentWatcher &watcher, const HeaderCodec &headerCodec,
        ConfigurationParser readConfiguration, GatewaySettings settings);

    /** Must be called after each update of the watcher, with the parts that changed. A configuration is read in the
     * background, and in force after that. */
    void applyUpdate(std::uint32_t parts);
    /** Resolves once the configuration that the watcher got last has been read, and is in force if it is newer. */
    [[nodiscard]] kj::Promise<void> whenConfigurationRead();
    /** Handles a client request and sends its response. */
    void handleRequest(kj::WaitScope &scope, HttpExchange &exchange);

    /** Whether this gateway knows the configuration and the endpoints, and isn't stopping. */
    [[nodiscard]] bool isReady() const
    {
        return this->configuration != nullptr && this->watcher.view.term != 0 && !this->draining;
    }
    /** Version of the configuration by which requests are handled; 0 if there is none. */
    [[nodiscard]] std::uint64_t configurationVersion() const
    {
        return this->configuration == nullptr ? 0 : this->configuration->version;
    }
    [[nodiscard]] HttpLimits limits() const;
    /** A large body isn't read if its request will be refused. While memory is short it waits until the deadline. */
    [[nodiscard]] BodyPlan planBody(const RequestHead &head) const;
    /** Schedule of a stop with the configuration in force. */
    [[nodiscard]] ShutdownSchedule shutdownSchedule(Duration grace) const;
    /** Reports this gateway as not ready from now on. Requests that still arrive are served if they end within @p
     * grace; those that may be repeated are cut short, others are rejected at once. */
    void drain(Duration grace);
    /** Rejects requests that arrive from now on; those that are active go on. */
    void stopAccepting()
    {
        this->accepting = false;
    }
    /** Opens connections to endpoints for other gateways. */
    [[nodiscard]] EndpointRelay &endpointRelay()
    {
        return this->connector.relay;
    }
    /** Capability for other gateways: connections to endpoints, and endpoints of the pools that this gateway owns. */
    [[nodiscard]] Wire::GatewayPeer::Client makePeer()
    {
        return this->dispatcher.makePeer(this->connector.relay);
    }
    /** Whether this gateway needs others to reach most endpoints of a service. */
    [[nodiscard]] bool isCutOff() const
    {
        return this->connector.isCutOff();
    }
    /** Logs the requests that are active when the process ends, and when the last one was accepted. */
    void logShutdown() const;
    /** Returns what control is to be told of requests that may crash endpoints, since the last call. */
    [[nodiscard]] StrikeReport takeStrikes()
    {
        return this->quarantine.takeReport();
    }
    /** Returns the limits of endpoints that have changed since the last call. */
    [[nodiscard]] std::vector<EndpointLimitReport> takeLimits()
    {
        return this->endpointLimits.takeReports(this->now());
    }

private:
    /** State of a request while it is handled. */
    struct Call;

    /** Result of an attempt at an endpoint. */
    enum class AttemptResult : std::uint8_t {
        Delivered, ///< The response was sent to the client.
        NotExecuted, ///< The endpoint did not execute the request and never will.
        Failed, ///< The request may have been executed. The client has received nothing, or part of a stream.
        TimedOut, ///< Like Failed, because of a timeout.
    };

    [[nodiscard]] bool admit(kj::WaitScope &scope, Call &call);
    /** Begins to read the watcher's document on the worker thread. */
    void startReading();
    /** Puts a configuration in force that was read within @p readTime, unless it is older. */
    void putInForce(const Result<ConfigurationPtr> &read, Duration readTime);
    /** Rejects a request that the configuration in force doesn't allow; with a status that lets the client try again if
     * there may be a newer configuration. */
    void rejectDisallowed(kj::WaitScope &scope, Call &call, unsigned status, std::string_view reason);
    /** Whether the configuration in force is the newest one, as far as a leader has told lately. */
    [[nodiscard]] bool isConfigurationCurrent() const;
    /** Whether a leader has told of a newer configuration that may have been acknowledged longer ago than an older one
     * may be served. */
    [[nodiscard]] bool isConfigurationOutdated() const;
    /** Finds the events that the client has of a stream that it resumes, if its turn is to be stored with them. */
    [[nodiscard]] bool restoreBeginning(kj::WaitScope &scope, Call &call);
    /** Counts the tokens that the client has of the stream that it resumes once: as those of the requests before. */
    static void claimResumedTokens(const Call &call, TurnStart &start);
    /** Settles the claims of these requests, in the background. */
    void settleResumed(const TurnStart &start);
    /** Tells the history members of a stream whose turn will be stored. */
    void recordBeginning(Call &call, const DeployedEndpoint &endpoint);
    /** Tells them of the @p events that the client is about to get. */
    static void recordEvents(kj::WaitScope &scope, Call &call, const std::vector<StreamEvent> &events);
    /** Selects the service of the request, and for a resumed stream the version at which it may go on. */
    [[nodiscard]] bool selectOrigin(kj::WaitScope &scope, Call &call);
    /** Service and version at which every stream of @p route began, if the leader confirms that there is only one. */
    [[nodiscard]] std::optional<StreamOrigin> findOnlyOrigin(kj::WaitScope &scope, const RouteConfig &route);
    [[nodiscard]] bool applyRateLimit(kj::WaitScope &scope, Call &call);
    /** Waits for credit of the request's customer. @return why there is none. */
    [[nodiscard]] std::optional<std::string_view> takeCustomerCredit(kj::WaitScope &scope, Call &call);
    [[nodiscard]] bool beginTurn(kj::WaitScope &scope, Call &call);
    /** Endpoint for an attempt. */
    struct EndpointChoice
    {
        std::optional<DeployedEndpoint> endpoint; ///< Empty if there is none.
        bool isAtLimit = false; ///< There is none because of the limits that endpoints name.
        std::unique_ptr<PoolGrant> grant = nullptr; ///< Held during the attempt if a pool has named the endpoint.
        std::optional<Duration> refusedFor = std::nullopt; ///< Set if a pool has refused the request.
    };
    /** Chooses an endpoint that isn't in @p tried and takes credit for it if it is cold or names a limit. Requests of a
     * running program wait for room within the limits, at most MaxLimitWait. */
    [[nodiscard]] EndpointChoice chooseEndpoint(
        kj::WaitScope &scope, Call &call, const SelectionCriteria &criteria, const std::set<std::string> &tried);
    /** Asks the pools of the service for an endpoint. @return nothing if this gateway has to choose by itself. */
    [[nodiscard]] std::optional<EndpointChoice> choosePooled(
        kj::WaitScope &scope, const Call &call, const SelectionCriteria &criteria, const std::set<std::string> &tried);
    /** Chooses a cold endpoint with room for a request that the pools of its service refuse. */
    [[nodiscard]] std::optional<DeployedEndpoint> chooseCold(
        kj::WaitScope &scope, const SelectionCriteria &criteria, const std::set<std::string> &tried);
    /** Reports to its pool how the attempt at the endpoint that @p grant names has ended. */
    void releaseGrant(const Call &call, PoolGrant &grant, AttemptResult result) const;
    void runAtEndpoints(kj::WaitScope &scope, Call &call);
    [[nodiscard]] AttemptResult attempt(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint);
    [[nodiscard]] AttemptResult sendAndReceive(
        kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint, EndpointConnection &connection);
    /** Whether a response was received to its end. A process that goes down closes its connections as if its responses
     * had ended, so after a response that ends with its connection the endpoint must accept another one. */
    [[nodiscard]] bool confirmEnd(
        kj::WaitScope &scope, const Call &call, const DeployedEndpoint &endpoint, const ResponseHead &head);
    [[nodiscard]] AttemptResult relayResponse(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint,
        HttpResponseReader &reader, const ResponseHead &head);
    [[nodiscard]] AttemptResult relayStream(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint,
        EndpointConnection &connection, HttpResponseReader &reader, const ResponseHead &head);
    /** Begins the response to the client. The stream may go on only at the version of @p endpoint from then on. */
    void beginStream(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint, const ResponseHead &head);
    void finishStream(kj::WaitScope &scope, Call &call);
    [[nodiscard]] std::optional<Milliseconds> programTimeLeft(const Call &call) const;
    [[nodiscard]] unsigned priorityOf(const Call &call) const;
    [[nodiscard]] std::string serializeRequest(const Call &call, const DeployedEndpoint &endpoint) const;

    /** Records that @p endpoint has stated in the response to @p call that it leaves. */
    void recordLeaving(const Call &call, const DeployedEndpoint &endpoint);
    /** Records load, limit and cold time that @p endpoint has stated in the response to @p call. */
    void recordReports(Call &call, const DeployedEndpoint &endpoint, const ResponseMetadata &metadata, unsigned status);
    /** Counts the evacuated endpoints of @p list, and logs their data centres if these have changed. */
    void reportEvacuated(const std::vector<DeployedEndpoint> &list);
    /** Chooses an endpoint for a suspect, if possible one without another suspect of this gateway. */
    [[nodiscard]] EndpointChoice chooseForSuspect(
        kj::WaitScope &scope, Call &call, const SelectionCriteria &criteria, const std::set<std::string> &tried);
    /** Records a strike if the endpoint no longer accepts connections while others do. */
    void recordStrikeIfDown(const Call &call, const DeployedEndpoint &endpoint);
    void reject(kj::WaitScope &scope, Call &call, unsigned status, std::string_view reason, double retryAfterSeconds);
    /** Requests from the leader the credit that the rate limiters need, unless a request is in flight. */
    void startCreditRequest();
    /** Waits for the reply to the credit request in flight, at most CreditReplyTimeout. */
    void awaitCredit(kj::WaitScope &scope);
    [[nodiscard]] LeaderState leaderState() const;
    /** What limits the requests to @p endpoint, as far as this gateway knows. */
    [[nodiscard]] EndpointRates endpointRates(const std::string &endpoint) const;
    [[nodiscard]] bool isLimited(const std::string &endpoint) const;
    /** Drops the accounts of endpoints without a limit. */
    void retainEndpointAccounts();
    /** Records how much longer @p endpoint stays cold as its response says, if it does. */
    void recordCold(const std::string &endpoint, std::optional<Milliseconds> left);
    /** Takes credit for a request to an endpoint if that is cold or names a limit. @return whether it has room. */
    [[nodiscard]] bool takeEndpointCredit(kj::WaitScope &scope, const DeployedEndpoint &endpoint);
    /** Records the limit that a response of @p endpoint names, 0 for none. */
    void recordLimit(const std::string &endpoint, double perSecond);
    /** Logs the limit of @p endpoint, which has changed, and drops the accounts of endpoints without a limit. */
    void applyLimit(const std::string &endpoint, std::string_view cause);
    /** Logs that the connection of @p call ends without a complete response. */
    void logAborted(const Call &call, std::string_view reason) const;
    /** Milliseconds from the call of `drain` to @p time, as text; "none" without such a call. */
    [[nodiscard]] std::string sinceDrainMs(Instant time) const;
    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    ControlLoop &loop; ///< Must outlive this object.
    DeploymentWatcher &watcher; ///< Must outlive this object.
    const HeaderCodec &headerCodec; ///< Must outlive this object.
    ConfigurationParser configurationReader; ///< Decodes configuration documents.
    GatewaySettings settings;
    ConfigurationPtr configuration; ///< Configuration in force; null before the first one. Its version never decreases.
    LoadBalancer loadBalancer; ///< Selects endpoints.
    PoolDispatcher dispatcher; ///< Places requests in pools of endpoints.
    EndpointConnector connector; ///< Connections to endpoints.
    ResponseMemory responseMemory; ///< Limits the memory of the responses that are held.
    HistoryClient history; ///< Stored turns and token budgets.
    StreamOriginTable streamOrigins; ///< Streams that began at this gateway; history members hold those of all.
    RateLimiter rateLimiter; ///< Enforces the customers' rates.
    EndpointLimits endpointLimits; ///< Limits that endpoints name.
    RateLimiter endpointLimiter; ///< Counts the requests to endpoints with limits, by endpoint id.
    bool leaderLimitsEndpoints = true; ///< The leader counts the requests to endpoints, as far as is known.
    std::vector<std::string> gatewayNames; ///< Live gateways including this one; empty if not known yet.
    kj::Maybe<kj::ForkedPromise<void>> pendingCreditRequest; ///< Credit request to the leader that is in flight.
    RequestWaits waits; ///< What requests wait for.
    Instant creditRetryAt{0}; ///< After a failed credit request, the leader is considered unreachable until then.
    RequestQuarantine quarantine; ///< Requests that crash endpoints.
    std::set<std::string> reportedEvacuations; ///< Evacuated data centres that were last logged.
    std::set<const Call *> activeCalls; ///< Calls that are being handled.
    bool draining = false; ///< See `drain`.
    bool accepting = true; ///< See `stopAccepting`.
    Instant drainStartedAt{0}; ///< When `drain` was called.
    Instant drainAnswerBy{0}; ///< By then requests that arrive while draining must have been answered.
    Instant lastDrainArrival{0}; ///< When the last request arrived while draining; 0 for none.
    unsigned drainArrivals = 0; ///< Number of requests that arrived while draining.
    ConfigurationFreshness freshness; ///< For how long the configuration in force has been outdated; boot clock.
    kj::Maybe<kj::ForkedPromise<void>> reading; ///< See `whenConfigurationRead`.
    WorkerThread worker; ///< Reads configurations.
};

} // namespace Chestnuthook
