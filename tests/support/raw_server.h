/** @file raw_server.h  A stand-in server whose answers are given byte for byte. */
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "support/connection_server.h"

namespace Chestnuthook::Testing
{

/** At the end of an answer: the connection is closed after the bytes before it. */
inline constexpr std::string_view CloseMark = "<close>";

/** A server that answers each request with the bytes that the handler gives. */
class RawServer
{
public:
    using Handler = std::function<std::string(const std::string &head, const std::string &body)>;

    /** Listens on a free port of @p ip; @p handler runs on the connections' threads. */
    RawServer(const std::string &ip, Handler handler);

private:
    void answer(Poco::Net::StreamSocket &connection, const std::atomic<bool> &ending) const;

    Handler handler; ///< As given.
    ConnectionServer server; ///< Last, so that it starts when the handler stands.

public:
    const std::string address; ///< ip:port.
};

/** The field @p name of @p head; empty where it is missing. */
std::string fieldOf(const std::string &head, const std::string &name);

/** A signed answer with status 200 to the request with @p head. */
std::string answerBytes(const std::string &head, const std::string &body, const std::string &extra = "");

/** @p answer without its last @p bytes, and then the end of the connection. */
std::string cutShort(const std::string &answer, std::size_t bytes);

/** Sends @p request to @p address on a connection of its own. @return what came until the connection ended, or nothing
 * came for @p patience. Throws Poco::Exception where it can't connect. */
std::string rawExchange(const std::string &address, const std::string &request, std::chrono::milliseconds patience);

} // namespace Chestnuthook::Testing
