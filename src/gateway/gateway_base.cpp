/** @file gateway_base.cpp  Admission of client requests: configuration, API key, token budget and history. */
#include "gateway/gateway_base.h"

#include <algorithm>
#include <utility>

#include "core/boot_clock_func.h"
#include "core/hash_func.h"
#include "gateway/gateway_call_internal.h"
#include "history/record_id_func.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

/** A gateway that has just started waits this long for a configuration before it rejects a request. */
constexpr Duration ConfigurationWait = std::chrono::milliseconds(700);
/** The responses that are held may take this part of the memory of the process together. */
constexpr std::size_t ResponseMemoryDivisor = 4;
constexpr double QuarantineRetryAfterSeconds = 10; ///< Used for quarantined requests, which crash endpoints.
constexpr auto PollInterval = 20 * kj::MILLISECONDS;
/** A resumed stream is rejected if no history member knows where it began within this time. */
constexpr Duration OriginSearchTimeout = std::chrono::milliseconds(150);
/** A resumed stream of unknown origin is rejected if the leader doesn't name the versions of its service within this
 * time. */
constexpr Duration VersionsTimeout = std::chrono::milliseconds(250);
/** A turn is rejected if the history members don't reply within this time. */
constexpr Duration HistoryTimeout = std::chrono::milliseconds(1600);
/** Token claims are stored this much longer than the turns of their route. */
constexpr std::uint64_t ClaimExtraRetentionMs = 60000;

std::string formatSeconds(double seconds)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", seconds);
    return text.data();
}

/** Selects a target of @p route by weight, always the same one for the same request. */
const std::string &selectService(const RouteConfig &route, const std::string &requestId)
{
    std::uint64_t totalWeight = 0;
    for (const RouteTarget &target : route.targets) {
        totalWeight += target.weight;
    }
    std::uint64_t weightOffset = hash64(requestId) % totalWeight;
    auto target = route.targets.begin();
    while (weightOffset >= target->weight) {
        weightOffset -= target->weight;
        ++target;
    }
    return target->service;
}

bool hasTarget(const RouteConfig &route, const std::string &service)
{
    return std::any_of(route.targets.begin(), route.targets.end(), [&service](const RouteTarget &target) {
        return target.weight != 0 && target.service == service;
    });
}

} // namespace

TokenSettlement::TokenSettlement(HistoryClient &history, ProgramClaim claim)
    : history(history)
    , claim(std::move(claim))
{
}

ProgramClaim TokenSettlement::settle()
{
    ProgramClaim settled = std::exchange(this->claim, {});
    settled.claim.tokens = this->deliveredTokens;
    settled.claim.settled = true;
    return settled;
}

TokenSettlement::~TokenSettlement()
{
    if (!this->claim.program.empty()) {
        this->history.writeInBackground({this->settle()});
    }
}

Gateway::Gateway(ControlLoop &loop, DeploymentWatcher &watcher, const HeaderCodec &headerCodec,
    ConfigurationParser readConfiguration, GatewaySettings settings)
    : loop(loop)
    , watcher(watcher)
    , headerCodec(headerCodec)
    , configurationReader(std::move(readConfiguration))
    , settings(std::move(settings))
    , loadBalancer(this->settings.drainPeriod, hash64(this->settings.name))
    , dispatcher(loop, this->settings.name,
          [this](const std::string &endpoint) {
              // Cold endpoints get few requests, which each gateway sends by itself.
              return this->loadBalancer.isUsable(endpoint)
                  && this->loadBalancer.findCold(this->now(), endpoint) == nullptr;
          })
    , connector(loop, {this->settings.name, this->settings.dataCentre, this->settings.endpointSource})
    , responseMemory(this->settings.memoryLimitBytes / ResponseMemoryDivisor)
    , history(loop, watcher, this->settings.dataCentre)
    , rateLimiter(this->settings.name, this->settings.rateTolerance, bootClockNow())
    , endpointLimiter(this->settings.name, endpointLimitTolerance(), bootClockNow())
    , waits(loop.timers())
{
    this->watcher.onNewestTold = [this](Instant askedAt, std::uint64_t version) {
        this->freshness.recordNewest(askedAt, version);
    };
    this->connector.onLinksChanged = [this, wasCutOff = false]() mutable {
        if (std::exchange(wasCutOff, this->isCutOff()) != this->isCutOff()) {
            this->watcher.reportNow();
        }
    };
}

