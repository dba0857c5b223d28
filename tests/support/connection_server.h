/** @file connection_server.h  A loopback TCP server for tests that serves each connection on its own thread. */
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace Chestnuthook::Testing
{

class ConnectionServer
{
public:
    /** Serves one connection until it ends or @p stopping is set; a Poco::Exception ends it too. */
    using Serve = std::function<void(Poco::Net::StreamSocket &connection, const std::atomic<bool> &stopping)>;

    /** Listens on @p port of @p ip, or on a free port if it is 0. */
    ConnectionServer(const std::string &ip, Serve serve, unsigned short port = 0);
    ~ConnectionServer();
    ConnectionServer(const ConnectionServer &) = delete;
    ConnectionServer &operator=(const ConnectionServer &) = delete;

    /** Closes the port, as when the process of the server goes down. Open connections are served on. Returns when new
     * connections are refused. */
    void stopListening();

    /** Cuts the server off from clients at the IPv4 addresses @p sources, and from no others; see dropPacketsFrom().
     */
    void cutOff(const std::vector<std::string> &sources);

private:
    /** A connection and its thread. */
    struct Connection
    {
        std::atomic<bool> isDone{false}; ///< The thread is about to end.
        int descriptor = -1; ///< Of the socket; -1 once it may be closed. Guarded by `filterMutex`.
        std::thread thread; ///< Serves the connection.
    };

    void acceptLoop();
    /** Joins the threads of connections that have ended, whose stacks would stay allocated otherwise. */
    void joinDone();

    Poco::Net::ServerSocket socket; ///< Listening socket.

public:
    const std::string address; ///< ip:port.

private:
    Serve serve; ///< Connection handler.
    std::atomic<bool> stopping{false}; ///< Tells all threads to end.
    std::atomic<bool> isClosing{false}; ///< Tells the accept thread to close the port.
    std::atomic<bool> isClosed{false}; ///< The port is closed.
    std::mutex filterMutex; ///< Guards the next two members and the descriptors of connections.
    std::vector<std::string> cutSources; ///< See `cutOff`.
    std::list<Connection> connections; ///< Changed by the accept thread, and by the destructor after its end.
    std::thread acceptThread; ///< Declared last, so that it starts after all other members exist.
};

} // namespace Chestnuthook::Testing
