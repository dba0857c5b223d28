/** @file call_responder_base.h  Gives one caller the answer to a call: the stored one, or the running call's as it
 * comes.
 */
#pragma once

#include <string>

#include "entry/entry_context_type.h"
#include "entry/response_writer_base.h"
#include "program/call_request_type.h"

namespace Chestnuthook
{

/** For one request on one traffic thread. */
class CallResponder
{
public:
    CallResponder(EntryContext &context, ResponseWriter &writer, ProgramId program, TenantId tenant);

    /** Begins or joins the call and passes its answer on. Errors: those of the call, where nothing was written yet. */
    Result<void> run(CallNumber number, const CallRequest &request);

    /** Runs an idempotent request to a plain service, of which nothing is kept. */
    Result<void> runStateless(const CallRequest &request, std::int64_t timeoutMs);

private:
    Result<void> startWorker(const CallRequest &request, const CallStart &start);
    Result<void> relay(CallStream &stream, const CallRequest &request, const AttemptId &attempt);
    Result<void> sendResponse(const Result<CallRecord> &result, const CallRequest &request);
    void writeChunk(const CallRequest &request, const AttemptId &attempt, std::string_view text);

    EntryContext &context; ///< Of the entry.
    ResponseWriter &writer; ///< To the caller.
    ProgramId program; ///< Whose call it is; empty for none.
    TenantId tenant; ///< For whom it runs.
};

} // namespace Chestnuthook
