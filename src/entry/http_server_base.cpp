/** @file http_server_base.cpp  Starts and stops POCO's HTTP server. */
#include "entry/http_server_base.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/ThreadPool.h>

#include "entry/limited_socket_base.h"
#include "entry/request_handler_base.h"

namespace Chestnuthook
{

namespace
{

constexpr int ThreadStackBytes = 256 * 1024;
constexpr int IdleTimeoutSeconds = 30;
constexpr int MaxQueuedConnections = 512;

} // namespace

EntryServer::EntryServer(EntryContext &context)
    : context(context)
{
}

Result<void> EntryServer::start(const std::string &address, const ClientPortSettings &clientPort)
{
    auto port = std::make_shared<ClientPort>(clientPort.limits);
    if (!clientPort.tlsCertificate.empty()) {
        port->certificate = std::make_unique<TlsCertificate>(clientPort.tlsCertificate, clientPort.tlsKey);
        Result<void> loaded = port->certificate->load();
        if (!loaded) {
            return loaded;
        }
    }
    try {
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
        params->setMaxThreads(clientPort.limits.maxConnections);
        params->setMaxQueued(MaxQueuedConnections);
        params->setTimeout(Poco::Timespan(IdleTimeoutSeconds, 0));
        params->setKeepAlive(true);
        this->threads = std::make_unique<Poco::ThreadPool>(
            2, clientPort.limits.maxConnections, IdleTimeoutSeconds, ThreadStackBytes);
        this->server = std::make_unique<Poco::Net::HTTPServer>(
            new RequestHandlerFactory(this->context), *this->threads, listenForClients(port, address), params);
        this->server->setConnectionFilter(makeConnectionFilter());
        this->server->start();
    } catch (const Poco::Exception &exception) {
        return fail(ErrorKind::AddressInUse, address + ": " + exception.displayText());
    }
    return {};
}

void EntryServer::stop(bool cutRequests)
{
    if (this->server != nullptr) {
        this->server->stopAll(cutRequests);
        this->threads->stopAll();
        this->server.reset();
    }
}

} // namespace Chestnuthook
