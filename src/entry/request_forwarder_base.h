/** @file request_forwarder_base.h  Forwards a request to the entry that owns its program and relays the response. */
#pragma once

#include <memory>
#include <string>

#include "entry/entry_context_type.h"
#include "entry/program_service_base.h"
#include "entry/response_writer_base.h"

namespace Chestnuthook
{

/** For one request on one traffic thread. */
class RequestForwarder
{
public:
    RequestForwarder(EntryContext &context, ResponseWriter &writer);

    /** Forwards the request to the entry at @p address. Errors: NotReady if that entry did not respond, with `ran`
     * unknown if the request was sent. The request is safe to forward again: the owner recognises a call that it has
     * started by its number and content. */
    Result<void> run(const std::string &address, const ClientRequest &request);

private:
    struct Pipe;
    class Sink;

    /** Whether the entry at @p address still holds its lease. A paused entry stays connected but never responds. */
    [[nodiscard]] bool hasLease(const std::string &address) const;

    EntryContext &context; ///< Shared state of the entry.
    ResponseWriter &writer; ///< Response to the client.
};

} // namespace Chestnuthook
