/** @file call_worker_base.cpp  Attempts of one call. */
#include "entry/call_worker_base.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "endpoint/http_attempt_func.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"

namespace Chestnuthook
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusTooMany = 429;
constexpr int StatusServerError = 500;

/** A pause between two bytes that is longer than this share of the deadline counts as a hang. */
constexpr std::int64_t QuietShareOfEngine = 6;
constexpr std::int64_t QuietShareOfService = 2;

/** How long a call waits for an endpoint that can take it, while none is there. */
constexpr unsigned MaxWaits = 15;
constexpr auto WaitForEndpoint = std::chrono::milliseconds(200);

constexpr std::int64_t HealthTimeoutMs = 500;
constexpr auto HealthDelay = std::chrono::milliseconds(50);

std::string messageJson(const ChatMessage &message)
{
    return R"({"role":)" + jsonQuoted(message.role) + R"(,"content":)" + jsonQuoted(message.content) + "}";
}

/** Whether the endpoint answers its health check. */
bool isAlive(const EndpointId &endpoint)
{
    AttemptRequest request;
    request.address = endpoint.text;
    request.method = "GET";
    request.path = "/healthz";
    request.timeoutMs = HealthTimeoutMs;
    CancelToken cancel;
    return runServiceAttempt(request, cancel).complete;
}

} // namespace

std::string engineBody(const CallRequest &request, const CallStart &start, const std::string &sent)
{
    std::string messages;
    for (const auto *part : {&start.history, &request.messages}) {
        for (const ChatMessage &message : *part) {
            messages += (messages.empty() ? "" : ",") + messageJson(message);
        }
    }
    std::string body = R"({"model":)" + jsonQuoted(request.model.text)
        + R"(,"stream":true,"stream_options":{"include_usage":true},"messages":[)" + messages + R"(],"max_tokens":)"
        + std::to_string(start.maxTokens);
    if (!sent.empty()) {
        body += R"(,"continue_from":)" + jsonQuoted(sent);
    }
    return body;
}

CallWorker::CallWorker(
    EntryContext &context, ProgramId program, CustomerId customer, CallRequest request, CallStart given)
    : context(context)
    , program(std::move(program))
    , customer(std::move(customer))
    , request(std::move(request))
    , start(std::move(given))
    , call(this->start.call)
    , end(context.loop.timers().now() + std::chrono::milliseconds(this->start.timeoutMs))
{
    const bool model = this->request.kind == CallKind::Model;
    this->demand.kind = model ? EndpointKind::Engine : EndpointKind::Service;
    this->demand.name = model ? this->request.model.text : this->request.service.text;
    this->demand.program = this->program;
    this->demand.customer = this->customer;
    this->demand.maxTokens = this->start.maxTokens;
    this->demand.promptTokens = this->start.promptBound;
    this->demand.attainedTokens = this->start.attainedTokens;
    this->demand.fingerprint = fingerprintOf(this->customer, this->request);
}

std::int64_t CallWorker::leftMs() const
{
    return (this->end - this->context.loop.timers().now()).count() / 1000;
}

void CallWorker::run()
{
    const std::shared_ptr<CallStream> stream = this->start.stream;
    Result<CallRecord> result = fail(ErrorKind::Internal, "", Ran::Unknown);
    try {
        this->context.deadlines.add(this->end, std::shared_ptr<CancelToken>(stream, &stream->cancel));
        result = this->runAttempts();
    } catch (const std::exception &exception) {
        result = fail(ErrorKind::Internal, exception.what(), Ran::Unknown);
        this->abandon();
    } catch (const kj::Exception &exception) {
        result = fail(ErrorKind::NotReady, exception.getDescription().cStr(), this->ran ? Ran::Unknown : Ran::No);
        this->abandon();
    }
    stream->finish(std::move(result));
}

void CallWorker::abandon()
{
    try {
        this->context.loop.call([this]() {
            this->context.programs.dropCall(this->program, 0);
        });
    } catch (const kj::Exception &) {
        return; // The process is ending.
    }
}

Result<CallRecord> CallWorker::runAttempts()
{
    this->strikes = this->context.loop.call([this]() {
        return this->context.quarantine.strikesOf(this->demand.fingerprint);
    });
    Next next = Next::Retry;
    while (next == Next::Retry) {
        next = this->tryOnce();
    }
    if (next == Next::Done && this->strikes == 1) {
        this->context.loop.call([this]() {
            return this->context.quarantine.clear(this->demand.fingerprint);
        });
    }
    return this->commit();
}

