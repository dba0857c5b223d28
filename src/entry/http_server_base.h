/** @file http_server_base.h  The callers' side of an entry: routes, keys and admission. */
#pragma once

#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>

#include "core/error_type.h"
#include "entry/entry_context_type.h"

namespace Chestnuthook
{

/** Serves callers on traffic threads, one for each connection. */
class EntryServer
{
public:
    explicit EntryServer(EntryContext &context);

    /** Binds @p address. Errors: AddressInUse. */
    Result<void> start(const std::string &address);

    /** Ends open connections and joins the threads. Not for the control thread, on which they may wait. */
    void stop();

private:
    EntryContext &context; ///< Of the entry.
    std::unique_ptr<Poco::ThreadPool> threads; ///< One thread for each open connection.
    std::unique_ptr<Poco::Net::HTTPServer> server; ///< Null until started.
};

} // namespace Chestnuthook
