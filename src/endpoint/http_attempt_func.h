/** @file http_attempt_func.h  Runs attempts over HTTP. Each uses a connection of its own, which is closed after it, so
 * that a late answer of one attempt can't be read by another. For traffic threads. */
#pragma once

#include <istream>

#include "endpoint/attempt_type.h"

namespace Chestnuthook
{

/** Runs a plain request and reads its whole answer, up to MaxAnswerBytes. */
[[nodiscard]] AttemptOutcome runServiceAttempt(const AttemptRequest &request, CancelToken &cancel);

/** Runs a streamed chat completion; the text goes to @p sink as it comes. Complete only where `[DONE]` was read. */
[[nodiscard]] AttemptOutcome runEngineAttempt(const AttemptRequest &request, const TextSink &sink, CancelToken &cancel);

/** Reads an engine's server-sent events. @throws Poco::Exception where they are malformed or over their bound. */
void readEventStream(std::istream &stream, AttemptOutcome &outcome, const TextSink &sink);

} // namespace Chestnuthook