CallWorker::Next CallWorker::giveUp(ErrorKind kind, const std::string &what, std::int64_t retryAfterMs)
{
    const bool unknown = this->ran && !this->start.idempotent;
    const Ran truth = !this->ran ? Ran::No : unknown ? Ran::Unknown : Ran::Yes;
    this->call.failure = Error{unknown ? ErrorKind::OutcomeUnknown : kind, what, truth, retryAfterMs};
    return Next::Failed;
}

bool CallWorker::waitToRetry()
{
    if (this->start.stream->cancel.isCancelled() || this->leftMs() <= 0) {
        return false;
    }
    std::this_thread::sleep_for(WaitForEndpoint);
    return ++this->waits < MaxWaits;
}

CallWorker::Next CallWorker::tryOnce()
{
    if (this->strikes >= StrikesToRefuse) {
        const std::int64_t refusedForMs = this->context.loop.call([this]() {
            return this->context.quarantine.refusedForMs(this->demand.fingerprint);
        });
        logEvent(EventKind::RequestQuarantined, {{"fingerprint", this->demand.fingerprint}});
        return this->giveUp(ErrorKind::Quarantined, "", refusedForMs);
    }
    if (this->start.stream->cancel.isExpired() || this->leftMs() <= 0) {
        return this->giveUp(ErrorKind::DeadlineExceeded, "");
    }
    if (this->start.stream->cancel.isCancelled()) {
        return this->giveUp(ErrorKind::Cancelled, "");
    }
    this->demand.isolated = this->strikes > 0;
    this->demand.deadlineMs = this->leftMs();
    const Result<DispatchPermit> permit = this->context.dispatch.acquire(this->demand);
    if (!permit) {
        if (permit.error().kind != ErrorKind::NoEndpoint) {
            return this->giveUp(permit.error().kind, permit.error().what, permit.error().retryAfterMs);
        }
        this->demand.avoid.clear(); // Rather one that failed before than none.
        return this->waitToRetry() ? Next::Retry : this->giveUp(ErrorKind::NoEndpoint, this->demand.name, 1000);
    }
    const AttemptOutcome outcome = this->attempt(*permit);
    this->context.dispatch.release(*permit, this->demand, outcome);
    return this->judge(*permit, outcome);
}

AttemptRequest CallWorker::requestFor(const DispatchPermit &permit) const
{
    const bool model = this->request.kind == CallKind::Model;
    AttemptRequest attempt;
    attempt.attempt = this->call.attempt;
    if (this->attempts > 1) {
        attempt.attempt.text += "." + std::to_string(this->attempts);
    }
    attempt.program = this->program;
    attempt.address = permit.endpoint.text;
    attempt.method = model ? "POST" : this->request.method;
    attempt.path = model ? "/v1/chat/completions" : this->request.path;
    attempt.body = model ? engineBody(this->request, this->start, this->call.answer) + R"(,"priority":)"
            + std::to_string(permit.priority) + "}"
                         : this->request.toolBody;
    const std::string type = model ? "application/json" : this->request.contentType;
    attempt.contentType = attempt.body.empty() ? "" : type;
    const std::int64_t share = model ? QuietShareOfEngine : this->start.idempotent ? QuietShareOfService : 1;
    const std::int64_t quiet = this->start.timeoutMs / share;
    attempt.timeoutMs = std::max<std::int64_t>(1, std::min(quiet, this->leftMs()));
    return attempt;
}

AttemptOutcome CallWorker::attempt(const DispatchPermit &permit)
{
    CallStream &stream = *this->start.stream;
    if (this->request.kind == CallKind::Model) {
        const std::uint64_t need = this->start.promptBound + this->start.maxTokens;
        const Result<void> prepared = this->context.loop.call([&]() {
            return this->context.programs.prepareAttempt(this->program, permit.endpoint, need);
        });
        if (!prepared) {
            AttemptOutcome refused;
            refused.what = prepared.error().what;
            this->call.failure = prepared.error();
            return refused;
        }
    }
    ++this->attempts;
    this->call.endpoint = permit.endpoint;
    const AttemptRequest attempt = this->requestFor(permit);
    logEvent(EventKind::CallDispatched,
        {{"program", this->program.text}, {"attempt", attempt.attempt.text}, {"endpoint", permit.endpoint.text}});
    if (this->request.kind == CallKind::Tool) {
        return runServiceAttempt(attempt, stream.cancel);
    }
    return runEngineAttempt(
        attempt,
        [&](std::string_view text) {
            this->call.answer += text;
            ++this->pieces;
            stream.append(text);
            return true;
        },
        stream.cancel);
}

