/** @file gateway_run.cpp  Forwards a client request to endpoints, with retries, and relays the response. */
#include <algorithm>
#include <limits>
#include <utility>

#include "core/hash_func.h"
#include "gateway/gateway_base.h"
#include "gateway/gateway_call_internal.h"
#include "gateway/request_affinity_func.h"
#include "gateway/request_priority_func.h"
#include "gateway/response_owner_func.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

/** Maximum number of endpoints that are tried before a request is rejected. */
constexpr unsigned MaxEndpointTries = 4;
constexpr double BusyRetryAfterSeconds = 0.25; ///< Used if all endpoints refused the request.
/** Used if all endpoints of the service are evacuated, which takes an operator to change. */
constexpr double EvacuatedRetryAfterSeconds = 1;
/** A request of a program that has begun waits this long for room within the limits of endpoints. */
constexpr Duration MaxLimitWait = std::chrono::milliseconds(500);
/** Endpoints with limits for which credit is requested before a request goes to one without a limit or waits. */
constexpr unsigned MaxLimitsAsked = 3;
constexpr auto LimitPollInterval = 20 * kj::MILLISECONDS;
/** An endpoint that doesn't accept a connection within this time is considered down or unreachable. */
constexpr Duration ConnectTimeout = std::chrono::milliseconds(150);
/** A turn is written to the history until this long after the deadline of its request; a stop of the gateway allows for
 * it. */
constexpr Duration HistoryWriteMargin = std::chrono::milliseconds(200);
/** Maximum size of an event and of the comments before it. Endpoints send events of up to some KB; a larger one is a
 * fault of the endpoint. */
constexpr std::size_t MaxEventBytes = 256U << 10U;
/** A stream whose events hold more than this multiple of the tokens of its turn, and more than MinMaxEvents, has no
 * end: its endpoint is faulty. */
constexpr std::uint64_t MaxTokenRatio = 2;
constexpr std::uint64_t MinMaxEvents = 8;
/** Requests with less time left are not sent to an endpoint. */
constexpr Duration MinUsefulTime = std::chrono::milliseconds(5);

/** Maximum size of the responses to other requests that are skipped before the response to a request. */
constexpr std::uint64_t MaxSkippedBytes = 256U << 10U;
/** Maximum size of the body of a rejection, and maximum time for it to arrive. Beyond them the connection is closed: a
 * new one is cheaper than the delay of the retry. */
constexpr std::uint64_t MaxRejectionBytes = 64U << 10U;
constexpr Duration MaxRejectionTime = std::chrono::milliseconds(50);

constexpr std::size_t ProbeStackBytes = 128U << 10U; ///< Stack size of a fiber that only opens a connection.
/** Timeout of an attempt that can be retried at another endpoint, as a multiple of the route's target latency. */
constexpr int AttemptTimeoutTargetLatencies = 3;
constexpr Duration MinAttemptTimeout = std::chrono::milliseconds(200);

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/** Reads and discards the rest of a body. @return BodyTooLarge if that takes more than @p maxBytes of the input. */
HttpReadResult discardBody(
    kj::WaitScope &scope, const HttpInputStream &input, HttpResponseReader &reader, std::uint64_t maxBytes)
{
    const std::uint64_t start = input.consumedBytes();
    std::string skipped;
    HttpReadResult read = HttpReadResult::Done;
    do {
        read = reader.readPart(scope, skipped);
        if (read == HttpReadResult::Done && input.consumedBytes() - start > maxBytes) {
            read = HttpReadResult::BodyTooLarge;
        }
    } while (read == HttpReadResult::Done && !skipped.empty());
    return read;
}

Milliseconds toMs(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

} // namespace

std::optional<Milliseconds> Gateway::programTimeLeft(const Call &call) const
{
    if (!call.metadata.programTimeLeft) {
        return std::nullopt;
    }
    return *call.metadata.programTimeLeft - toMs(this->now() - call.exchange.received);
}

