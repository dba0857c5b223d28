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
    CallWorker(EntryContext &context, ProgramId program, CustomerId customer, CallRequest request, CallStart start);

    /** Runs the call and ends its stream. Does not throw. */
    void run();

private:
    /** How the call went on after an attempt. */
    enum class Next : std::uint8_t { Retry, Done, Failed };

    Result<CallRecord> runAttempts();
    Next tryOnce();
    Next judge(const DispatchPermit &permit, const AttemptOutcome &outcome);
    Next judgeEngine(const AttemptOutcome &outcome);
    Next judgeService(const AttemptOutcome &outcome);
    Next giveUp(ErrorKind kind, const std::string &what, std::int64_t retryAfterMs = 0);
    AttemptOutcome attempt(const DispatchPermit &permit);
    AttemptRequest requestFor(const DispatchPermit &permit) const;
    bool waitToRetry();
    void strikeIfDead(const DispatchPermit &permit, const AttemptOutcome &outcome);
    [[nodiscard]] std::int64_t leftMs() const;
    Result<CallRecord> commit();
    void abandon();

    EntryContext &context; ///< Of the entry.
    ProgramId program; ///< Whose call it is; empty for none.
    CustomerId customer; ///< For whom it runs.
    CallRequest request; ///< What to run.
    CallStart start; ///< From the runtime.
    CallRecord call; ///< The result in the making; `answer` is the text so far.
    DispatchDemand demand; ///< Of the next attempt.
    Instant end; ///< Nothing runs after it.
    std::uint32_t strikes = 0; ///< Against this request.
    unsigned attempts = 0; ///< Begun so far.
    unsigned waits = 0; ///< For an endpoint.
    std::uint64_t pieces = 0; ///< Pieces of text that came.
    bool ran = false; ///< An attempt may have reached an endpoint.
};

/** The engine's request: history and new messages as a chat completion that continues @p sent. */
[[nodiscard]] std::string engineBody(const CallRequest &request, const CallStart &start, const std::string &sent);

} // namespace Chestnuthook
