/** @file response_writer_base.h  Where the answer to one request goes: to the caller's own connection, or through the
 * entry that the caller reached. */
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

/** For one request on one traffic thread: start once, write any number of times, end once. */
class ResponseWriter
{
public:
    ResponseWriter() = default;
    virtual ~ResponseWriter() = default;
    ResponseWriter(const ResponseWriter &) = delete;
    ResponseWriter &operator=(const ResponseWriter &) = delete;

    /** @param length bytes of the body, or -1 for a stream. */
    virtual void start(int status, const std::vector<HttpHeader> &headers, std::int64_t length) = 0;
    /** @return false where the caller has gone. */
    virtual bool write(std::string_view bytes) = 0;
    virtual void end() = 0;

    /** Whether nobody waits for the answer any more: the caller has closed its connection, or its key was withdrawn. */
    virtual bool isAbandoned() = 0;

    [[nodiscard]] virtual bool isStarted() const = 0;
};

/** Writes to the caller's connection. */
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

    std::function<bool()> isKeyValid; ///< Asked now and then while the answer is under way; empty for open routes.

private:
    /** Ends the answer by an error: the caller is connected, but may have nothing more. */
    void sendKeyWithdrawn();

    Poco::Net::HTTPServerResponse &response; ///< Outlives this.
    int socket; ///< The caller's connection, to see whether it was closed.
    std::ostream *stream = nullptr; ///< Set by start.
    bool writeFailed = false; ///< A write failed.
    bool errorSent = false; ///< The caller was told that its key was withdrawn.
};

/** Sends @p body as JSON. */
void replyJson(ResponseWriter &writer, int status, const std::string &body);

/** Sends text of another type. */
void replyText(ResponseWriter &writer, int status, const std::string &type, const std::string &body);

/** Sends @p error with its code, message, remedy, and whether the request ran. */
void replyError(ResponseWriter &writer, const Error &error);

} // namespace Chestnuthook
