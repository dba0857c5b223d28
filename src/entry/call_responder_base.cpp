/** @file call_responder_base.cpp  Sends the result of a call to a client. */
#include "entry/call_responder_base.h"

#include <utility>

#include "core/hash_func.h"
#include "entry/call_worker_base.h"
#include "entry/http_reply_func.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr int StatusOk = 200;
constexpr std::size_t AttemptIdBytes = 12;

/** How often to check whether the client has disconnected while the stream is idle. */
constexpr auto AbandonCheckInterval = std::chrono::milliseconds(200);

} // namespace

CallResponder::CallResponder(EntryContext &context, ResponseWriter &writer, ProgramId program, CustomerId customer)
    : context(context)
    , writer(writer)
    , program(std::move(program))
    , customer(std::move(customer))
{
}

Result<void> CallResponder::run(CallNumber number, const CallRequest &request)
{
    const Result<CallStart> start = this->context.loop.call([&]() {
        return this->context.programs.beginCall(this->program, number, this->customer, request);
    });
    if (!start) {
        return tl::unexpected(start.error());
    }
    if (start->stored) {
        return this->sendResponse(start->call, request);
    }
    if (start->isNew) {
        Result<void> started = this->startWorker(request, *start);
        if (!started) {
            return started;
        }
    }
    return this->relay(*start->stream, request, start->call.attempt);
}

Result<void> CallResponder::runStateless(const CallRequest &request, std::int64_t timeoutMs)
{
    CallStart start;
    start.isNew = true;
    start.timeoutMs = timeoutMs;
    start.call.attempt = AttemptId{"a-" + randomHex(AttemptIdBytes)};
    start.call.request = request.body;
    start.stream = std::make_shared<CallStream>(true);
    start.stream->addReader();
    Result<void> started = this->startWorker(request, start);
    return started ? this->relay(*start.stream, request, start.call.attempt) : started;
}

Result<void> CallResponder::startWorker(const CallRequest &request, const CallStart &start)
{
    Result<void> started = this->context.workers.run(
        [&context = this->context, program = this->program, customer = this->customer, request, start]() {
            CallWorker(context, program, customer, request, start).run();
        });
    if (started) {
        return started;
    }
    if (!this->program.empty()) {
        this->context.loop.call([&]() -> kj::Promise<void> {
            if (start.idempotent) {
                this->context.programs.dropCall(this->program, 0);
                return kj::READY_NOW;
            }
            CallRecord call = start.call;
            call.failure = started.error();
            return this->context.programs.endCall(this->program, call).ignoreResult();
        });
    }
    start.stream->finish(tl::unexpected(started.error()));
    return started;
}

void CallResponder::writeChunk(const CallRequest &request, const AttemptId &attempt, std::string_view text)
{
    if (!this->writer.isStarted()) {
        this->writer.start(StatusOk, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}}, -1);
    }
    this->writer.write(chunkEvent(attempt, request.model.text, text));
}

Result<void> CallResponder::relay(CallStream &stream, const CallRequest &request, const AttemptId &attempt)
{
    std::size_t bytesRead = 0;
    CallStream::Chunk chunk;
    while (!chunk.done) {
        chunk = stream.read(bytesRead, AbandonCheckInterval);
        bytesRead += chunk.text.size();
        if (this->writer.isAbandoned()) {
            stream.removeReader();
            return {};
        }
        if (request.stream && !chunk.text.empty()) {
            this->writeChunk(request, attempt, chunk.text);
        }
    }
    stream.removeReader();
    const Result<CallRecord> &result = stream.result();
    if (!this->writer.isStarted()) {
        return this->sendResponse(result, request);
    }
    if (result && !result->failure) {
        this->writer.write(finalEvents(*result, request.model.text));
    } else {
        this->writer.write("event: error\ndata: " + errorJson(result ? *result->failure : result.error()) + "\n\n");
    }
    this->writer.end();
    return {};
}

Result<void> CallResponder::sendResponse(const Result<CallRecord> &result, const CallRequest &request)
{
    if (!result || result->failure) {
        return tl::unexpected(result ? *result->failure : result.error());
    }
    if (request.kind == CallKind::Tool) {
        const std::string type = result->contentType.empty() ? "application/json" : result->contentType;
        replyText(this->writer, result->status, type, result->answer);
    } else if (request.stream) {
        this->writeChunk(request, result->attempt, result->answer);
        this->writer.write(finalEvents(*result, request.model.text));
        this->writer.end();
    } else {
        replyJson(this->writer, StatusOk, completionJson(*result, request.model.text));
    }
    return {};
}

} // namespace Chestnuthook
