/** @file limited_socket_base.h  The callers' port: accepts connections, plain or under TLS, and holds each to the
 * request limits. Limits are applied at the socket, so that no route and no parser can be reached around them. */
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

/** Counts open connections by address. Thread-safe. */
class ConnectionCounts
{
public:
    explicit ConnectionCounts(const RequestLimits &limits)
        : limits(limits)
    {
    }

    /** Counts one connection from @p address. @return false where that makes too many; count it down all the same. */
    bool add(const std::string &address);
    void remove(const std::string &address);

private:
    const RequestLimits limits; ///< The bounds.
    std::mutex mutex; ///< Guards all below.
    std::map<std::string, int> byAddress; ///< Open connections of each address; none are zero.
    int total = 0; ///< Sum of them.
};

/** What the callers' port needs; shared with its connections. */
struct ClientPort
{
    explicit ClientPort(const RequestLimits &limits)
        : limits(limits)
        , counts(limits)
    {
    }

    const RequestLimits limits; ///< The bounds.
    ConnectionCounts counts; ///< Open connections.
    std::unique_ptr<TlsCertificate> certificate; ///< Null where callers connect without TLS.
};

/** Binds @p address. @throws Poco::Exception where that fails. */
[[nodiscard]] Poco::Net::ServerSocket listenForClients(
    const std::shared_ptr<ClientPort> &port, const std::string &address);

/** Turns away connections that are too many; for Poco::Net::TCPServer. */
[[nodiscard]] Poco::Net::TCPServerConnectionFilter::Ptr makeConnectionFilter();

} // namespace Chestnuthook
