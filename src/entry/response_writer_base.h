/** @file response_writer_base.h  Writes the response to one request, either to the connection of the client or, for a
 * forwarded request, to the entry that received it. */
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "core/error_type.h"
#include "endpoint/attempt_type.h"

namespace Chestnuthook
{

/** For one request on one traffic thread: call `start` once, `write` any number of times, then `end` once. */
class ResponseWriter
{
public:
    ResponseWriter() = default;
    virtual ~ResponseWriter() = default;
    ResponseWriter(const ResponseWriter &) = delete;
    ResponseWriter &operator=(const ResponseWriter &) = delete;

    /** Sends the status and headers. @param length size of the body in bytes, or -1 for a stream. */
    virtual void start(int status, const std::vector<HttpHeader> &headers, std::int64_t length) = 0;
    /** Sends part of the body. @return false if the client has disconnected. */
    virtual bool write(std::string_view bytes) = 0;
    virtual void end() = 0;

    /** Whether the response is no longer needed: the client has disconnected or its API key was withdrawn. */
    virtual bool isAbandoned() = 0;

    [[nodiscard]] virtual bool isStarted() const = 0;
};

/** Writes to the connection of the client. */
class HttpResponseWriter final : public ResponseWriter
{
public:
    HttpResponseWriter(
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, bool closeConnection);

    void start(int status, const std::vector<HttpHeader> &headers, std::int64_t length) override;
    bool write(std::string_view bytes) override;
    void end() override;
    bool isAbandoned() override;
    [[nodiscard]] bool isStarted() const override
    {
        return this->stream != nullptr;
    }

    std::function<bool()> isKeyValid; ///< Polled by isAbandoned; empty for routes that need no key.

private:
    /** Ends the response with an error, as the key of the client, which is still connected, was withdrawn. */
    void sendKeyWithdrawn();

    Poco::Net::HTTPServerResponse &response; ///< Outlives this.
    int socket; ///< Descriptor of the connection, to detect that the client has closed it; -1 if unknown.
    std::ostream *stream = nullptr; ///< Body stream, set by `start`.
    bool writeFailed = false; ///< A write to the connection has failed.
    bool errorSent = false; ///< The error for a withdrawn key was sent.
};

/** Sends a response with a JSON body. */
void replyJson(ResponseWriter &writer, int status, const std::string &body);

/** Sends a response with a body of content type @p type. */
void replyText(ResponseWriter &writer, int status, const std::string &type, const std::string &body);

/** Sends an error response: code, message, remedy, and whether the request was run. */
void replyError(ResponseWriter &writer, const Error &error);

} // namespace Chestnuthook