unsigned Gateway::priorityOf(const Call &call) const
{
    const bool hasOwnPriority = call.customer != nullptr && call.customer->priority >= 0;
    const int priority = hasOwnPriority ? call.customer->priority : call.route->priority;
    return requestPriority({priority, call.route->kind == RouteKind::Stream, this->programTimeLeft(call)});
}

std::string Gateway::serializeRequest(const Call &call, const DeployedEndpoint &endpoint) const
{
    ForwardingMetadata metadata;
    metadata.timeLeft = toMs(call.deadline - this->now());
    metadata.endpointId = endpoint.id;
    metadata.customer = call.customer == nullptr ? std::string() : call.customer->name;
    metadata.lastEventId = call.resumedAfter();
    metadata.priority = this->priorityOf(call);
    metadata.bodyBytes = call.historyPrefix.size() + call.exchange.body.size();
    metadata.hasBody = metadata.bodyBytes != 0 || call.exchange.head.fields.find("Content-Length") != nullptr;
    return formatHead(this->headerCodec.endpointRequestHead(call.exchange.head, metadata)) + call.historyPrefix
        + call.exchange.body;
}

Gateway::EndpointChoice Gateway::chooseEndpoint(
    kj::WaitScope &scope, Call &call, const SelectionCriteria &criteria, const std::set<std::string> &tried)
{
    const RequestWaits::Scope wait(this->waits, call.waits, WaitCause::Endpoint);
    const bool mayWait = !call.isNewProgram; // The work of a program that has begun would be lost.
    const Instant waitEnd = std::min(this->now() + MaxLimitWait, call.deadline - MinUsefulTime);
    std::set<std::string> excluded = tried;
    unsigned limitsAsked = 0;
    if (this->dispatcher.isPooled(criteria.service)) {
        if (auto placed = this->choosePooled(scope, call, criteria, tried)) {
            return std::move(*placed);
        }
        metrics().add(MetricKind::PoolFallbacks);
    }
    while (true) {
        const DeployedEndpoint *chosen = this->loadBalancer.choose(this->now(), criteria, excluded);
        if (chosen == nullptr) {
            const bool isAtLimit =
                excluded.size() > tried.size() || this->loadBalancer.hasAtLimit(this->now(), criteria, tried);
            if (!isAtLimit || !mayWait || this->now() >= waitEnd) {
                return {std::nullopt, isAtLimit};
            }
            excluded = tried;
            limitsAsked = 0;
            this->loop.kjTimer().afterDelay(LimitPollInterval).wait(scope);
            continue;
        }
        const DeployedEndpoint endpoint = *chosen;
        const bool isLimited = this->isLimited(endpoint.id);
        if (isLimited && limitsAsked == MaxLimitsAsked) {
            excluded.insert(endpoint.id);
            continue;
        }
        limitsAsked += isLimited ? 1 : 0;
        if (this->takeEndpointCredit(scope, endpoint)) {
            return {endpoint, false};
        }
    }
}

Gateway::EndpointChoice Gateway::chooseForSuspect(
    kj::WaitScope &scope, Call &call, const SelectionCriteria &criteria, const std::set<std::string> &tried)
{
    const auto &withSuspects = this->quarantine.endpointsWithSuspects();
    std::set<std::string> excluded = tried;
    excluded.insert(withSuspects.begin(), withSuspects.end());
    if (excluded.size() > tried.size()) {
        EndpointChoice choice = this->chooseEndpoint(scope, call, criteria, excluded);
        if (choice.endpoint) {
            return choice;
        }
    }
    return this->chooseEndpoint(scope, call, criteria, tried);
}

