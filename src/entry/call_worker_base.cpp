/** @file call_worker_base.cpp  Runs the attempts of one call. */
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
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServerError = 500;

/** An attempt counts as hung if it receives no byte for the timeout of the call divided by this number. */
constexpr std::int64_t EngineStallDivisor = 6;
constexpr std::int64_t ServiceStallDivisor = 2;

/** Number and length of the waits of a call while no endpoint is available. */
constexpr unsigned MaxEndpointWaits = 15;
constexpr auto EndpointWaitInterval = std::chrono::milliseconds(200);

constexpr std::int64_t HealthCheckTimeoutMs = 500;
constexpr auto HealthCheckDelay = std::chrono::milliseconds(50);

std::string messageJson(const ChatMessage &message)
{
    return R"({"role":)" + jsonQuoted(message.role) + R"(,"content":)" + jsonQuoted(message.content) + "}";
}

/** Whether the endpoint responds to a health check. */
bool passesHealthCheck(EntryContext &context, const EndpointId &endpoint)
{
    AttemptRequest request;
    request.address = endpoint.text;
    request.method = "GET";
    request.path = "/healthz";
    request.timeoutMs = HealthCheckTimeoutMs;
    const auto cancel =
        context.deadlines.makeToken(context.loop.timers().now() + std::chrono::milliseconds(HealthCheckTimeoutMs));
    return runServiceAttempt(request, *cancel).complete;
}

} // namespace

std::string engineRequestBody(const CallRequest &request, const CallStart &start, const std::string &sent)
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
    EntryContext &context, ProgramId program, CustomerId customer, CallRequest request, CallStart plan)
    : context(context)
    , program(std::move(program))
    , customer(std::move(customer))
    , request(std::move(request))
    , start(std::move(plan))
    , call(this->start.call)
    , deadline(context.loop.timers().now() + std::chrono::milliseconds(this->start.timeoutMs))
{
    const bool model = this->request.kind == CallKind::Model;
    this->dispatchRequest.kind = model ? EndpointKind::Engine : EndpointKind::Service;
    this->dispatchRequest.name = model ? this->request.model.text : this->request.service.text;
    this->dispatchRequest.program = this->program;
    this->dispatchRequest.customer = this->customer;
    this->dispatchRequest.maxTokens = this->start.maxTokens;
    this->dispatchRequest.promptTokens = this->start.maxPromptTokens;
    this->dispatchRequest.attainedTokens = this->start.attainedTokens;
    this->dispatchRequest.fingerprint = fingerprintOf(this->customer, this->request);
}

std::int64_t CallWorker::remainingMs() const
{
    return (this->deadline - this->context.loop.timers().now()).count() / 1000;
}

void CallWorker::run()
{
    const std::shared_ptr<CallStream> stream = this->start.stream;
    Result<CallRecord> result = fail(ErrorKind::Internal, "", Ran::Unknown);
    try {
        this->context.deadlines.add(this->deadline, std::shared_ptr<CancelToken>(stream, &stream->cancel));
        result = this->runAttempts();
    } catch (const std::exception &exception) {
        result = fail(ErrorKind::Internal, exception.what(), Ran::Unknown);
        this->abandonCall();
    } catch (const kj::Exception &exception) {
        result =
            fail(ErrorKind::NotReady, exception.getDescription().cStr(), this->mayHaveRun ? Ran::Unknown : Ran::No);
        this->abandonCall();
    }
    stream->finish(std::move(result));
}

void CallWorker::abandonCall()
{
    try {
        this->context.loop.call([this]() {
            this->context.programs.dropCall(this->program, 0);
        });
    } catch (const kj::Exception &) {
        return; // The control thread has stopped: the process is shutting down.
    }
}

Result<CallRecord> CallWorker::runAttempts()
{
    this->strikes = this->context.loop.call([this]() {
        return this->context.quarantine.countStrikes(this->dispatchRequest.fingerprint);
    });
    NextStep next = NextStep::Retry;
    while (next == NextStep::Retry) {
        next = this->runAttempt();
    }
    if (next == NextStep::Done && this->strikes == 1) {
        this->context.loop.call([this]() {
            return this->context.quarantine.clearStrikes(this->dispatchRequest.fingerprint);
        });
    }
    return this->commit();
}

CallWorker::NextStep CallWorker::failCall(ErrorKind kind, const std::string &what, std::int64_t retryAfterMs)
{
    const bool unknown = this->mayHaveRun && !this->start.idempotent;
    const Ran ranState = !this->mayHaveRun ? Ran::No : unknown ? Ran::Unknown : Ran::Yes;
    this->call.failure = Error{unknown ? ErrorKind::OutcomeUnknown : kind, what, ranState, retryAfterMs};
    return NextStep::Failed;
}

bool CallWorker::waitForEndpoint()
{
    if (this->start.stream->cancel.isCancelled() || this->remainingMs() <= 0) {
        return false;
    }
    std::this_thread::sleep_for(EndpointWaitInterval);
    return ++this->endpointWaits < MaxEndpointWaits;
}

