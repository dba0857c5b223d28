/** @file call_runner_base.cpp  One call from its begin in the journal to its end. */
#include "entry/call_runner_base.h"

#include <ostream>
#include <utility>

#include "endpoint/http_attempt_func.h"
#include "entry/http_reply_func.h"
#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

constexpr int StatusOk = 200;
constexpr std::size_t BytesPerToken = 4; ///< For estimates only.

std::string messageJson(const ChatMessage &message)
{
    return R"({"role":)" + jsonQuoted(message.role) + R"(,"content":)" + jsonQuoted(message.content) + "}";
}

} // namespace

std::string engineBody(const CallRequest &request, const std::vector<ChatMessage> &history)
{
    std::string messages;
    for (const auto *part : {&history, &request.messages}) {
        for (const ChatMessage &message : *part) {
            messages += (messages.empty() ? "" : ",") + messageJson(message);
        }
    }
    std::string body =
        R"({"model":)" + jsonQuoted(request.model.text) + R"(,"stream":true,"messages":[)" + messages + "]";
    if (request.maxTokens > 0) {
        body += R"(,"max_tokens":)" + std::to_string(request.maxTokens);
    }
    return body + "}";
}

std::string completionJson(const CallRecord &call, const std::string &model)
{
    return R"({"id":)" + jsonQuoted(call.attempt.text) + R"(,"object":"chat.completion","model":)" + jsonQuoted(model)
        + R"(,"choices":[{"index":0,"message":)" + messageJson(ChatMessage{"assistant", call.answer})
        + R"(,"finish_reason":"stop"}],"usage":{"total_tokens":)" + std::to_string(call.tokens) + "}}";
}

CallRunner::CallRunner(
    EntryContext &context, Poco::Net::HTTPServerResponse &response, ProgramId program, TenantId tenant)
    : context(context)
    , response(response)
    , program(std::move(program))
    , tenant(std::move(tenant))
{
}

void CallRunner::run(CallNumber number, const CallRequest &request)
{
    Result<CallStart> start = this->context.loop.call([&]() {
        return this->context.programs.beginCall(this->program, number, this->tenant, request);
    });
    if (!start) {
        replyError(this->response, start.error());
    } else if (start->stored) {
        this->replyStored(start->call, request.stream);
    } else if (request.kind == CallKind::Model) {
        this->runModel(request, std::move(*start));
    } else {
        this->runTool(request, std::move(*start));
    }
}

DispatchDemand CallRunner::demandOf(const CallRequest &request, const CallStart &start) const
{
    DispatchDemand demand;
    const bool model = request.kind == CallKind::Model;
    demand.kind = model ? EndpointKind::Engine : EndpointKind::Service;
    demand.name = model ? request.model.text : request.service.text;
    demand.program = this->program;
    demand.tenant = this->tenant;
    demand.maxTokens = request.maxTokens;
    for (const ChatMessage &message : start.history) {
        demand.promptTokens += message.content.size() / BytesPerToken;
    }
    return demand;
}

void CallRunner::runModel(const CallRequest &request, CallStart start)
{
    CallRecord call = std::move(start.call);
    const DispatchDemand demand = this->demandOf(request, start);
    const Result<DispatchPermit> permit = this->context.dispatch.acquire(demand);
    if (!permit) {
        call.failure = permit.error();
        this->finish(std::move(call), false);
        return;
    }
    call.endpoint = permit->endpoint;
    const auto view = this->context.follower.views.get();
    const auto model = view->models.find(request.model);
    AttemptRequest attempt;
    attempt.attempt = call.attempt;
    attempt.program = this->program;
    attempt.address = permit->endpoint.text;
    attempt.method = "POST";
    attempt.path = "/v1/chat/completions";
    attempt.contentType = "application/json";
    attempt.body = engineBody(request, start.history);
    attempt.timeoutMs = model == view->models.end() ? 30'000 : model->second.timeoutMs;
    CancelToken cancel;
    const TextSink sink = [&](std::string_view text) {
        return !request.stream || this->writeDelta(text);
    };
    const AttemptOutcome outcome = runEngineAttempt(attempt, sink, cancel);
    this->context.dispatch.release(*permit, demand, outcome);
    call.answer = outcome.body;
    call.tokens = outcome.promptTokens + outcome.completionTokens;
    call.status = StatusOk;
    if (!outcome.complete) {
        call.failure = Error{ErrorKind::EndpointFailed, outcome.what, outcome.sent ? Ran::Yes : Ran::No, 0};
    }
    this->finish(std::move(call), request.stream);
}