void Gateway::runAtEndpoints(kj::WaitScope &scope, Call &call)
{
    const RouteConfig &route = *call.route;
    SelectionCriteria criteria;
    criteria.service = call.service;
    const ServiceConfig &service = call.configuration->services.at(criteria.service);
    if (service.engine) {
        call.tokensPerEvent = service.engine->tokensPerEvent;
    }
    criteria.affinity = requestAffinity(route, service, call.metadata);
    criteria.dataCentre = this->settings.dataCentre;
    criteria.tieBreaker = hash64(call.metadata.requestId);
    std::set<std::string> tried;
    unsigned endpointTries = 0;
    AttemptResult lastResult = AttemptResult::NotExecuted;
    bool isAtLimit = false; // No endpoint has room within the limit that it names.
    while (call.deadline - this->now() > MinUsefulTime && endpointTries < MaxEndpointTries) {
        criteria.version = call.version;
        const bool isSuspect = this->quarantine.isSuspect(call.fingerprints);
        EndpointChoice choice = isSuspect ? this->chooseForSuspect(scope, call, criteria, tried)
                                          : this->chooseEndpoint(scope, call, criteria, tried);
        isAtLimit = choice.isAtLimit;
        if (choice.refusedFor && (call.mayHaveRun || call.exchange.hasStarted())) {
            break; // A refusal would say that the request has not run.
        }
        if (choice.refusedFor) {
            const double seconds = std::chrono::duration<double>(*choice.refusedFor).count();
            this->reject(scope, call, HttpStatus::Unavailable, "its pool can't serve the request in time",
                std::max(seconds, BusyRetryAfterSeconds));
            return;
        }
        if (!choice.endpoint) {
            break;
        }
        const DeployedEndpoint &endpoint = *choice.endpoint;
        ++endpointTries;
        if (isSuspect) {
            this->quarantine.beginSuspect(endpoint.id);
        }
        KJ_DEFER(if (isSuspect) { this->quarantine.endSuspect(endpoint.id); });
        lastResult = this->attempt(scope, call, endpoint);
        if (choice.grant != nullptr) {
            this->releaseGrant(call, *choice.grant, lastResult);
        }
        if (lastResult == AttemptResult::Delivered) {
            return;
        }
        tried.insert(endpoint.id);
        if (lastResult == AttemptResult::NotExecuted) {
            continue;
        }
        call.executedAttempts += call.isLinkLost ? 0 : 1;
        call.mayHaveRun = true;
        const bool isOutputLost = call.exchange.hasStarted() && call.held.isGivenUp();
        if (!route.isRepeatable() || isOutputLost || call.executedAttempts >= route.maxAttempts) {
            break;
        }
    }
    if (call.exchange.hasStarted()) {
        call.abortReason = "stream cut";
        return; // The connection is closed, which shows the client that the response is incomplete.
    }
    if (!call.mayHaveRun) {
        const bool late = call.deadline - this->now() <= MinUsefulTime;
        const bool isEvacuated = this->loadBalancer.areAllEvacuated(criteria);
        const std::string_view reason = isEvacuated ? "all endpoints are evacuated"
            : isAtLimit                             ? "all endpoints are at their limits"
            : call.version                          ? "no endpoint of the stream's version has room"
                                                    : "no endpoint has room";
        const double retryAfter = isEvacuated ? EvacuatedRetryAfterSeconds : late ? 0 : BusyRetryAfterSeconds;
        this->reject(scope, call, HttpStatus::Unavailable, late ? "no time is left" : reason, retryAfter);
        return;
    }
    const bool late = lastResult == AttemptResult::TimedOut;
    this->reject(scope, call, late ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway,
        late ? "the endpoint didn't answer in time" : "the endpoint failed", 0);
}

