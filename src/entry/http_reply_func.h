/** @file http_reply_func.h  Bodies of HTTP responses to clients. */
#pragma once

#include <string>

#include "core/error_type.h"
#include "program/program_type.h"

namespace Chestnuthook
{

/** The body of an error response. */
[[nodiscard]] std::string errorJson(const Error &error);

/** A program with its calls and the rest of its budget. */
[[nodiscard]] std::string programJson(const ProgramRecord &program);

/** A chat completion that is not streamed. */
[[nodiscard]] std::string completionJson(const CallRecord &call, const std::string &model);

/** The server-sent event for one piece of text of a streamed chat completion. */
[[nodiscard]] std::string chunkEvent(const AttemptId &attempt, const std::string &model, std::string_view text);

/** The server-sent events that end a streamed chat completion: finish reason, token usage and `[DONE]`. */
[[nodiscard]] std::string finalEvents(const CallRecord &call, const std::string &model);

} // namespace Chestnuthook
