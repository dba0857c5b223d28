/** @file raw_server.h  Test server whose responses are specified byte by byte. */
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "support/connection_server.h"

namespace Chestnuthook::Testing
{

/** Suffix of a response after which the server closes the connection; the suffix itself isn't sent. */
inline constexpr std::string_view CloseMark = "<close>";

/** Part of a response at which the server pauses for PauseTime; the mark itself isn't sent. */
inline constexpr std::string_view PauseMark = "<pause>";
inline constexpr auto PauseTime = std::chrono::milliseconds(50);

/** Server that responds to each request with the exact bytes returned by a handler. */
class RawServer
{
public:
    using Handler = std::function<std::string(const std::string &head, const std::string &body)>;
    /** Writes the response itself. @return whether the connection stays open. */
    using Responder =
        std::function<bool(Poco::Net::StreamSocket &connection, const std::string &head, const std::string &body)>;

    /** Listens on a free port of @p ip. @p handler runs on the threads of the connections. */
    RawServer(const std::string &ip, Handler handler);
    RawServer(const std::string &ip, Responder responder);

    /** See ConnectionServer::stopListening. */
    void stopListening()
    {
        this->server.stopListening();
    }
    /** See ConnectionServer::cutOff. */
    void cutOff(const std::vector<std::string> &sources)
    {
        this->server.cutOff(sources);
    }

private:
    void serve(Poco::Net::StreamSocket &connection, const std::atomic<bool> &stopping) const;

    Responder responder;
    ConnectionServer server; ///< Declared after `responder`, which its threads use from the start.

public:
    const std::string address; ///< ip:port.
};

/** Time that the server pauses during @p response. */
std::chrono::milliseconds pauseTimeOf(const std::string &response);

/** @p response without its pauses. */
std::string withoutPauses(std::string response);

/** Value of the field @p name in @p head; empty if it is missing. */
std::string fieldOf(const std::string &head, const std::string &name);

/** Signed response with status 200 to the request with @p head. PauseMark in @p body doesn't count in its length. */
std::string signedResponse(const std::string &head, const std::string &body, const std::string &extra = "");

/** @p response without its length, so that it ends with the connection. */
std::string withoutLength(std::string response);

/** @p response without its last @p bytes, followed by the close of the connection. */
std::string truncateAndClose(const std::string &response, std::size_t bytes);

/** Reads from @p connection until it closes or stays idle for @p idleTimeout. @throws Poco::Exception if it fails. */
std::string readUntilIdle(Poco::Net::StreamSocket &connection, std::chrono::milliseconds idleTimeout);

/** Sends @p request to @p address on a new connection. @return all bytes received until the connection closes or stays
 * idle for @p idleTimeout. @throws Poco::Exception if the connection fails. */
std::string sendRawRequest(
    const std::string &address, const std::string &request, std::chrono::milliseconds idleTimeout);

} // namespace Chestnuthook::Testing
