/** @file gateway_base.cpp  Admission of a request: configuration, key, rate, budget and history. */
#include "gateway/gateway_base.h"

#include <algorithm>
#include <utility>

#include "core/hash_func.h"
#include "gateway/gateway_call_internal.h"
#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

/** A gateway that has just started waits this long for a configuration before it refuses a request. */
constexpr Duration ConfigurationWait = std::chrono::milliseconds(700);
constexpr double SoonSeconds = 0.2; ///< Retry-After where a gateway or member is expected back at once.
constexpr double QuarantineSeconds = 10; ///< Retry-After of a request that crashes endpoints.
/** An answer about credit is awaited this long before the gateway counts as out of touch with the leader. */
constexpr auto CreditWait = 80 * kj::MILLISECONDS;
/** After a question about credit was lost, the gateway goes on with its own share for this long. */
constexpr Duration CreditPause = std::chrono::milliseconds(100);
/** Requests of programs under way wait this long for the rate before they are refused; out of touch with the leader,
 * all do. */
constexpr Duration ShareWait = std::chrono::milliseconds(500);
/** A new program with less time left than this many target latencies of its route can hardly end in time. */
constexpr int LeastProgramTargets = 2;
constexpr auto LookDelay = 20 * kj::MILLISECONDS;
/** History members are asked for this long at most before a turn is refused. */
constexpr Duration HistoryWait = std::chrono::milliseconds(1600);
/** For a request that a caller sent just before its list of gateways ran out. */
constexpr Duration StopMargin = std::chrono::milliseconds(200);
/** Left of the grace before the kill when a stop ends with requests under way. */
constexpr Duration StopReserve = std::chrono::milliseconds(600);
/** Claims of tokens are kept this much longer than the turns of their route. */
constexpr std::uint64_t ClaimExtraMs = 60000;

std::string formatSeconds(double seconds)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%.2f", seconds);
    return text.data();
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
    settled.claim.tokens = this->handed;
    settled.claim.settled = true;
    return settled;
}

TokenSettlement::~TokenSettlement()
{
    if (!this->claim.program.empty()) {
        this->history.writeInBackground({this->settle()});
    }
}

Gateway::Gateway(ControlLoop &loop, DeploymentWatcher &watcher, const CallDialect &dialect,
    ConfigurationParser readConfiguration, GatewaySettings settings)
    : loop(loop)
    , watcher(watcher)
    , dialect(dialect)
    , readDocument(std::move(readConfiguration))
    , settings(std::move(settings))
    , links(loop)
    , history(loop, watcher, this->settings.dataCentre)
{
}

