/** @file connection_server.cpp  Accept loop and connection threads of the test server. */
#include "support/connection_server.h"

#include <utility>

#include <Poco/Exception.h>

namespace Chestnuthook::Testing
{

namespace
{

const Poco::Timespan StopCheckInterval(0, 20000); ///< Interval at which the accept loop checks whether to stop.

} // namespace

ConnectionServer::ConnectionServer(const std::string &ip, Serve serve, unsigned short port)
    : socket(Poco::Net::SocketAddress(ip, port))
    , address(this->socket.address().toString())
    , serve(std::move(serve))
    , acceptThread([this]() {
        this->acceptLoop();
    })
{
}

ConnectionServer::~ConnectionServer()
{
    this->stopping = true;
    this->acceptThread.join();
    for (Connection &connection : this->connections) {
        connection.thread.join();
    }
}

void ConnectionServer::stopListening()
{
    this->isClosing = true;
    while (!this->isClosed) {
        std::this_thread::yield();
    }
}

void ConnectionServer::joinDone()
{
    this->connections.remove_if([](Connection &connection) {
        const bool isDone = connection.isDone;
        if (isDone) {
            connection.thread.join();
        }
        return isDone;
    });
}

void ConnectionServer::acceptLoop()
{
    while (!this->stopping) {
        this->joinDone();
        if (this->isClosing) {
            this->socket.close();
            this->isClosed = true;
            return;
        }
        if (this->socket.poll(StopCheckInterval, Poco::Net::Socket::SELECT_READ)) {
            Connection &entry = this->connections.emplace_back();
            entry.thread = std::thread([this, &entry, connection = this->socket.acceptConnection()]() mutable {
                try {
                    this->serve(connection, this->stopping);
                } catch (const Poco::Exception &) {
                    // One peer is gone; the end of this handler closes the connection to the other one.
                }
                entry.isDone = true;
            });
        }
    }
}

} // namespace Chestnuthook::Testing
