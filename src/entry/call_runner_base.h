/** @file call_runner_base.h  Gives one caller the answer to a call: the stored one, or the running call's as it comes.
 */
#pragma once

#include <string>

#include "entry/answer_writer_base.h"
#include "entry/entry_context_type.h"
#include "program/call_request_type.h"

namespace Chestnuthook
{

/** For one request on one traffic thread. */
class CallRunner
{
public:
    CallRunner(EntryContext &context, AnswerWriter &answer, ProgramId program, CustomerId customer);

    /** Begins or joins the call and passes its answer on. Errors: those of the call, where nothing was written yet. */
    Result<void> run(CallNumber number, const CallRequest &request);

    /** Runs an idempotent request to a plain service, of which nothing is kept. */
    Result<void> runPlain(const CallRequest &request, std::int64_t timeoutMs);

private:
    Result<void> startWorker(const CallRequest &request, const CallStart &start);
    Result<void> follow(CallStream &stream, const CallRequest &request, const AttemptId &attempt);
    Result<void> reply(const Result<CallRecord> &result, const CallRequest &request);
    void writeText(const CallRequest &request, const AttemptId &attempt, std::string_view text);

    EntryContext &context; ///< Of the entry.
    AnswerWriter &answer; ///< To the caller.
    ProgramId program; ///< Whose call it is; empty for none.
    CustomerId customer; ///< For whom it runs.
};

} // namespace Chestnuthook
