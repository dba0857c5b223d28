/** @file connection_server.h  A loopback port for stand-ins: each connection is served on a thread of its own. */
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace Chestnuthook::Testing
{

class ConnectionServer
{
public:
    /** Serves one connection until it ends or @p ending is set; a Poco::Exception ends it too. */
    using Serve = std::function<void(Poco::Net::StreamSocket &connection, const std::atomic<bool> &ending)>;

    /** Listens on a free port of @p ip. */
    ConnectionServer(const std::string &ip, Serve serve);
    ~ConnectionServer();
    ConnectionServer(const ConnectionServer &) = delete;
    ConnectionServer &operator=(const ConnectionServer &) = delete;

private:
    void accept();

    Poco::Net::ServerSocket socket; ///< Listens.

public:
    const std::string address; ///< ip:port.

private:
    Serve serve; ///< As given.
    std::atomic<bool> ending{false}; ///< Ends all threads.
    std::list<std::thread> connections; ///< One each.
    std::thread accepting; ///< Last, so that it starts when the rest stands.
};

} // namespace Chestnuthook::Testing
