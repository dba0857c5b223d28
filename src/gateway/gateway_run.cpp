/** @file gateway_run.cpp  Running a request at endpoints, and delivery of the answer. */
#include <algorithm>
#include <utility>

#include "core/hash_func.h"
#include "gateway/call_urgency_func.h"
#include "gateway/gateway_base.h"
#include "gateway/gateway_call_internal.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

/** Endpoints that a request is offered to before it is refused. */
constexpr unsigned MostOffers = 4;
constexpr double BusySeconds = 0.25; ///< Retry-After where all endpoints refused.
/** Time for a new connection; endpoints that don't accept in it are down or cut off. */
constexpr Duration ConnectLimit = std::chrono::milliseconds(150);
/** Time for the writing of a turn to the history after its stream has ended. */
constexpr Duration KeepWait = std::chrono::milliseconds(1500);
/** Least time in which an endpoint can still be of use. */
constexpr Duration LeastUsefulTime = std::chrono::milliseconds(5);

constexpr std::size_t ProbeStackBytes = 128U << 10U; ///< Of a fiber that only connects.
/** A request that may run again is given up at one endpoint after this many times its target latency. */
constexpr int TryTargets = 3;
constexpr Duration LeastTry = std::chrono::milliseconds(200);

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/** Reads what is left of a body that nobody wants. @return whether it was whole. */
bool skipBody(kj::WaitScope &scope, HttpResponseReader &reader)
{
    std::string skipped;
    return reader.readBody(scope, skipped) == HttpRead::Done;
}

Milliseconds toMs(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

} // namespace

std::optional<Milliseconds> Gateway::programTimeLeft(const Call &call) const
{
    if (!call.facts.programTimeLeft) {
        return std::nullopt;
    }
    return *call.facts.programTimeLeft - toMs(this->now() - call.exchange.received);
}

std::string Gateway::forwardBytes(const Call &call, const DeployedEndpoint &endpoint) const
{
    ForwardFacts facts;
    facts.timeLeft = toMs(call.until - this->now());
    facts.endpointId = endpoint.id;
    facts.customer = call.customer == nullptr ? std::string() : call.customer->name;
    facts.lastEventId = call.lastEventId.empty() ? call.facts.lastEventId : call.lastEventId;
    const bool hasOwnPriority = call.customer != nullptr && call.customer->priority >= 0;
    const int priority = hasOwnPriority ? call.customer->priority : call.route->priority;
    facts.urgency = callUrgency({priority, call.route->kind == RouteKind::Stream, this->programTimeLeft(call)});
    facts.bodyBytes = call.prefix.size() + call.exchange.body.size();
    facts.hasBody = facts.bodyBytes != 0 || call.exchange.head.fields.find("Content-Length") != nullptr;
    return formatHead(this->dialect.forwardHead(call.exchange.head, facts)) + call.prefix + call.exchange.body;
}

void Gateway::run(kj::WaitScope &scope, Call &call)
{
    const RouteConfig &route = *call.route;
    PlacementWish wish;
    std::uint64_t weights = 0;
    for (const RouteTarget &target : route.targets) {
        weights += target.weight;
    }
    std::uint64_t point = hash64(call.facts.requestId) % weights;
    for (const RouteTarget &target : route.targets) {
        if (point < target.weight) {
            wish.service = target.service;
            break;
        }
        point -= target.weight;
    }
    const ServiceConfig &service = call.configuration->services.at(wish.service);
    if (service.engine) {
        call.tokensPerEvent = service.engine->tokensPerEvent;
        const std::string &line = call.facts.program.empty() ? call.facts.requestId : call.facts.program;
        wish.affinity = std::max<std::uint64_t>(hash64(line), 1);
    }
    wish.dataCentre = this->settings.dataCentre;
    const bool repeatable = route.kind == RouteKind::Safe || (route.kind == RouteKind::Stream && route.resumable);
    std::set<std::string> tried;
    unsigned offers = 0;
    AttemptEnd last = AttemptEnd::NotRun;
    while (call.until - this->now() > LeastUsefulTime && offers < MostOffers) {
        const DeployedEndpoint *chosen = this->board.choose(this->now(), wish, tried);
        if (chosen == nullptr) {
            break;
        }
        const DeployedEndpoint endpoint = *chosen;
        ++offers;
        last = this->attempt(scope, call, endpoint);
        if (last == AttemptEnd::Delivered) {
            return;
        }
        tried.insert(endpoint.id);
        if (last == AttemptEnd::NotRun) {
            continue;
        }
        ++call.runs;
        if (!repeatable || call.runs >= route.maxAttempts) {
            break;
        }
    }
    if (call.exchange.hasBegun()) {
        logEvent(EventKind::CallEnded,
            {{"request", call.facts.requestId}, {"outcome", "stream cut"}, {"events", std::to_string(call.events)}});
        return; // The connection is closed: the answer is not whole.
    }
    if (call.runs == 0) {
        const bool late = call.until - this->now() <= LeastUsefulTime;
        this->refuse(scope, call, HttpStatus::Unavailable, late ? "no time is left" : "no endpoint has room",
            late ? 0 : BusySeconds);
        return;
    }
    const bool late = last == AttemptEnd::TimedOut;
    this->refuse(scope, call, late ? HttpStatus::GatewayTimeout : HttpStatus::BadGateway,
        late ? "the endpoint didn't answer in time" : "the endpoint failed", 0);
}