void Gateway::applyUpdate(std::uint32_t parts)
{
    const DeploymentView &view = this->watcher.view;
    if (hasPart(parts, UpdatePart::Configuration)) {
        this->startReading();
    }
    if (hasPart(parts, UpdatePart::Endpoints)) {
        this->loadBalancer.setEndpoints(this->now(), view.endpoints);
        this->connector.setEndpoints(view.endpoints);
        this->reportEvacuated(view.endpoints);
        this->dispatcher.setEndpoints(view.endpoints);
        for (const std::string &endpoint : this->endpointLimits.setListed(this->now(), view.endpoints)) {
            this->applyLimit(endpoint, "list");
        }
        this->retainEndpointAccounts();
    }
    if (hasPart(parts, UpdatePart::Quarantine)) {
        this->quarantine.setKnown(view.quarantine, view.suspects);
    }
    if (hasPart(parts, UpdatePart::Instances)) {
        this->gatewayNames.clear();
        for (const InstanceInfo &instance : view.instances) {
            if (instance.role == Wire::InstanceRole::GATEWAY) {
                this->gatewayNames.push_back(instance.name);
            }
        }
        this->connector.setInstances(view.instances);
        this->dispatcher.setInstances(view.instances);
    }
}

HttpLimits Gateway::limits() const
{
    HttpLimits limits;
    if (this->configuration != nullptr) {
        const ClientLimits &configured = this->configuration->limits;
        limits.maxHeaderBytes = configured.maxHeaderBytes;
        limits.maxBodyBytes = configured.maxBodyBytes;
        limits.headerTimeout = configured.headerTimeout;
        limits.idleTimeout = configured.idleTimeout;
    }
    return limits;
}

ShutdownSchedule Gateway::shutdownSchedule(Duration grace) const
{
    Duration longestRequest(0);
    if (this->configuration != nullptr) {
        for (const RouteConfig &route : this->configuration->routes) {
            longestRequest = std::max<Duration>(longestRequest, route.timeout);
        }
    }
    return Chestnuthook::shutdownSchedule(grace, longestRequest);
}

void Gateway::drain(Duration grace)
{
    this->draining = true;
    this->connector.relay.stopAccepting();
    this->drainStartedAt = this->now();
    this->drainAnswerBy = this->drainStartedAt + this->shutdownSchedule(grace).answerBy;
}

std::string Gateway::sinceDrainMs(Instant time) const
{
    return this->draining ? std::to_string((time - this->drainStartedAt).count() / 1000) : "none";
}

void Gateway::logAborted(const Call &call, std::string_view reason) const
{
    logEvent(EventKind::CallAborted,
        {{"request", call.metadata.requestId}, {"reason", std::string(reason)},
            {"started", call.exchange.hasStarted() ? "yes" : "no"},
            {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)},
            {"arrived_ms", this->sinceDrainMs(call.exchange.received)},
            {"deadline_ms", this->sinceDrainMs(call.deadline)}, {"events", std::to_string(call.deliveredEvents)}});
}

void Gateway::logShutdown() const
{
    for (const Call *call : this->activeCalls) {
        this->logAborted(*call, "the process ends");
    }
    logEvent(EventKind::DrainFinished,
        {{"left", std::to_string(this->activeCalls.size())}, {"arrivals", std::to_string(this->drainArrivals)},
            {"last_arrival_ms", this->drainArrivals == 0 ? "none" : this->sinceDrainMs(this->lastDrainArrival)},
            {"ms", this->sinceDrainMs(this->now())}});
}

void Gateway::handleRequest(kj::WaitScope &scope, HttpExchange &exchange)
{
    Call call(exchange, this->responseMemory);
    this->activeCalls.insert(&call);
    KJ_DEFER({
        this->activeCalls.erase(&call);
        if (!exchange.isComplete()) {
            this->logAborted(call, call.abortReason);
        }
    });
    if (this->draining) {
        ++this->drainArrivals;
        this->lastDrainArrival = exchange.received;
    }
    while (this->configuration == nullptr && this->now() - exchange.received < ConfigurationWait) {
        this->loop.kjTimer().afterDelay(PollInterval).wait(scope);
    }
    call.configuration = this->configuration;
    exchange.closeAfterResponse = exchange.closeAfterResponse || this->draining;
    if (this->admit(scope, call) && this->restoreBeginning(scope, call) && this->selectOrigin(scope, call)
        && this->beginTurn(scope, call) && this->applyRateLimit(scope, call)) {
        this->runAtEndpoints(scope, call);
    }
}