Gateway::AttemptResult Gateway::attempt(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint)
{
    const Duration connectTimeout = std::min(ConnectTimeout, call.deadline - this->now());
    OpenedConnection opened;
    std::optional<RequestWaits::Scope> wait(std::in_place, this->waits, call.waits, WaitCause::Connection);
    if (call.metadata.requestId.empty()) { // On a used connection its response could not be told from earlier ones.
        ConnectResult result = this->connector.open(scope, endpoint, connectTimeout);
        opened = {std::move(result.connection), result.failure, false};
    } else {
        opened = this->connector.connect(scope, endpoint, connectTimeout);
    }
    wait.reset();
    auto connection = std::move(opened.connection);
    if (connection == nullptr) {
        this->loadBalancer.recordFailure(this->now(), endpoint.id);
        logEvent(EventKind::AttemptFailed,
            {{"request", call.metadata.requestId}, {"endpoint", endpoint.id}, {"reason", "no connection"},
                {"cause", std::string(nameOf(opened.failure))}});
        return AttemptResult::NotExecuted;
    }
    // Evacuated since it was chosen: credit and the connection take time. No further request goes there.
    if (this->loadBalancer.isEvacuated(endpoint.id)) {
        logEvent(EventKind::AttemptFailed,
            {{"request", call.metadata.requestId}, {"endpoint", endpoint.id}, {"reason", "evacuated"}});
        return AttemptResult::NotExecuted;
    }
    logEvent(EventKind::CallDispatched,
        {{"request", call.metadata.requestId}, {"endpoint", endpoint.id}, {"version", endpoint.version},
            {"kept", opened.isKept ? "yes" : "no"}, {"relay", connection->relay},
            {"credit", call.isAdmittedIsolated ? "isolated" : "leader"},
            {"load", this->loadBalancer.describeLoad(this->now(), endpoint.id)},
            {"leaving", this->loadBalancer.describeLeaving(this->now(), endpoint.service)},
            {"waited", waitText(call.waits)},
            {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)}});
    if (!call.metadata.lastEventId.empty() || call.exchange.hasStarted()) {
        logEvent(EventKind::StreamResumed,
            {{"request", call.metadata.requestId}, {"resumes", call.metadata.resumedRequest},
                {"by", call.exchange.hasStarted() ? "gateway" : "client"}, {"after", call.resumedAfter()},
                {"endpoint", endpoint.id}, {"version", endpoint.version}});
    }
    this->loadBalancer.recordRequestStart(endpoint.id);
    call.attemptedAt = this->now();
    KJ_DEFER(this->loadBalancer.recordRequestEnd(endpoint.id));
    call.beginAttempt();
    const AttemptResult result = [&]() {
        this->connector.beginRequest(endpoint.address, *connection, call.route->isRepeatable());
        KJ_DEFER(this->connector.endRequest(endpoint.address, *connection));
        return this->sendAndReceive(scope, call, endpoint, *connection);
    }();
    call.releaseContent();
    call.isLinkLost = connection->isInterrupted;
    if (result == AttemptResult::Delivered || result == AttemptResult::NotExecuted) {
        const Duration idleTimeout = connection->idleTimeout;
        if (idleTimeout.count() > 0) {
            this->connector.keep(endpoint, std::move(connection), idleTimeout);
        }
        return result;
    }
    // What happens on the way is no fault of the endpoint.
    const bool isEndpointFault = connection->relay.empty() && !call.isLinkLost;
    if (isEndpointFault && result == AttemptResult::TimedOut && call.deliveredEvents == 0) {
        this->loadBalancer.recordError(this->now(), endpoint.id);
    }
    if (isEndpointFault && result == AttemptResult::Failed) {
        this->loadBalancer.recordFailure(this->now(), endpoint.id);
        if (call.failureReason.empty()) {
            this->recordStrikeIfDown(call, endpoint);
        }
    }
    const std::string_view failureReason = call.failureReason.empty() ? "broken" : call.failureReason;
    logEvent(EventKind::AttemptFailed,
        {{"request", call.metadata.requestId}, {"endpoint", endpoint.id},
            {"reason", std::string(result == AttemptResult::TimedOut ? "time-out" : failureReason)},
            {"kept", opened.isKept ? "yes" : "no"}, {"relay", connection->relay},
            {"events", std::to_string(call.deliveredEvents)}, {"framing", std::string(nameOf(call.framing))},
            {"unfinished_bytes", std::to_string(call.unfinishedBytes)}});
    return result;
}

