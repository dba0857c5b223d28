/** @file http_server_base.h  The callers' side of an entry: routes, keys and admission. */
#pragma once

#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>

#include "core/error_type.h"
#include "entry/entry_context_type.h"
#include "entry/request_limits_type.h"

namespace Chestnuthook
{

/** Settings of the callers' port. */
struct ClientPortSettings
{
    RequestLimits limits; ///< What one caller may make the entry hold.
    std::string tlsCertificate; ///< PEM file; empty where callers connect without TLS.
    std::string tlsKey; ///< PEM file.
};

/** Serves callers on traffic threads, one for each connection. */
class EntryServer
{
public:
    explicit EntryServer(EntryContext &context);

    /** Binds @p address. Errors: AddressInUse, BadSetting for a certificate that can't be used. */
    Result<void> start(const std::string &address, const ClientPortSettings &clientPort);

    /** Ends open connections and joins the threads. Not for the control thread, on which they may wait. */
    void stop();

private:
    EntryContext &context; ///< Of the entry.
    std::unique_ptr<Poco::ThreadPool> threads; ///< One thread for each open connection.
    std::unique_ptr<Poco::Net::HTTPServer> server; ///< Null until started.
};

} // namespace Chestnuthook
