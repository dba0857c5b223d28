/** @file connection_server.cpp  Accept loop and connection threads of the test server. */
#include "support/connection_server.h"

#include <utility>

#include <Poco/Exception.h>

#include "support/source_filter.h"

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

void ConnectionServer::cutOff(const std::vector<std::string> &sources)
{
    const std::lock_guard lock(this->filterMutex);
    this->cutSources = sources;
    dropPacketsFrom(this->socket.impl()->sockfd(), sources);
    for (const Connection &connection : this->connections) {
        if (connection.descriptor >= 0) {
            dropPacketsFrom(connection.descriptor, sources);
        }
    }
}

void ConnectionServer::joinDone()
{
    const std::lock_guard lock(this->filterMutex);
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
            Poco::Net::StreamSocket accepted = this->socket.acceptConnection();
            const std::lock_guard lock(this->filterMutex);
            Connection &entry = this->connections.emplace_back();
            entry.descriptor = accepted.impl()->sockfd();
            dropPacketsFrom(entry.descriptor, this->cutSources);
            entry.thread = std::thread([this, &entry, connection = accepted]() mutable {
                try {
                    this->serve(connection, this->stopping);
                } catch (const Poco::Exception &) {
                    // One peer is gone; the end of this handler closes the connection to the other one.
                }
                {
                    const std::lock_guard guard(this->filterMutex);
                    entry.descriptor = -1;
                }
                entry.isDone = true;
            });
        }
    }
}

} // namespace Chestnuthook::Testing