void Gateway::recordLeaving(const Call &call, const DeployedEndpoint &endpoint)
{
    if (this->loadBalancer.recordLeaving(this->now(), endpoint.id)) {
        metrics().add(MetricKind::EndpointsLeaving);
        logEvent(EventKind::EndpointLeaving,
            {{"endpoint", endpoint.id}, {"address", endpoint.address}, {"cause", "response"},
                {"request", call.metadata.requestId},
                {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)}});
    }
}

void Gateway::recordReports(
    Call &call, const DeployedEndpoint &endpoint, const ResponseMetadata &metadata, unsigned status)
{
    if (metadata.load) {
        this->loadBalancer.recordLoad(this->now(), endpoint.id, *metadata.load);
        this->dispatcher.recordLoad(endpoint.service, *metadata.load);
        call.reportedLoad = metadata.load;
    }
    if (metadata.isSigned || (metadata.notExecuted && status != HttpStatus::Misdirected)) {
        this->recordLimit(endpoint.id, metadata.limitPerSecond);
        this->recordCold(endpoint.id, metadata.coldLeft);
    }
}

void Gateway::recordStrikeIfDown(const Call &call, const DeployedEndpoint &endpoint)
{
    if (!this->loadBalancer.isUsable(endpoint.id)) {
        return; // It was to leave, which ends it without a fault of any request.
    }
    const Instant at = this->now();
    const Duration underWay = at - call.attemptedAt;
    auto probe = [this, request = call.fingerprints, endpoint, at, underWay](kj::WaitScope &scope) {
        auto connection = this->connector.open(scope, endpoint, ConnectTimeout).connection;
        if (connection == nullptr) {
            if (this->connector.isDown(scope, endpoint)) {
                this->quarantine.recordStrike(request, endpoint.id, at, underWay);
            }
            return;
        }
        this->connector.keep(endpoint, std::move(connection), ConnectionPool::idleTimeoutFrom(HttpFields()));
    };
    this->loop.detach(kj::startFiber(ProbeStackBytes, kj::mv(probe)));
}