CallWorker::Next CallWorker::judge(const DispatchPermit &permit, const AttemptOutcome &outcome)
{
    this->ran = this->ran || outcome.sent;
    if (this->call.failure) {
        return this->giveUp(this->call.failure->kind, this->call.failure->what);
    }
    const Next next = this->request.kind == CallKind::Model ? this->judgeEngine(outcome) : this->judgeService(outcome);
    if (next == Next::Done) {
        return next;
    }
    logEvent(EventKind::AttemptFailed,
        {{"program", this->program.text}, {"endpoint", permit.endpoint.text}, {"error", outcome.what}});
    this->strikeIfDead(permit, outcome);
    if (next == Next::Failed) {
        return next;
    }
    if (this->strikes < StrikesToRefuse && !this->context.dispatch.mayRetry(this->demand)) {
        return this->giveUp(ErrorKind::EndpointFailed, "the retry budget is used up: " + outcome.what, 1000);
    }
    this->demand.avoid.push_back(permit.endpoint);
    std::this_thread::sleep_for(this->context.dispatch.retryDelay(std::max(1U, this->attempts)));
    return Next::Retry;
}

CallWorker::Next CallWorker::judgeEngine(const AttemptOutcome &outcome)
{
    if (outcome.complete) {
        // The prompt of an attempt that continued the answer held what was sent before.
        this->call.tokens = outcome.promptTokens + outcome.completionTokens;
        this->call.promptTokens = this->call.tokens - std::min(this->call.tokens, this->pieces);
        this->call.finishReason = outcome.finishReason;
        this->call.status = StatusOk;
        return Next::Done;
    }
    const bool refused = outcome.status >= StatusBadRequest && outcome.status < StatusServerError
        && outcome.status != StatusNotFound && outcome.status != StatusTooMany;
    return refused ? this->giveUp(ErrorKind::EndpointFailed, "the engine refused the request") : Next::Retry;
}

CallWorker::Next CallWorker::judgeService(const AttemptOutcome &outcome)
{
    const bool again = this->start.idempotent && outcome.complete && outcome.status >= StatusServerError;
    if (outcome.complete && !again) {
        this->call.answer = outcome.body;
        this->call.status = outcome.status;
        this->call.contentType = outcome.contentType;
        return Next::Done;
    }
    if (!outcome.sent || this->start.idempotent) {
        return Next::Retry;
    }
    return this->giveUp(ErrorKind::OutcomeUnknown, outcome.what);
}

void CallWorker::strikeIfDead(const DispatchPermit &permit, const AttemptOutcome &outcome)
{
    if (!outcome.sent || !outcome.broken || this->start.stream->cancel.isCancelled()) {
        return;
    }
    std::this_thread::sleep_for(HealthDelay);
    if (!isAlive(permit.endpoint)) {
        this->strikes = this->context.loop.call([&]() {
            return this->context.quarantine.strike(this->demand.fingerprint, permit.endpoint);
        });
    }
}

Result<CallRecord> CallWorker::commit()
{
    const bool failed = this->call.failure.has_value();
    if (this->program.empty()) {
        return failed ? Result<CallRecord>(tl::unexpected(*this->call.failure)) : this->call;
    }
    if (failed && this->start.idempotent) {
        this->context.loop.call([this]() {
            this->context.programs.dropCall(this->program, this->ran ? this->start.promptBound + this->pieces : 0);
        });
        return tl::unexpected(*this->call.failure);
    }
    Result<CallRecord> committed = this->context.loop.call([this]() {
        return this->context.programs.endCall(this->program, this->call);
    });
    if (failed && this->call.failure->ran == Ran::No) {
        return tl::unexpected(*this->call.failure);
    }
    return committed;
}

} // namespace Chestnuthook
