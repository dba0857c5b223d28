/** @file http_reply_func.h  Bodies of answers as callers see them. */
#pragma once

#include <string>

#include "core/error_type.h"
#include "program/program_type.h"

namespace Chestnuthook
{

/** The JSON of @p error as callers see it. */
[[nodiscard]] std::string errorJson(const Error &error);

/** A program with its calls and what is left of its budget. */
[[nodiscard]] std::string programJson(const ProgramRecord &program);

/** A whole chat completion. */
[[nodiscard]] std::string completionJson(const CallRecord &call, const std::string &model);

/** One event of a streamed chat completion; @p last ends it. */
[[nodiscard]] std::string chunkEvent(const AttemptId &attempt, const std::string &model, std::string_view text);
[[nodiscard]] std::string finalEvents(const CallRecord &call, const std::string &model);

} // namespace Chestnuthook