Gateway::AttemptResult Gateway::sendAndReceive(
    kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint, EndpointConnection &connection)
{
    const std::string bytes = this->serializeRequest(call, endpoint);
    kj::Timer &timer = this->loop.kjTimer();
    Duration timeout = call.deadline - this->now();
    if (call.route->kind == RouteKind::Safe && call.executedAttempts + 1 < call.route->maxAttempts) {
        const Duration attemptTimeout =
            std::max<Duration>(call.route->targetLatency * AttemptTimeoutTargetLatencies, MinAttemptTimeout);
        timeout = std::min(timeout, std::max(attemptTimeout, timeout / 2));
    }
    const kj::TimePoint attemptDeadline = timer.now() + kjDuration(timeout);
    if (!connection.send(scope, timer, bytes, attemptDeadline)) {
        return timer.now() >= attemptDeadline ? AttemptResult::TimedOut : AttemptResult::Failed;
    }
    const std::uint64_t start = connection.input.consumedBytes();
    while (true) {
        const std::uint64_t skipped = connection.input.consumedBytes() - start;
        if (skipped > MaxSkippedBytes) {
            call.noteFailure(HttpReadResult::BodyTooLarge);
            return AttemptResult::Failed;
        }
        HttpResponseReader reader(connection.input, call.exchange.head.method == "HEAD");
        ResponseHead head;
        const HttpReadResult read = reader.readHead(scope, head);
        if (read != HttpReadResult::Done) {
            call.noteFailure(read);
            return connection.input.hasTimedOut() ? AttemptResult::TimedOut : AttemptResult::Failed;
        }
        this->connector.recordReceived(endpoint.address, connection);
        const ResponseMetadata metadata = this->headerCodec.readResponseMetadata(head);
        if (metadata.isLeaving) {
            this->recordLeaving(call, endpoint);
        }
        const ResponseOwner owner =
            ownerOf(metadata, head.status, {call.metadata.requestId, connection.hasResponseWithoutId});
        connection.hasResponseWithoutId = connection.hasResponseWithoutId || metadata.requestId.empty();
        if (owner == ResponseOwner::Unknown) {
            call.failureReason = "response without a single request id";
            return AttemptResult::Failed;
        }
        if (owner == ResponseOwner::Earlier) {
            const HttpReadResult discarded = discardBody(scope, connection.input, reader, MaxSkippedBytes - skipped);
            if (discarded != HttpReadResult::Done || !head.keepAlive) {
                call.noteFailure(discarded);
                return connection.input.hasTimedOut() ? AttemptResult::TimedOut : AttemptResult::Failed;
            }
            continue;
        }
        this->recordReports(call, endpoint, metadata, head.status);
        if (isRejection(metadata, head.status)) {
            if (head.status == HttpStatus::Misdirected) {
                this->loadBalancer.recordFailure(this->now(), endpoint.id);
            } else {
                this->loadBalancer.recordOverload(this->now(), endpoint.id);
            }
            logEvent(EventKind::AttemptFailed,
                {{"request", call.metadata.requestId}, {"endpoint", endpoint.id}, {"reason", "not run"},
                    {"status", std::to_string(head.status)}});
            connection.input.setDeadline(timer, std::min(attemptDeadline, timer.now() + kjDuration(MaxRejectionTime)));
            const HttpReadResult discarded = discardBody(scope, connection.input, reader, MaxRejectionBytes);
            if (discarded == HttpReadResult::BodyTooLarge) {
                this->loadBalancer.recordFailure(this->now(), endpoint.id);
            } else if (discarded == HttpReadResult::Done && head.keepAlive) {
                connection.idleTimeout = ConnectionPool::idleTimeoutFrom(head.fields);
            }
            return AttemptResult::NotExecuted;
        }
        if (!metadata.isSigned || head.fields.find("Content-Encoding") != nullptr) {
            return AttemptResult::Failed;
        }
        if (promisesNotExecuted(head.status)) {
            call.failureReason = "refusal that doesn't say whether the request ran";
            return AttemptResult::Failed;
        }
        call.framing = head.framing;
        const bool isStream = call.route->kind == RouteKind::Stream && isSuccess(head.status);
        if (!isStream && call.exchange.hasStarted()) {
            return AttemptResult::Failed; // Part of a stream has been sent, so no other response can be sent instead.
        }
        const AttemptResult result = isStream ? this->relayStream(scope, call, endpoint, connection, reader, head)
                                              : this->relayResponse(scope, call, endpoint, reader, head);
        if (result == AttemptResult::Delivered) {
            if (head.status >= HttpStatus::FirstServerError) {
                this->loadBalancer.recordError(this->now(), endpoint.id);
            } else {
                this->loadBalancer.recordSuccess(this->now(), endpoint.id);
                this->quarantine.recordGoodEnd(call.fingerprints);
            }
            connection.idleTimeout = head.keepAlive ? ConnectionPool::idleTimeoutFrom(head.fields) : Duration(0);
        }
        return result == AttemptResult::Failed && connection.input.hasTimedOut() ? AttemptResult::TimedOut : result;
    }
}

bool Gateway::confirmEnd(
    kj::WaitScope &scope, const Call &call, const DeployedEndpoint &endpoint, const ResponseHead &head)
{
    if (head.framing != BodyFraming::Close) {
        return true;
    }
    metrics().add(MetricKind::ResponsesEndedByClose);
    auto connection =
        this->connector.open(scope, endpoint, std::min(ConnectTimeout, call.deadline - this->now())).connection;
    if (connection == nullptr) {
        return false;
    }
    this->connector.keep(endpoint, std::move(connection), ConnectionPool::idleTimeoutFrom(HttpFields()));
    return true;
}

