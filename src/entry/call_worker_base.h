/** @file call_worker_base.h  Runs one call: attempts at endpoints until one gives the whole answer, which is then
 * committed. Runs on a worker thread, whoever reads the answer. */
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
    /** @param program empty for an idempotent request to a plain service, of which nothing is kept. */
    CallWorker(EntryContext &context, ProgramId program, TenantId tenant, CallRequest request, CallStart start);

    /** Runs the call and ends its stream. Does not throw. */
    void run();

private:
    /** How the call went on after an attempt. */
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

    EntryContext &context; ///< Of the entry.
    ProgramId program; ///< Whose call it is; empty for none.
    TenantId tenant; ///< For whom it runs.
    CallRequest request; ///< What to run.
    CallStart start; ///< From the runtime.
    CallRecord call; ///< The result in the making; `answer` is the text so far.
    DispatchRequest dispatchRequest; ///< Of the next attempt.
    Instant deadline; ///< Nothing runs after it.
    std::uint32_t strikes = 0; ///< Against this request.
    unsigned attempts = 0; ///< Begun so far.
    unsigned endpointWaits = 0; ///< For an endpoint.
    std::uint64_t textChunks = 0; ///< Pieces of text that came.
    bool mayHaveRun = false; ///< An attempt may have reached an endpoint.
};

/** The engine's request: history and new messages as a chat completion that continues @p sent. */
[[nodiscard]] std::string engineRequestBody(
    const CallRequest &request, const CallStart &start, const std::string &sent);

} // namespace Chestnuthook
