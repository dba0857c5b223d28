/** @file http_attempt_func.h  Runs attempts over HTTP. Each attempt uses a new connection and closes it afterwards, so
 * that a late response to one attempt can't be read by another. The functions block and are meant for the threads that
 * run calls. */
#pragma once

#include <istream>

#include "endpoint/attempt_type.h"

namespace Chestnuthook
{

/** Sends a request and reads the complete response, up to MaxResponseBytes. */
[[nodiscard]] AttemptOutcome runServiceAttempt(const AttemptRequest &request, CancelToken &cancel);

/** Runs a streamed chat completion and passes its text to @p sink as it is received. The outcome is complete only if
 * `[DONE]` was received. */
[[nodiscard]] AttemptOutcome runEngineAttempt(const AttemptRequest &request, const TextSink &sink, CancelToken &cancel);

/** Reads the server-sent events of an engine. @throws Poco::Exception if an event is malformed or too large. */
void readEventStream(std::istream &stream, AttemptOutcome &outcome, const TextSink &sink);

} // namespace Chestnuthook
