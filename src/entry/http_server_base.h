/** @file http_server_base.h  The HTTP server of an entry, through which clients send requests. */
#pragma once

#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>

#include "core/error_type.h"
#include "entry/entry_context_type.h"
#include "entry/request_limits_type.h"

namespace Chestnuthook
{

/** Settings of the port for clients. */
struct ClientPortSettings
{
    RequestLimits limits; ///< Limits on requests and connections.
    std::string tlsCertificate; ///< Path of a PEM file; empty to serve clients without TLS.
    std::string tlsKey; ///< Path of a PEM file with the private key.
};

/** Serves clients on traffic threads, one for each connection. */
class EntryServer
{
public:
    explicit EntryServer(EntryContext &context);

    /** Listens on @p address. Errors: AddressInUse; BadSetting if the certificate can't be loaded. */
    Result<void> start(const std::string &address, const ClientPortSettings &clientPort);

    /** Closes open connections and joins the threads. Requests in progress are answered first unless @p cutRequests is
     * set. Must not be called on the control thread, as a traffic thread may be waiting for it. */
    void stop(bool cutRequests);

private:
    EntryContext &context; ///< Shared state of the entry.
    std::unique_ptr<Poco::ThreadPool> threads; ///< One thread for each open connection.
    std::unique_ptr<Poco::Net::HTTPServer> server; ///< Null until started.
};

} // namespace Chestnuthook
