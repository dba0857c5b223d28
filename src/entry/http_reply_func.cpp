/** @file http_reply_func.cpp  Builds the bodies of HTTP responses. */
#include "entry/http_reply_func.h"

#include <algorithm>

#include "observe/event_ring_base.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

std::string callJson(const CallRecord &call)
{
    return R"({"number":)" + std::to_string(call.number.value) + R"(,"state":)"
        + (call.state == CallState::Ended ? R"("ended")" : R"("intent")") + R"(,"status":)"
        + std::to_string(call.status) + R"(,"tokens":)" + std::to_string(call.tokens) + R"(,"request":)"
        + jsonQuoted(call.request) + R"(,"answer":)" + jsonQuoted(call.answer)
        + (call.failure ? "," + errorJson(*call.failure).substr(1) : "}");
}

std::string finishReasonJson(const CallRecord &call)
{
    return jsonQuoted(call.finishReason.empty() ? "stop" : call.finishReason);
}

std::string usageJson(const CallRecord &call)
{
    const std::uint64_t prompt = std::min(call.promptTokens, call.tokens);
    return R"("usage":{"prompt_tokens":)" + std::to_string(prompt) + R"(,"completion_tokens":)"
        + std::to_string(call.tokens - prompt) + R"(,"total_tokens":)" + std::to_string(call.tokens) + "}";
}

std::string completionPrefix(const AttemptId &attempt, const std::string &object, const std::string &model)
{
    return R"({"id":)" + jsonQuoted("chatcmpl-" + attempt.text) + R"(,"object":")" + object
        + R"(","created":0,"model":)" + jsonQuoted(model);
}

} // namespace

std::string errorJson(const Error &error)
{
    const ErrorRow &row = errorRow(error.kind);
    const std::string message = std::string(row.message) + (error.what.empty() ? "" : ": " + error.what);
    return R"({"error":{"code":)" + jsonQuoted(row.code) + R"(,"message":)" + jsonQuoted(message) + R"(,"remedy":)"
        + jsonQuoted(row.remedy) + R"(,"ran":)" + jsonQuoted(nameOf(error.ran)) + R"(,"retry_after_ms":)"
        + std::to_string(error.retryAfterMs) + "}}";
}

std::string programJson(const ProgramRecord &program)
{
    std::string calls;
    for (const CallRecord &call : program.calls) {
        calls += (calls.empty() ? "" : ",") + callJson(call);
    }
    return R"({"id":)" + jsonQuoted(program.id.text) + R"(,"state":)" + (program.ended() ? R"("ended")" : R"("open")")
        + R"(,"budget_left":{"calls":)" + std::to_string(program.budget.calls - program.spent.calls) + R"(,"tokens":)"
        + std::to_string(program.budget.tokens - std::min(program.budget.tokens, program.spent.tokens))
        + R"(},"calls":[)" + calls + "]}";
}

std::string completionJson(const CallRecord &call, const std::string &model)
{
    return completionPrefix(call.attempt, "chat.completion", model)
        + R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)" + jsonQuoted(call.answer)
        + R"(},"finish_reason":)" + finishReasonJson(call) + "}]," + usageJson(call) + "}";
}

std::string chunkEvent(const AttemptId &attempt, const std::string &model, std::string_view text)
{
    return "data: " + completionPrefix(attempt, "chat.completion.chunk", model)
        + R"(,"choices":[{"index":0,"delta":{"content":)" + jsonQuoted(text) + R"(},"finish_reason":null}]})" + "\n\n";
}

std::string finalEvents(const CallRecord &call, const std::string &model)
{
    return "data: " + completionPrefix(call.attempt, "chat.completion.chunk", model)
        + R"(,"choices":[{"index":0,"delta":{},"finish_reason":)" + finishReasonJson(call) + "}]," + usageJson(call)
        + "}\n\ndata: [DONE]\n\n";
}

} // namespace Chestnuthook
