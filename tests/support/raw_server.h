/** @file raw_server.h  Test server whose responses are specified byte by byte. */
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "support/connection_server.h"

namespace Chestnuthook::Testing
{

/** Suffix of a response after which the server closes the connection; the suffix itself isn't sent. */
inline constexpr std::string_view CloseMark = "<close>";

/** Server that responds to each request with the exact bytes returned by a handler. */
class RawServer
{
public:
    using Handler = std::function<std::string(const std::string &head, const std::string &body)>;

    /** Listens on a free port of @p ip. @p handler runs on the threads of the connections. */
    RawServer(const std::string &ip, Handler handler);

private:
    void serve(Poco::Net::StreamSocket &connection, const std::atomic<bool> &stopping) const;

    Handler handler;
    ConnectionServer server; ///< Declared after `handler`, which its threads use from the start.

public:
    const std::string address; ///< ip:port.
};

/** Value of the field @p name in @p head; empty if it is missing. */
std::string fieldOf(const std::string &head, const std::string &name);

/** Signed response with status 200 to the request with @p head. */
std::string signedResponse(const std::string &head, const std::string &body, const std::string &extra = "");

/** @p response without its last @p bytes, followed by the close of the connection. */
std::string truncateAndClose(const std::string &response, std::size_t bytes);

/** Sends @p request to @p address on a new connection. @return all bytes received until the connection closes or stays
 * idle for @p idleTimeout. @throws Poco::Exception if the connection fails. */
std::string sendRawRequest(
    const std::string &address, const std::string &request, std::chrono::milliseconds idleTimeout);

/** Response to one request, as the client received it. */
struct RawResponse
{
    int status = 0; ///< HTTP status; 0 if there was no response.
    bool complete = false; ///< The body ended as HTTP requires.
    std::string head; ///< Status line and header fields.
    std::string body; ///< Body without chunk framing.
};

/** Parses the bytes of a response. A chunk that didn't arrive whole is left out of the body. */
RawResponse parseRawResponse(const std::string &bytes);

} // namespace Chestnuthook::Testing