Gateway::AttemptEnd Gateway::attempt(kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint)
{
    auto connection = this->links.takeKept(endpoint.address);
    const bool kept = connection != nullptr;
    if (!kept) {
        connection = this->links.connect(scope, endpoint.address, std::min(ConnectLimit, call.until - this->now()));
    }
    if (connection == nullptr) {
        this->board.noteFailure(this->now(), endpoint.id);
        logEvent(EventKind::AttemptFailed,
            {{"request", call.facts.requestId}, {"endpoint", endpoint.id}, {"reason", "no connection"}});
        return AttemptEnd::NotRun;
    }
    logEvent(EventKind::CallDispatched,
        {{"request", call.facts.requestId}, {"endpoint", endpoint.id}, {"kept", kept ? "yes" : "no"},
            {"load", this->board.describeLoad(this->now(), endpoint.id)},
            {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)}});
    this->board.noteSent(endpoint.id);
    KJ_DEFER(this->board.noteEnded(endpoint.id));
    const AttemptEnd end = this->exchangeWith(scope, call, endpoint, *connection);
    if (end == AttemptEnd::Delivered || end == AttemptEnd::NotRun) {
        const Duration idleLimit = connection->idleLimit;
        if (idleLimit.count() > 0) {
            this->links.keep(endpoint.address, std::move(connection), idleLimit);
        }
        return end;
    }
    if (end == AttemptEnd::TimedOut && call.events == 0) {
        this->board.noteError(this->now(), endpoint.id);
    }
    if (end == AttemptEnd::Failed) {
        this->board.noteFailure(this->now(), endpoint.id);
        this->noteStrikeIfDown(call.fingerprint, endpoint);
    }
    logEvent(EventKind::AttemptFailed,
        {{"request", call.facts.requestId}, {"endpoint", endpoint.id},
            {"reason", end == AttemptEnd::TimedOut ? "time-out" : "broken"}, {"kept", kept ? "yes" : "no"},
            {"events", std::to_string(call.events)}});
    return end;
}

void Gateway::noteStrikeIfDown(std::uint64_t fingerprint, const DeployedEndpoint &endpoint)
{
    this->loop.detach(kj::startFiber(ProbeStackBytes, [this, fingerprint, endpoint](kj::WaitScope &scope) {
        auto connection = this->links.connect(scope, endpoint.address, ConnectLimit);
        if (connection == nullptr) {
            this->strikes.push_back({fingerprint, endpoint.id});
            return;
        }
        this->links.keep(endpoint.address, std::move(connection), EndpointLinks::idleLimitOf(HttpFields()));
    }));
}

Gateway::AttemptEnd Gateway::exchangeWith(
    kj::WaitScope &scope, Call &call, const DeployedEndpoint &endpoint, EndpointConnection &connection)
{
    const std::string bytes = this->forwardBytes(call, endpoint);
    kj::Timer &timer = this->loop.kjTimer();
    Duration limit = call.until - this->now();
    if (call.route->kind == RouteKind::Safe && call.runs + 1 < call.route->maxAttempts) {
        const Duration tryLimit = std::max<Duration>(call.route->targetLatency * TryTargets, LeastTry);
        limit = std::min(limit, std::max(tryLimit, limit / 2));
    }
    const kj::TimePoint end = timer.now() + kjDuration(limit);
    if (!connection.send(scope, timer, bytes, end)) {
        return timer.now() >= end ? AttemptEnd::TimedOut : AttemptEnd::Failed;
    }
    while (true) {
        HttpResponseReader reader(connection.input, call.exchange.head.method == "HEAD");
        ResponseHead head;
        const HttpRead read = reader.readHead(scope, head);
        if (read != HttpRead::Done) {
            return connection.input.hasTimedOut() ? AttemptEnd::TimedOut : AttemptEnd::Failed;
        }
        const AnswerFacts facts = this->dialect.readAnswer(head);
        if (facts.load) {
            this->board.noteLoad(this->now(), endpoint.id, *facts.load);
        }
        const bool isOurs = facts.requestId == call.facts.requestId;
        if (!isOurs && !facts.notRun && head.status != HttpStatus::Misdirected) {
            // A late answer to an earlier request.
            if (!skipBody(scope, reader) || !head.keepAlive) {
                return connection.input.hasTimedOut() ? AttemptEnd::TimedOut : AttemptEnd::Failed;
            }
            continue;
        }
        if (facts.notRun || head.status == HttpStatus::Misdirected) {
            if (head.status == HttpStatus::Misdirected) {
                this->board.noteFailure(this->now(), endpoint.id);
            } else {
                this->board.noteFull(this->now(), endpoint.id);
            }
            logEvent(EventKind::AttemptFailed,
                {{"request", call.facts.requestId}, {"endpoint", endpoint.id}, {"reason", "not run"},
                    {"status", std::to_string(head.status)}});
            if (skipBody(scope, reader) && head.keepAlive) {
                connection.idleLimit = EndpointLinks::idleLimitOf(head.fields);
            }
            return AttemptEnd::NotRun;
        }
        if (!facts.isSigned || head.fields.find("Content-Encoding") != nullptr) {
            return AttemptEnd::Failed;
        }
        const bool streams = call.route->kind == RouteKind::Stream && isSuccess(head.status);
        if (!streams && call.exchange.hasBegun()) {
            return AttemptEnd::Failed; // A stream that has begun can't become another answer.
        }
        const AttemptEnd delivered =
            streams ? this->deliverStream(scope, call, reader, head) : this->deliverWhole(scope, call, reader, head);
        if (delivered == AttemptEnd::Delivered) {
            if (head.status >= HttpStatus::FirstServerError) {
                this->board.noteError(this->now(), endpoint.id);
            } else {
                this->board.noteSuccess(this->now(), endpoint.id);
            }
            connection.idleLimit = head.keepAlive ? EndpointLinks::idleLimitOf(head.fields) : Duration(0);
        }
        return delivered == AttemptEnd::Failed && connection.input.hasTimedOut() ? AttemptEnd::TimedOut : delivered;
    }
}