CallWorker::NextStep CallWorker::runAttempt()
{
    if (this->strikes >= MinStrikesToRefuse) {
        const std::int64_t remainingRefusalMs = this->context.loop.call([this]() {
            return this->context.quarantine.remainingRefusalMs(this->dispatchRequest.fingerprint);
        });
        logEvent(EventKind::RequestQuarantined, {{"fingerprint", this->dispatchRequest.fingerprint}});
        return this->failCall(ErrorKind::Quarantined, "", remainingRefusalMs);
    }
    if (this->start.stream->cancel.isExpired() || this->remainingMs() <= 0) {
        return this->failCall(ErrorKind::DeadlineExceeded, "");
    }
    if (this->start.stream->cancel.isCancelled()) {
        return this->failCall(ErrorKind::Cancelled, "");
    }
    this->dispatchRequest.isolated = this->strikes > 0;
    this->dispatchRequest.deadlineMs = this->remainingMs();
    const Result<DispatchPermit> permit = this->context.dispatch.acquire(this->dispatchRequest);
    if (!permit) {
        if (permit.error().kind != ErrorKind::NoEndpoint) {
            return this->failCall(permit.error().kind, permit.error().what, permit.error().retryAfterMs);
        }
        this->dispatchRequest.excluded.clear(); // Prefer an endpoint that failed before to none.
        return this->waitForEndpoint() ? NextStep::Retry
                                       : this->failCall(ErrorKind::NoEndpoint, this->dispatchRequest.name, 1000);
    }
    const AttemptOutcome outcome = this->executeAttempt(*permit);
    this->context.dispatch.release(*permit, this->dispatchRequest, outcome);
    return this->evaluate(*permit, outcome);
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
    attempt.body = model ? engineRequestBody(this->request, this->start, this->call.answer) + R"(,"priority":)"
            + std::to_string(permit.priority) + "}"
                         : this->request.toolBody;
    const std::string type = model ? "application/json" : this->request.contentType;
    attempt.contentType = attempt.body.empty() ? "" : type;
    const std::int64_t divisor = model ? EngineStallDivisor : this->start.idempotent ? ServiceStallDivisor : 1;
    const std::int64_t stallTimeoutMs = this->start.timeoutMs / divisor;
    attempt.timeoutMs = std::max<std::int64_t>(1, std::min(stallTimeoutMs, this->remainingMs()));
    return attempt;
}

AttemptOutcome CallWorker::executeAttempt(const DispatchPermit &permit)
{
    CallStream &stream = *this->start.stream;
    if (this->request.kind == CallKind::Model) {
        const std::uint64_t need = this->start.maxPromptTokens + this->start.maxTokens;
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
            ++this->textChunks;
            stream.append(text);
            return true;
        },
        stream.cancel);
}

CallWorker::NextStep CallWorker::evaluate(const DispatchPermit &permit, const AttemptOutcome &outcome)
{
    this->mayHaveRun = this->mayHaveRun || outcome.sent;
    if (this->call.failure) {
        return this->failCall(this->call.failure->kind, this->call.failure->what);
    }
    const NextStep next =
        this->request.kind == CallKind::Model ? this->evaluateEngine(outcome) : this->evaluateService(outcome);
    if (next == NextStep::Done) {
        return next;
    }
    logEvent(EventKind::AttemptFailed,
        {{"program", this->program.text}, {"endpoint", permit.endpoint.text}, {"error", outcome.what}});
    this->strikeIfEndpointDied(permit, outcome);
    if (next == NextStep::Failed) {
        return next;
    }
    if (this->strikes < MinStrikesToRefuse && !this->context.dispatch.consumeRetry(this->dispatchRequest)) {
        return this->failCall(ErrorKind::EndpointFailed, "the retry budget is used up: " + outcome.what, 1000);
    }
    this->dispatchRequest.excluded.push_back(permit.endpoint);
    std::this_thread::sleep_for(this->context.dispatch.retryDelay(std::max(1U, this->attempts)));
    return NextStep::Retry;
}

CallWorker::NextStep CallWorker::evaluateEngine(const AttemptOutcome &outcome)
{
    if (outcome.complete) {
        // An attempt that continues the output has the text that was sent before in its prompt.
        this->call.tokens = outcome.promptTokens + outcome.completionTokens;
        this->call.promptTokens = this->call.tokens - std::min(this->call.tokens, this->textChunks);
        this->call.finishReason = outcome.finishReason;
        this->call.status = StatusOk;
        return NextStep::Done;
    }
    const bool refused = outcome.status >= StatusBadRequest && outcome.status < StatusServerError
        && outcome.status != StatusNotFound && outcome.status != StatusTooManyRequests;
    return refused ? this->failCall(ErrorKind::EndpointFailed, "the engine refused the request") : NextStep::Retry;
}

CallWorker::NextStep CallWorker::evaluateService(const AttemptOutcome &outcome)
{
    const bool again = this->start.idempotent && outcome.complete && outcome.status >= StatusServerError;
    if (outcome.complete && !again) {
        this->call.answer = outcome.body;
        this->call.status = outcome.status;
        this->call.contentType = outcome.contentType;
        return NextStep::Done;
    }
    if (!outcome.sent || this->start.idempotent) {
        return NextStep::Retry;
    }
    return this->failCall(ErrorKind::OutcomeUnknown, outcome.what);
}

void CallWorker::strikeIfEndpointDied(const DispatchPermit &permit, const AttemptOutcome &outcome)
{
    if (!outcome.sent || !outcome.broken || this->start.stream->cancel.isCancelled()) {
        return;
    }
    std::this_thread::sleep_for(HealthCheckDelay);
    if (!passesHealthCheck(this->context, permit.endpoint)) {
        this->strikes = this->context.loop.call([&]() {
            return this->context.quarantine.recordStrike(this->dispatchRequest.fingerprint, permit.endpoint);
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
            this->context.programs.dropCall(
                this->program, this->mayHaveRun ? this->start.maxPromptTokens + this->textChunks : 0);
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