void Gateway::reject(
    kj::WaitScope &scope, Call &call, unsigned status, std::string_view reason, double retryAfterSeconds)
{
    logEvent(EventKind::CallRefused,
        {{"request", call.metadata.requestId}, {"status", std::to_string(status)}, {"reason", std::string(reason)},
            {"route", call.route == nullptr ? "" : call.route->name},
            {"customer", call.customer == nullptr ? "" : call.customer->name}, {"program", call.metadata.program},
            {"configuration", std::to_string(call.configuration == nullptr ? 0 : call.configuration->version)},
            {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)},
            {"waited", waitText(call.waits)}});
    HttpFields fields;
    if (retryAfterSeconds > 0) {
        fields.add("Retry-After", formatSeconds(retryAfterSeconds));
    }
    call.exchange.respond(scope, status, std::move(fields));
}

bool Gateway::admit(kj::WaitScope &scope, Call &call)
{
    if (call.configuration == nullptr) {
        this->reject(scope, call, HttpStatus::Unavailable, "no configuration is known yet", ShortRetryAfterSeconds);
        return false;
    }
    Result<RequestMetadata> metadata = this->headerCodec.readRequestMetadata(call.exchange.head);
    if (!metadata) {
        this->reject(scope, call, HttpStatus::BadRequest, metadata.error().what, 0);
        return false;
    }
    call.metadata = std::move(*metadata);
    if (!this->accepting) {
        this->reject(scope, call, HttpStatus::Unavailable, "the gateway is stopping", ShortRetryAfterSeconds);
        return false;
    }
    if (this->isConfigurationOutdated()) {
        this->reject(scope, call, HttpStatus::Unavailable, "a newer configuration has not arrived in time",
            ShortRetryAfterSeconds);
        return false;
    }
    const std::string *host = call.exchange.head.fields.find("Host");
    call.route = host == nullptr ? nullptr : call.configuration->findRoute(*host, call.exchange.head.path());
    if (call.route == nullptr) {
        this->rejectDisallowed(scope, call, HttpStatus::NotFound, "no route");
        return false;
    }
    if (!call.configuration->customers.empty()) {
        call.customer = call.configuration->findCustomer(call.metadata.key);
        if (call.customer == nullptr && !call.route->isPublic) {
            this->rejectDisallowed(scope, call, HttpStatus::Unauthorized, "unknown key");
            return false;
        }
    }
    if (call.exchange.bodyDropped) {
        this->reject(
            scope, call, HttpStatus::Unavailable, "the configuration changed meanwhile", ShortRetryAfterSeconds);
        return false;
    }
    call.deadline =
        call.exchange.received + std::min(call.metadata.timeLeft.value_or(call.route->timeout), call.route->timeout);
    if (this->draining && call.deadline > this->drainAnswerBy) {
        if (!call.route->isRepeatable()) {
            this->reject(scope, call, HttpStatus::Unavailable, "the gateway stops before the request's deadline",
                ShortRetryAfterSeconds);
            return false;
        }
        call.deadline = this->drainAnswerBy;
    }
    const std::string customer = call.customer == nullptr ? std::string() : call.customer->name;
    logEvent(EventKind::CallAccepted,
        {{"request", call.metadata.requestId}, {"route", call.route->name}, {"customer", customer},
            {"program", call.metadata.program}, {"session", call.metadata.session},
            {"previous", call.metadata.previousTurn}, {"prompt_tokens", std::to_string(call.metadata.promptTokens)},
            {"output_tokens", std::to_string(call.metadata.outputTokens)},
            {"prompt_parts", std::to_string(call.metadata.promptParts)},
            {"program_ms", std::to_string(call.metadata.programTimeLeft.value_or(Milliseconds(0)).count())},
            {"configuration", std::to_string(call.configuration->version)}});
    const std::string previous = call.route->retainsTurns ? call.metadata.previousTurn : std::string();
    call.fingerprints = requestFingerprints(
        customer, call.exchange.head.method, call.exchange.head.target, call.exchange.body, previous);
    if (this->quarantine.isQuarantined(call.fingerprints)) {
        this->quarantine.recordRefused(call.fingerprints, this->now());
        this->reject(
            scope, call, HttpStatus::Unavailable, "the request crashes endpoints", QuarantineRetryAfterSeconds);
        return false;
    }
    return true;
}

