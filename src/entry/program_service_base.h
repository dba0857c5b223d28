/** @file program_service_base.h  Serves requests about programs and plain services: checks them, finds the owner of the
 * program's slot, forwards once where that is another entry, and holds requests while a slot is moving. */
#pragma once

#include <string>
#include <vector>

#include "entry/entry_context_type.h"
#include "entry/response_writer_base.h"
#include "program/call_request_type.h"
#include "rpc/entry.capnp.h"

namespace Chestnuthook
{

/** A request whose key was checked. */
struct ClientRequest
{
    std::string method; ///< HTTP method.
    std::string uri; ///< Path and query.
    std::vector<std::string> path; ///< Segments of the path, decoded.
    std::string contentType; ///< Of the body.
    std::string idempotencyKey; ///< Of the caller; empty for none.
    std::string program; ///< Header X-Program-Id.
    std::string body; ///< Within its bound.
    ClientIdentity client; ///< Whom it runs for.
    bool forwarded = false; ///< Came from another entry; it is not forwarded again.
};

void writeRequest(Wire::ForwardedRequest::Builder builder, const ClientRequest &request);
[[nodiscard]] ClientRequest readRequest(Wire::ForwardedRequest::Reader reader);

/** For one request on one traffic thread. */
class ProgramService
{
public:
    ProgramService(EntryContext &context, ResponseWriter &writer, const ClientRequest &request);

    /** Checks the request field by field; nothing is run. Errors: BadRequest, NotFound. */
    Result<void> check();

    /** Answers the request; after `check`. */
    void serve();

    /** Whether the program's slot belongs to this entry; for forwarded requests. */
    [[nodiscard]] bool isLocal() const;

private:
    enum class Route : std::uint8_t { Create, Show, End, Call, Chat, Service };

    Result<void> checkCreate();
    Result<void> checkCall(Result<CallRequest> parsed);
    Result<void> checkService();
    [[nodiscard]] std::string ownerAddress() const;
    Result<void> serveOnce();
    Result<void> serveLocally();
    Result<void> create();
    Result<void> runSingleCallProgram();
    Result<void> runInProgram();
    Result<void> forward(const std::string &address);
    Result<ProgramId> createForSingleCall();

    EntryContext &context; ///< Of the entry.
    ResponseWriter &writer; ///< To the caller.
    const ClientRequest &request; ///< Outlives this.
    Route route = Route::Show; ///< Set by check.
    ProgramId program; ///< Whose slot decides where the request runs; empty where any entry will do.
    ProgramParameters parameters; ///< Of a creation.
    CallRequest call; ///< Of a call.
    CallNumber number; ///< Of a call.
    std::int64_t statelessTimeoutMs = 0; ///< Set for an idempotent service request without a key.
};

} // namespace Chestnuthook
