/** @file call_worker_base.h  Runs one call: makes attempts at endpoints until one returns a complete response, then
 * commits the result. Runs on a worker thread, independently of the clients that read the result. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "endpoint/attempt_type.h"
#include "entry/entry_context_type.h"
#include "program/call_request_type.h"

namespace Chestnuthook
{

class CallWorker
{
public:
    /** @param program empty for an idempotent service request outside a program, of which no record is kept. */
    CallWorker(EntryContext &context, ProgramId program, CustomerId customer, CallRequest request, CallStart start);

    /** Runs the call and finishes its stream. Does not throw. */
    void run();

private:
    /** What to do after an attempt. */
    enum class NextStep : std::uint8_t { Retry, Done, Failed };

    Result<CallRecord> runAttempts();
    NextStep runAttempt();
    NextStep evaluate(const DispatchPermit &permit, const AttemptOutcome &outcome);
    NextStep evaluateEngine(const AttemptOutcome &outcome);
    NextStep evaluateService(const AttemptOutcome &outcome);
    NextStep failCall(ErrorKind kind, const std::string &what, std::int64_t retryAfterMs = 0);
    AttemptOutcome executeAttempt(const DispatchPermit &permit);
    AttemptRequest requestFor(const DispatchPermit &permit) const;
    bool waitForEndpoint();
    void strikeIfEndpointDied(const DispatchPermit &permit, const AttemptOutcome &outcome);
    [[nodiscard]] std::int64_t remainingMs() const;
    Result<CallRecord> commit();
    void abandonCall();

    EntryContext &context; ///< Shared state of the entry.
    ProgramId program; ///< Program that makes the call; empty for none.
    CustomerId customer; ///< Customer on whose behalf it runs.
    CallRequest request; ///< The request to run.
    CallStart start; ///< Parameters of the call from the program runtime.
    CallRecord call; ///< The result so far; `answer` is the text received.
    DispatchRequest dispatchRequest; ///< Requirements of the next attempt.
    Instant deadline; ///< Deadline of the call.
    std::uint32_t strikes = 0; ///< Strikes against the request.
    unsigned attempts = 0; ///< Number of attempts started.
    unsigned endpointWaits = 0; ///< Number of waits for an endpoint.
    std::uint64_t textChunks = 0; ///< Number of chunks of text received.
    bool mayHaveRun = false; ///< Whether an attempt may have reached an endpoint.
};

/** Builds the body of the chat completion request to an engine, without the closing brace: history and new messages,
 * continuing the output @p sent. */
[[nodiscard]] std::string engineRequestBody(
    const CallRequest &request, const CallStart &start, const std::string &sent);

} // namespace Chestnuthook
