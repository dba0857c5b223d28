/** @file call_runner_base.h  Runs one accepted call at an endpoint and gives the answer to the caller. */
#pragma once

#include <string>

#include <Poco/Net/HTTPServerResponse.h>

#include "endpoint/attempt_type.h"
#include "entry/entry_context_type.h"
#include "program/call_request_type.h"

namespace Chestnuthook
{

/** For one call on one traffic thread. */
class CallRunner
{
public:
    CallRunner(EntryContext &context, Poco::Net::HTTPServerResponse &response, ProgramId program, TenantId tenant);

    /** Begins, runs and ends the call; always answers the caller. */
    void run(CallNumber number, const CallRequest &request);

private:
    void runModel(const CallRequest &request, CallStart start);
    void runTool(const CallRequest &request, CallStart start);
    void finish(CallRecord call, bool stream);
    void replyStored(const CallRecord &call, bool stream);
    void startStream();
    bool writeDelta(std::string_view text);
    void endStream(const CallRecord &call);
    DispatchDemand demandOf(const CallRequest &request, const CallStart &start) const;

    EntryContext &context; ///< Of the entry.
    Poco::Net::HTTPServerResponse &response; ///< To the caller.
    ProgramId program; ///< Whose call it is.
    TenantId tenant; ///< For whom it runs.
    std::ostream *stream = nullptr; ///< Set once a streamed answer has begun.
    bool callerGone = false; ///< A write to the caller failed.
};

/** The engine's request: history and new messages as a chat completion. */
[[nodiscard]] std::string engineBody(const CallRequest &request, const std::vector<ChatMessage> &history);

/** A whole chat completion as JSON. */
[[nodiscard]] std::string completionJson(const CallRecord &call, const std::string &model);

} // namespace Chestnuthook
