/** @file call_runner_base.cpp  Passing a call's answer to its caller. */
#include "entry/call_runner_base.h"

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

/** How often a quiet stream's caller is looked after. */
constexpr auto LookPeriod = std::chrono::milliseconds(200);

} // namespace

CallRunner::CallRunner(EntryContext &context, AnswerWriter &answer, ProgramId program, CustomerId customer)
    : context(context)
    , answer(answer)
    , program(std::move(program))
    , customer(std::move(customer))
{
}

Result<void> CallRunner::run(CallNumber number, const CallRequest &request)
{
    const Result<CallStart> start = this->context.loop.call([&]() {
        return this->context.programs.beginCall(this->program, number, this->customer, request);
    });
    if (!start) {
        return tl::unexpected(start.error());
    }
    if (start->stored) {
        return this->reply(start->call, request);
    }
    if (start->fresh) {
        Result<void> started = this->startWorker(request, *start);
        if (!started) {
            return started;
        }
    }
    return this->follow(*start->stream, request, start->call.attempt);
}

Result<void> CallRunner::runPlain(const CallRequest &request, std::int64_t timeoutMs)
{
    CallStart start;
    start.fresh = true;
    start.timeoutMs = timeoutMs;
    start.call.attempt = AttemptId{"a-" + randomHex(AttemptIdBytes)};
    start.call.request = request.body;
    start.stream = std::make_shared<CallStream>(true);
    start.stream->join();
    Result<void> started = this->startWorker(request, start);
    return started ? this->follow(*start.stream, request, start.call.attempt) : started;
}

Result<void> CallRunner::startWorker(const CallRequest &request, const CallStart &start)
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

void CallRunner::writeText(const CallRequest &request, const AttemptId &attempt, std::string_view text)
{
    if (!this->answer.isStarted()) {
        this->answer.start(StatusOk, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}}, -1);
    }
    this->answer.write(chunkEvent(attempt, request.model.text, text));
}

Result<void> CallRunner::follow(CallStream &stream, const CallRequest &request, const AttemptId &attempt)
{
    std::size_t seen = 0;
    CallStream::Part part;
    while (!part.done) {
        part = stream.read(seen, LookPeriod);
        seen += part.text.size();
        if (this->answer.isGone()) {
            stream.leave();
            return {};
        }
        if (request.stream && !part.text.empty()) {
            this->writeText(request, attempt, part.text);
        }
    }
    stream.leave();
    const Result<CallRecord> &result = stream.result();
    if (!this->answer.isStarted()) {
        return this->reply(result, request);
    }
    if (result && !result->failure) {
        this->answer.write(lastEvents(*result, request.model.text));
    } else {
        this->answer.write("event: error\ndata: " + errorJson(result ? *result->failure : result.error()) + "\n\n");
    }
    this->answer.end();
    return {};
}

Result<void> CallRunner::reply(const Result<CallRecord> &result, const CallRequest &request)
{
    if (!result || result->failure) {
        return tl::unexpected(result ? *result->failure : result.error());
    }
    if (request.kind == CallKind::Tool) {
        const std::string type = result->contentType.empty() ? "application/json" : result->contentType;
        replyText(this->answer, result->status, type, result->answer);
    } else if (request.stream) {
        this->writeText(request, result->attempt, result->answer);
        this->answer.write(lastEvents(*result, request.model.text));
        this->answer.end();
    } else {
        replyJson(this->answer, StatusOk, completionJson(*result, request.model.text));
    }
    return {};
}

} // namespace Chestnuthook
