/** @file limited_socket_base.h  The port for clients: accepts connections with or without TLS and enforces the request
 * limits on each. They are enforced at the socket, so that no route and no parser can bypass them. */
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>

#include "core/error_type.h"
#include "entry/request_limits_type.h"
#include "entry/tls_certificate_base.h"

namespace Chestnuthook
{

/** Counts open connections in total and by IP address. Thread-safe. */
class ConnectionCounts
{
public:
    explicit ConnectionCounts(const RequestLimits &limits)
        : limits(limits)
    {
    }

    /** Counts a connection from @p address. @return false if that exceeds a limit; the caller must call `remove` in
     * either case. */
    bool add(const std::string &address);
    void remove(const std::string &address);

private:
    const RequestLimits limits; ///< The limits to enforce.
    std::mutex mutex; ///< Guards the members below.
    std::map<std::string, int> byAddress; ///< Number of open connections by IP address; never 0.
    int total = 0; ///< Number of open connections from all addresses.
};

/** State of the port for clients, shared by its connections. */
struct ClientPort
{
    explicit ClientPort(const RequestLimits &limits)
        : limits(limits)
        , counts(limits)
    {
    }

    const RequestLimits limits; ///< The limits to enforce.
    ConnectionCounts counts; ///< Numbers of open connections.
    std::unique_ptr<TlsCertificate> certificate; ///< Null if clients connect without TLS.
};

/** Binds to @p address and listens. @throws Poco::Exception on failure. */
[[nodiscard]] Poco::Net::ServerSocket listenForClients(
    const std::shared_ptr<ClientPort> &port, const std::string &address);

/** Returns the filter with which Poco::Net::TCPServer rejects connections over a connection limit. */
[[nodiscard]] Poco::Net::TCPServerConnectionFilter::Ptr makeConnectionFilter();

} // namespace Chestnuthook