Gateway::AttemptEnd Gateway::deliverWhole(
    kj::WaitScope &scope, Call &call, HttpResponseReader &reader, const ResponseHead &head)
{
    std::string content;
    if (reader.readBody(scope, content) != HttpRead::Done) {
        return AttemptEnd::Failed;
    }
    call.exchange.respond(scope, this->dialect.answerHead(head), content);
    logEvent(EventKind::CallEnded, {{"request", call.facts.requestId}, {"status", std::to_string(head.status)}});
    return AttemptEnd::Delivered;
}

Gateway::AttemptEnd Gateway::deliverStream(
    kj::WaitScope &scope, Call &call, HttpResponseReader &reader, const ResponseHead &head)
{
    EventSplitter splitter;
    while (true) {
        std::string part;
        if (reader.readPart(scope, part) != HttpRead::Done) {
            return AttemptEnd::Failed;
        }
        std::vector<StreamEvent> events;
        std::string ready = part.empty() ? splitter.rest() : splitter.take(part, events);
        if (!ready.empty() || part.empty()) {
            if (!call.exchange.hasBegun()) {
                logEvent(EventKind::CallFirstToken,
                    {{"request", call.facts.requestId},
                        {"ms", std::to_string((this->now() - call.exchange.received).count() / 1000)}});
                call.exchange.beginStream(scope, this->dialect.answerHead(head));
            }
        }
        for (const StreamEvent &event : events) {
            if (event.hasData) {
                call.output += event.data + "\n";
                ++call.events;
                if (call.settlement != nullptr) {
                    call.settlement->addHanded(call.tokensPerEvent);
                }
            }
            if (!event.id.empty()) {
                call.lastEventId = event.id;
            }
        }
        if (!ready.empty()) {
            call.exchange.writePart(scope, ready);
        }
        if (part.empty()) {
            this->finishStream(scope, call);
            return AttemptEnd::Delivered;
        }
    }
}

void Gateway::finishStream(kj::WaitScope &scope, Call &call)
{
    if (call.route->retainsTurns) {
        std::vector<HistoryRecord> records;
        KeptTurn turn;
        turn.id = call.facts.requestId;
        turn.previous = call.facts.previousTurn;
        turn.customer = call.customer == nullptr ? std::string() : call.customer->name;
        turn.input = call.exchange.body;
        turn.output = call.output;
        turn.expiresMs = static_cast<std::uint64_t>(wallMsNow()) + call.retentionMs + call.retentionMs / 2;
        records.emplace_back(std::move(turn));
        if (call.settlement != nullptr) {
            ProgramClaim settled = call.settlement->settle();
            if (!settled.program.empty()) {
                records.emplace_back(std::move(settled));
            }
        }
        const Result<void> kept = this->history.write(scope, records, this->now() + KeepWait);
        if (!kept) {
            logEvent(EventKind::CallEnded,
                {{"request", call.facts.requestId}, {"outcome", "turn not kept"}, {"error", kept.error().what}});
            return; // Without its end the answer doesn't count as whole.
        }
    }
    call.exchange.endStream(scope);
    logEvent(EventKind::CallEnded, {{"request", call.facts.requestId}, {"events", std::to_string(call.events)}});
}

} // namespace Chestnuthook