Gateway::AttemptResult Gateway::relayResponse(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint,
    HttpResponseReader &reader, const ResponseHead &head)
{
    std::string part;
    do {
        HttpReadResult read = reader.readPart(scope, part);
        call.content += part;
        if (read == HttpReadResult::Done && !call.updateHeldBytes()) {
            read = HttpReadResult::BodyTooLarge;
        }
        if (read != HttpReadResult::Done) {
            call.noteFailure(read);
            return AttemptResult::Failed;
        }
    } while (!part.empty());
    if (!this->confirmEnd(scope, call, endpoint, head)) {
        return AttemptResult::Failed;
    }
    call.held.pin();
    call.exchange.respond(scope, this->headerCodec.clientResponseHead(head), call.content);
    logEvent(EventKind::CallEnded,
        {{"request", call.metadata.requestId}, {"status", std::to_string(head.status)},
            {"framing", std::string(nameOf(call.framing))}});
    return AttemptResult::Delivered;
}

void Gateway::beginStream(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint, const ResponseHead &head)
{
    logEvent(EventKind::CallFirstToken,
        {{"request", call.metadata.requestId},
            {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)}});
    const bool isResumed = call.version.has_value();
    call.version = endpoint.version;
    if (call.route->resumable && !isResumed && !endpoint.version.empty()) {
        const StreamKey stream = call.streamKey(call.metadata.requestId);
        const StreamOrigin origin{call.service, endpoint.version};
        const Duration ttl = resumptionTtl(*call.route);
        this->streamOrigins.add(this->now(), stream, origin, ttl);
        this->history.addStreamOrigin(stream, origin, ttl);
    }
    if (call.keepsResumableTurn() && call.recorder == nullptr && !endpoint.version.empty()) {
        this->recordBeginning(call, endpoint);
    }
    call.exchange.beginStream(scope, this->headerCodec.clientResponseHead(head));
}