bool Gateway::selectOrigin(kj::WaitScope &scope, Call &call)
{
    call.service = selectService(*call.route, call.metadata.requestId);
    const bool isResumption = !call.metadata.lastEventId.empty() || !call.metadata.resumedRequest.empty();
    if (call.route->kind != RouteKind::Stream || !isResumption) {
        return true;
    }
    std::optional<StreamOrigin> origin;
    if (!call.metadata.resumedRequest.empty()) {
        const StreamKey stream = call.streamKey(call.metadata.resumedRequest);
        origin = this->streamOrigins.find(this->now(), stream);
        if (!origin) {
            const Instant until = std::min(call.deadline, this->now() + OriginSearchTimeout);
            origin = this->history.findStreamOrigin(scope, stream, until);
        }
    }
    if (!origin) { // The client doesn't say which stream it resumes, or those who knew its origin were restarted.
        origin = this->findOnlyOrigin(scope, *call.route);
    }
    if (!origin || !hasTarget(*call.route, origin->service)) {
        this->reject(scope, call, HttpStatus::Unavailable,
            origin ? "the service that began the stream left the route"
                   : "the version that began the stream is unknown",
            ShortRetryAfterSeconds);
        return false;
    }
    call.service = origin->service;
    call.version = origin->version;
    return true;
}

std::optional<StreamOrigin> Gateway::findOnlyOrigin(kj::WaitScope &scope, const RouteConfig &route)
{
    const auto isInUse = [](const RouteTarget &target) {
        return target.weight != 0;
    };
    if (std::ranges::count_if(route.targets, isInUse) != 1) {
        return std::nullopt;
    }
    const std::string service = std::ranges::find_if(route.targets, isInUse)->service;
    if (this->loadBalancer.commonVersion(this->now(), service).empty()) {
        return std::nullopt; // This gateway knows of several versions itself.
    }
    // Others may have begun streams at versions that this gateway has not seen listed.
    auto asked = kj::evalNow([&]() {
        return this->watcher.requestServiceVersions(service);
    });
    const std::set<std::string> versions =
        this->loop.kjTimer()
            .timeoutAfter(kjDuration(VersionsTimeout), kj::mv(asked))
            .catch_([](kj::Exception &&exception) {
                logEvent(EventKind::FreshnessLost,
                    {{"what", "versions of a service"}, {"error", exception.getDescription().cStr()}});
                return std::set<std::string>();
            })
            .wait(scope);
    const bool isOnlyVersion = versions.size() == 1 && !versions.begin()->empty();
    return isOnlyVersion ? std::optional(StreamOrigin{service, *versions.begin()}) : std::nullopt;
}

bool Gateway::beginTurn(kj::WaitScope &scope, Call &call)
{
    const RouteConfig &route = *call.route;
    const bool isProgramTurn = route.kind == RouteKind::Stream && !call.metadata.program.empty();
    if (!isProgramTurn && !route.retainsTurns) {
        return true;
    }
    TurnStart start;
    start.isKept = route.retainsTurns;
    start.customer = call.customer == nullptr ? std::string() : call.customer->name;
    start.previous = route.retainsTurns ? call.metadata.previousTurn : std::string();
    const auto now = static_cast<std::uint64_t>(wallMsNow());
    call.retentionMs = static_cast<std::uint64_t>(route.retention.count() * 1000);
    if (call.metadata.programTokens && isProgramTurn) {
        start.budget = *call.metadata.programTokens;
        start.claim.program = programKey(start.customer, call.metadata.program);
        start.claim.claim = TokenClaim{call.metadata.requestId, call.metadata.outputTokens, false};
        start.claim.keepMs = call.retentionMs + ClaimExtraRetentionMs;
        start.claim.expiresMs = now + start.claim.keepMs;
        claimResumedTokens(call, start);
    }
    if (!start.isKept && start.claim.program.empty()) {
        return true;
    }
    call.settlement = std::make_unique<TokenSettlement>(this->history, start.claim);
    auto begun = [&]() {
        const RequestWaits::Scope wait(this->waits, call.waits, WaitCause::History);
        return this->history.begin(scope, start, std::min(call.deadline, this->now() + HistoryTimeout));
    }();
    if (!begun) {
        const unsigned status = static_cast<unsigned>(errorRow(begun.error().kind).httpStatus);
        this->reject(scope, call, status, errorText(begun.error()),
            begun.error().kind == ErrorKind::NotReady ? ShortRetryAfterSeconds : 0);
        return false;
    }
    this->settleResumed(start);
    call.isNewProgram = begun->isFirstTurn && start.previous.empty();
    for (const auto &turn : begun->chain) {
        call.historyPrefix += turn->input;
        call.historyPrefix += turn->output;
    }
    call.chain = std::move(begun->chain);
    return true;
}

} // namespace Chestnuthook
