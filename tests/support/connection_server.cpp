/** @file connection_server.cpp  Threads of the stand-ins' port. */
#include "support/connection_server.h"

#include <utility>

#include <Poco/Exception.h>

namespace Chestnuthook::Testing
{

namespace
{

const Poco::Timespan LookTime(0, 20000); ///< Until the end of the server is looked for again.

} // namespace

ConnectionServer::ConnectionServer(const std::string &ip, Serve serve)
    : socket(Poco::Net::SocketAddress(ip, 0))
    , address(this->socket.address().toString())
    , serve(std::move(serve))
    , accepting([this]() {
        this->accept();
    })
{
}

ConnectionServer::~ConnectionServer()
{
    this->ending = true;
    this->accepting.join();
    for (std::thread &one : this->connections) {
        one.join();
    }
}

void ConnectionServer::accept()
{
    while (!this->ending) {
        if (this->socket.poll(LookTime, Poco::Net::Socket::SELECT_READ)) {
            this->connections.emplace_back([this, connection = this->socket.acceptConnection()]() mutable {
                try {
                    this->serve(connection, this->ending);
                } catch (const Poco::Exception &) {
                    // One side is gone; the other sees its connection end.
                }
            });
        }
    }
}

} // namespace Chestnuthook::Testing
