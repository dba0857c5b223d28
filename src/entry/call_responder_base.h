/** @file call_responder_base.h  Sends one client the result of a call: the stored one, or that of the running call as
 * it arrives. */
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
    CallResponder(EntryContext &context, ResponseWriter &writer, ProgramId program, CustomerId customer);

    /** Starts or joins the call and sends its result. Errors: those of the call, as long as no response was started. */
    Result<void> run(CallNumber number, const CallRequest &request);

    /** Runs an idempotent service request outside a program; no record of it is kept. */
    Result<void> runStateless(const CallRequest &request, std::int64_t timeoutMs);

private:
    Result<void> startWorker(const CallRequest &request, const CallStart &start);
    /** Sends the text of the running call as it arrives, until the call ends or the client has gone. */
    Result<void> relay(CallStream &stream, const CallRequest &request, const AttemptId &attempt);
    Result<void> sendResponse(const Result<CallRecord> &result, const CallRequest &request);
    void writeChunk(const CallRequest &request, const AttemptId &attempt, std::string_view text);

    EntryContext &context; ///< Shared state of the entry.
    ResponseWriter &writer; ///< Response to the client.
    ProgramId program; ///< Program that makes the call; empty for none.
    CustomerId customer; ///< Customer on whose behalf it runs.
};

} // namespace Chestnuthook