Gateway::AttemptResult Gateway::relayStream(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint,
    EndpointConnection &connection, HttpResponseReader &reader, const ResponseHead &head)
{
    EventSplitter splitter;
    std::size_t bytesSinceData = 0; // Received since the last event with data.
    const bool hasTokenLimit = call.configuration->services.at(call.service).engine && call.metadata.outputTokens != 0;
    const std::uint64_t maxEvents = hasTokenLimit
        ? std::max(MaxTokenRatio * call.metadata.outputTokens / std::max(call.tokensPerEvent, 1U), MinMaxEvents)
        : std::numeric_limits<std::uint64_t>::max();
    while (true) {
        std::string part;
        const HttpReadResult read = reader.readPart(scope, part);
        if (read != HttpReadResult::Done) {
            call.noteFailure(read);
            return AttemptResult::Failed;
        }
        this->connector.recordReceived(endpoint.address, connection);
        std::vector<StreamEvent> events;
        std::string ready = part.empty() ? splitter.remainder() : splitter.append(part, events);
        call.unfinishedBytes = splitter.remainder().size();
        const auto newEvents = std::count_if(events.begin(), events.end(), [](const StreamEvent &event) {
            return event.hasData;
        });
        if (call.resumedEvents + call.deliveredEvents + static_cast<std::uint64_t>(newEvents) > maxEvents) {
            call.noteFailure(HttpReadResult::BodyTooLarge);
            return AttemptResult::Failed;
        }
        const std::size_t heldBytes = part.empty() ? 0 : splitter.remainder().size();
        bytesSinceData = newEvents == 0 ? bytesSinceData + part.size() : heldBytes;
        if (bytesSinceData > MaxEventBytes || !call.updateHeldBytes(heldBytes)) {
            call.noteFailure(HttpReadResult::BodyTooLarge);
            return AttemptResult::Failed;
        }
        if (part.empty()) {
            // Of a stream whose events before aren't known, only the client can tell whether some are missing.
            const bool mayHaveAll =
                !call.metadata.lastEventId.empty() && (call.resumedEvents == 0 || call.hasAllTokens());
            const bool lacksEvents = call.deliveredEvents == 0 && !mayHaveAll;
            // Whether an earlier attempt broke off just before the end of the stream can only be told by its tokens.
            const bool isEmptyRest =
                call.mayHaveRun && call.deliveredEvents == call.eventsBefore && !call.hasAllTokens();
            const bool isCut =
                splitter.isInsideEvent() || isEmptyRest || (head.framing == BodyFraming::Close && lacksEvents);
            if (isCut || !this->confirmEnd(scope, call, endpoint, head)) {
                return AttemptResult::Failed;
            }
        }
        if (!ready.empty() || part.empty()) {
            if (!call.exchange.hasStarted()) {
                this->beginStream(scope, call, endpoint, head);
            }
        }
        for (const StreamEvent &event : events) {
            if (event.hasData) {
                if (call.route->retainsTurns) {
                    call.output += event.data + "\n";
                }
                ++call.deliveredEvents;
                call.firstEventAt = call.firstEventAt.value_or(this->now());
                if (call.settlement != nullptr) {
                    call.settlement->addDeliveredTokens(call.tokensPerEvent);
                }
            }
            if (!event.id.empty()) {
                call.lastEventId = event.id;
            }
        }
        this->recordEvents(scope, call, events);
        if (!ready.empty()) {
            call.exchange.writeChunk(scope, ready);
        }
        if (part.empty()) {
            this->finishStream(scope, call);
            return AttemptResult::Delivered;
        }
    }
}

void Gateway::finishStream(kj::WaitScope &scope, Call &call)
{
    if (call.route->retainsTurns) {
        std::vector<HistoryRecord> records;
        KeptTurn turn;
        turn.id = call.metadata.requestId;
        turn.previous = call.metadata.previousTurn;
        turn.customer = call.customer == nullptr ? std::string() : call.customer->name;
        turn.input = call.exchange.body;
        turn.output = call.beginning + call.output;
        turn.keepMs = call.retentionMs + call.retentionMs / 2;
        turn.expiresMs = static_cast<std::uint64_t>(wallMsNow()) + turn.keepMs;
        records.emplace_back(std::move(turn));
        if (call.settlement != nullptr) {
            ProgramClaim settled = call.settlement->settle();
            if (!settled.program.empty()) {
                records.emplace_back(std::move(settled));
            }
        }
        const Result<void> kept = this->history.write(scope, records, call.chain, call.deadline + HistoryWriteMargin);
        if (!kept) {
            call.abortReason = "turn not kept: " + kept.error().what;
            return; // The end of the stream is not sent, so the client treats the response as incomplete.
        }
        if (call.keepsResumableTurn()) {
            logEvent(EventKind::TurnKept,
                {{"request", call.metadata.requestId}, {"previous", call.metadata.previousTurn},
                    {"resumes", call.metadata.resumedRequest}, {"after", call.metadata.lastEventId},
                    {"events_before", std::to_string(call.resumedEvents)},
                    {"events", std::to_string(call.deliveredEvents)},
                    {"bytes", std::to_string(call.beginning.size() + call.output.size())}});
        }
    }
    call.exchange.endStream(scope);
    logEvent(EventKind::CallEnded,
        {{"request", call.metadata.requestId}, {"events", std::to_string(call.deliveredEvents)},
            {"framing", std::string(nameOf(call.framing))},
            {"unfinished_bytes", std::to_string(call.unfinishedBytes)}});
}

} // namespace Chestnuthook
