/** @file request_handler_base.h  Handles one HTTP request: routing, authentication and admission. */
#pragma once

#include <string>
#include <vector>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "entry/entry_context_type.h"
#include "entry/response_writer_base.h"

namespace Chestnuthook
{

class RequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit RequestHandler(EntryContext &context);
    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override;

private:
    using Request = Poco::Net::HTTPServerRequest;
    using Response = Poco::Net::HTTPServerResponse;

    void route(Request &request, HttpResponseWriter &writer);
    void serveClient(Request &request, HttpResponseWriter &writer, const std::vector<std::string> &path);
    void listEntries(Request &request, HttpResponseWriter &writer);
    void readyz(HttpResponseWriter &writer);

    /** Identifies the client by its API key. Errors: UnknownKey, NotReady. */
    Result<ClientIdentity> authenticate(const Request &request, HttpResponseWriter &writer);

    /** Whether the request is for a service route that needs no API key. */
    bool isPublicRoute(const Request &request, const std::vector<std::string> &path) const;

    EntryContext &context; ///< Shared state of the entry.
};

class RequestHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit RequestHandlerFactory(EntryContext &context)
        : context(context)
    {
    }
    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new RequestHandler(this->context);
    }

private:
    EntryContext &context; ///< Shared state of the entry.
};

} // namespace Chestnuthook