void Gateway::followUpdate(std::uint32_t parts)
{
    const DeploymentView &view = this->watcher.view;
    if (hasPart(parts, UpdatePart::Configuration)) {
        const Result<ConfigurationPtr> read = this->readDocument(view.document);
        if (!read) {
            logEvent(EventKind::ChildFailed, {{"child", "configuration"}, {"error", errorText(read.error())}});
        } else if (this->configuration == nullptr || (*read)->version > this->configuration->version) {
            this->configuration = *read;
            logEvent(EventKind::ConfigurationInForce,
                {{"version", std::to_string(this->configuration->version)},
                    {"routes", std::to_string(this->configuration->routes.size())}});
            this->watcher.reportNow();
        }
    }
    if (hasPart(parts, UpdatePart::Endpoints)) {
        this->board.setList(view.endpoints);
    }
    if (hasPart(parts, UpdatePart::Instances)) {
        this->gateways = static_cast<std::size_t>(
            std::count_if(view.instances.begin(), view.instances.end(), [](const InstanceInfo &one) {
                return one.role == Wire::InstanceRole::GATEWAY;
            }));
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

bool Gateway::isStopDone(Duration since, std::size_t underWay, Duration grace)
{
    const Duration callersCome = gatewayListTtl(grace) * MaxTtlOverrunFactor + StopMargin;
    return (since >= callersCome && underWay == 0) || since >= grace - StopReserve;
}

std::vector<EndpointStrike> Gateway::takeStrikes()
{
    return std::exchange(this->strikes, {});
}

void Gateway::answer(kj::WaitScope &scope, HttpExchange &exchange)
{
    Call call(exchange);
    while (this->configuration == nullptr && this->now() - exchange.received < ConfigurationWait) {
        this->loop.kjTimer().afterDelay(LookDelay).wait(scope);
    }
    call.configuration = this->configuration;
    exchange.closeAfter = exchange.closeAfter || this->draining;
    if (this->admit(scope, call) && this->beginTurn(scope, call) && this->admitRate(scope, call)) {
        this->run(scope, call);
    }
}

void Gateway::refuse(
    kj::WaitScope &scope, Call &call, unsigned status, std::string_view reason, double retryAfterSeconds)
{
    logEvent(EventKind::CallRefused,
        {{"request", call.facts.requestId}, {"status", std::to_string(status)}, {"reason", std::string(reason)},
            {"route", call.route == nullptr ? "" : call.route->name},
            {"customer", call.customer == nullptr ? "" : call.customer->name}, {"program", call.facts.program},
            {"configuration", std::to_string(call.configuration == nullptr ? 0 : call.configuration->version)},
            {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)}});
    HttpFields fields;
    if (retryAfterSeconds > 0) {
        fields.add("Retry-After", formatSeconds(retryAfterSeconds));
    }
    call.exchange.respond(scope, status, std::move(fields));
}

bool Gateway::admit(kj::WaitScope &scope, Call &call)
{
    if (call.configuration == nullptr) {
        this->refuse(scope, call, HttpStatus::Unavailable, "no configuration is known yet", SoonSeconds);
        return false;
    }
    Result<CallFacts> facts = this->dialect.readCall(call.exchange.head);
    if (!facts) {
        this->refuse(scope, call, HttpStatus::BadRequest, facts.error().what, 0);
        return false;
    }
    call.facts = std::move(*facts);
    const std::string *host = call.exchange.head.fields.find("Host");
    call.route = host == nullptr ? nullptr : call.configuration->findRoute(*host, call.exchange.head.path());
    if (call.route == nullptr) {
        this->refuse(scope, call, HttpStatus::NotFound, "no route", 0);
        return false;
    }
    if (!call.configuration->customers.empty()) {
        call.customer = call.configuration->findCustomer(call.facts.key);
        if (call.customer == nullptr && !call.route->isPublic) {
            this->refuse(scope, call, HttpStatus::Unauthorized, "unknown key", 0);
            return false;
        }
    }
    call.until =
        call.exchange.received + std::min(call.facts.timeLeft.value_or(call.route->timeout), call.route->timeout);
    const std::string customer = call.customer == nullptr ? std::string() : call.customer->name;
    logEvent(EventKind::CallAccepted,
        {{"request", call.facts.requestId}, {"route", call.route->name}, {"customer", customer},
            {"program", call.facts.program}, {"session", call.facts.session}, {"previous", call.facts.previousTurn},
            {"prompt_tokens", std::to_string(call.facts.promptTokens)},
            {"output_tokens", std::to_string(call.facts.outputTokens)},
            {"prompt_parts", std::to_string(call.facts.promptParts)},
            {"program_ms", std::to_string(call.facts.programTimeLeft.value_or(Milliseconds(0)).count())},
            {"configuration", std::to_string(call.configuration->version)}});
    call.fingerprint = hash64(call.exchange.body, hash64(call.exchange.head.target, hash64(customer)));
    if (this->watcher.view.quarantine.contains(call.fingerprint)) {
        this->refuse(scope, call, HttpStatus::Unavailable, "the request crashes endpoints", QuarantineSeconds);
        return false;
    }
    return true;
}

void Gateway::startCreditFetch()
{
    if (this->creditFetch != nullptr || !this->watcher.hasLeaderContact()) {
        return;
    }
    auto asked = this->credit.wanted(this->now());
    if (asked.empty()) {
        return;
    }
    auto answered = kj::evalNow([&]() {
        return this->watcher.requestCredit(asked);
    });
    auto fetch = answered
                     .then(
                         [this, asked](std::map<std::string, std::uint32_t> &&granted) {
                             this->credit.grant(this->now(), asked, granted);
                         },
                         [this, asked](kj::Exception &&exception) {
                             this->credit.lost(asked);
                             this->creditPausedUntil = this->now() + CreditPause;
                             logEvent(EventKind::FreshnessLost,
                                 {{"what", "credit"}, {"error", exception.getDescription().cStr()}});
                         })
                     .then([this]() {
                         this->creditFetch = nullptr;
                     })
                     .fork();
    this->loop.detach(fetch.addBranch());
    this->creditFetch = kj::mv(fetch);
}

bool Gateway::admitRate(kj::WaitScope &scope, Call &call)
{
    if (call.customer == nullptr) {
        return true;
    }
    CreditUse use = CreditUse::Continue;
    if (call.isNewProgram) {
        const bool isLate =
            this->programTimeLeft(call).value_or(Milliseconds::max()) < call.route->targetLatency * LeastProgramTargets;
        use = isLate ? CreditUse::BeginLate : CreditUse::Begin;
    }
    while (true) {
        const bool inTouch = this->watcher.hasLeaderContact() && this->now() >= this->creditPausedUntil;
        switch (this->credit.take(this->now(), *call.customer, use, inTouch, this->gateways)) {
        case CreditAnswer::Admitted:
            this->startCreditFetch();
            return true;
        case CreditAnswer::Refused:
            if ((!inTouch || !call.isNewProgram)
                && this->now() < std::min(call.exchange.received + ShareWait, call.until)) {
                this->loop.kjTimer().afterDelay(LookDelay).wait(scope);
                continue;
            }
            this->refuse(scope, call, HttpStatus::TooManyRequests,
                inTouch ? "over the rate" : "over the rate, out of touch",
                CreditShare::retryAfterSeconds(*call.customer));
            return false;
        case CreditAnswer::Wait:
            break;
        }
        this->startCreditFetch();
        kj::Promise<void> fetched = this->loop.kjTimer().afterDelay(LookDelay);
        KJ_IF_MAYBE (fetch, this->creditFetch) {
            fetched = fetch->addBranch().exclusiveJoin(this->loop.kjTimer().afterDelay(CreditWait).then([this]() {
                this->creditPausedUntil = this->now() + CreditPause;
            }));
        }
        fetched.wait(scope);
    }
}

bool Gateway::beginTurn(kj::WaitScope &scope, Call &call)
{
    const RouteConfig &route = *call.route;
    const bool isTurn = route.kind == RouteKind::Stream && !call.facts.program.empty();
    if (!isTurn) {
        return true;
    }
    TurnRequest start;
    start.customer = call.customer == nullptr ? std::string() : call.customer->name;
    start.previous = route.retainsTurns ? call.facts.previousTurn : std::string();
    const auto now = static_cast<std::uint64_t>(wallMsNow());
    call.retentionMs = static_cast<std::uint64_t>(route.retention.count() * 1000);
    if (call.facts.programTokens) {
        start.budget = *call.facts.programTokens;
        start.claim.program = start.customer + "/" + call.facts.program;
        start.claim.claim = TokenClaim{call.facts.requestId, call.facts.outputTokens, false};
        start.claim.expiresMs = now + call.retentionMs + ClaimExtraMs;
    }
    if (start.previous.empty() && start.claim.program.empty()) {
        return true;
    }
    call.settlement = std::make_unique<TokenSettlement>(this->history, start.claim);
    auto begun = this->history.begin(scope, start, std::min(call.until, this->now() + HistoryWait));
    if (!begun) {
        const unsigned status = static_cast<unsigned>(errorRow(begun.error().kind).httpStatus);
        this->refuse(
            scope, call, status, errorText(begun.error()), begun.error().kind == ErrorKind::NotReady ? SoonSeconds : 0);
        return false;
    }
    call.isNewProgram = begun->isFirstTurn && start.previous.empty();
    for (const auto &turn : begun->chain) {
        call.prefix += turn->input;
        call.prefix += turn->output;
    }
    return true;
}

} // namespace Chestnuthook