void CallRunner::runTool(const CallRequest &request, CallStart start)
{
    CallRecord call = std::move(start.call);
    const DispatchDemand demand = this->demandOf(request, start);
    const Result<DispatchPermit> permit = this->context.dispatch.acquire(demand);
    if (!permit) {
        call.failure = permit.error();
        this->finish(std::move(call), false);
        return;
    }
    call.endpoint = permit->endpoint;
    const auto view = this->context.follower.views.get();
    const auto service = view->services.find(request.service);
    AttemptRequest attempt;
    attempt.attempt = call.attempt;
    attempt.program = this->program;
    attempt.address = permit->endpoint.text;
    attempt.method = request.method;
    attempt.path = request.path;
    attempt.contentType = request.toolBody.empty() ? "" : "application/json";
    attempt.body = request.toolBody;
    attempt.timeoutMs = service == view->services.end() ? 30'000 : service->second.timeoutMs;
    CancelToken cancel;
    const AttemptOutcome outcome = runServiceAttempt(attempt, cancel);
    this->context.dispatch.release(*permit, demand, outcome);
    call.answer = outcome.body;
    call.status = outcome.status;
    if (!outcome.complete) {
        const bool unknown = outcome.sent && !request.idempotent;
        call.failure = Error{unknown ? ErrorKind::OutcomeUnknown : ErrorKind::EndpointFailed, outcome.what,
            outcome.sent ? Ran::Unknown : Ran::No, 0};
    }
    this->finish(std::move(call), false);
}

void CallRunner::finish(CallRecord call, bool stream)
{
    const Result<void> ended = this->context.loop.call([&]() {
        return this->context.programs.endCall(this->program, call);
    });
    if (!ended) {
        call.failure = ended.error();
    }
    if (this->stream != nullptr) {
        this->endStream(call);
        return;
    }
    this->replyStored(call, stream);
}

void CallRunner::replyStored(const CallRecord &call, bool stream)
{
    if (call.failure) {
        replyError(this->response, *call.failure);
        return;
    }
    const Result<CallRequest> request = parseCall(call.request);
    if (request && request->kind == CallKind::Tool) {
        replyJson(this->response, call.status, call.answer);
    } else if (stream) {
        this->writeDelta(call.answer);
        this->endStream(call);
    } else {
        replyJson(this->response, StatusOk, completionJson(call, request ? request->model.text : ""));
    }
}

void CallRunner::startStream()
{
    this->response.setContentType("text/event-stream");
    this->response.setChunkedTransferEncoding(true);
    this->response.set("Cache-Control", "no-store");
    this->stream = &this->response.send();
}

bool CallRunner::writeDelta(std::string_view text)
{
    if (this->stream == nullptr) {
        this->startStream();
    }
    *this->stream << R"(data: {"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":)"
                  << jsonQuoted(text) << R"(},"finish_reason":null}]})"
                  << "\n\n"
                  << std::flush;
    this->callerGone = !this->stream->good();
    return !this->callerGone;
}

void CallRunner::endStream(const CallRecord &call)
{
    if (this->callerGone) {
        return;
    }
    if (call.failure) {
        *this->stream << "event: error\ndata: " << errorJson(*call.failure) << "\n\n" << std::flush;
        return;
    }
    *this->stream
        << R"(data: {"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})"
        << "\n\ndata: [DONE]\n\n"
        << std::flush;
}

} // namespace Chestnuthook
