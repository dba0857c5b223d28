/** @file program_service_base.h  Serves requests for programs and services: validates them, finds the owner of the
 * program's slot, forwards them at most once if that is another entry, and holds them while a slot is moving. */
#pragma once

#include <string>
#include <vector>

#include "entry/entry_context_type.h"
#include "entry/response_writer_base.h"
#include "program/call_request_type.h"
#include "rpc/entry.capnp.h"

namespace Chestnuthook
{

/** An authenticated request of a client. */
struct ClientRequest
{
    std::string method; ///< HTTP method.
    std::string uri; ///< Path and query.
    std::vector<std::string> path; ///< Segments of the path, decoded.
    std::string contentType; ///< Content type of the body.
    std::string idempotencyKey; ///< Header Idempotency-Key; empty for none.
    std::string program; ///< Header X-Program-Id; empty for none.
    std::string body; ///< Body, within the size limit.
    ClientIdentity client; ///< Client that sent it.
    bool forwarded = false; ///< Forwarded by another entry; must not be forwarded again.
};

/** Converts a request for forwarding to another entry. */
void writeRequest(Wire::ForwardedRequest::Builder builder, const ClientRequest &request);
[[nodiscard]] ClientRequest readRequest(Wire::ForwardedRequest::Reader reader);

/** For one request on one traffic thread. */
class ProgramService
{
public:
    ProgramService(EntryContext &context, ResponseWriter &writer, const ClientRequest &request);

    /** Validates the request without running it. Errors: BadRequest, NotFound. */
    Result<void> check();

    /** Serves the request; to be called after `check`. */
    void serve();

    /** Whether the request is to be served by this entry rather than forwarded. */
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

    EntryContext &context; ///< Shared state of the entry.
    ResponseWriter &writer; ///< Response to the client.
    const ClientRequest &request; ///< Outlives this.
    Route route = Route::Show; ///< Route, set by `check`.
    ProgramId program; ///< Program whose slot determines the entry that serves the request; empty if any entry may.
    ProgramParameters parameters; ///< Parameters of a program to create.
    CallRequest call; ///< Content of a call.
    CallNumber number; ///< Number of a call.
    std::int64_t statelessTimeoutMs =
        0; ///< Timeout of an idempotent service request without Idempotency-Key, which needs no program; else 0.
};

} // namespace Chestnuthook
