/** @file fake_server_func.h  The HTTP parts that all stand-ins share: exchanges, JSON answers, ledger and faults. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include "core/error_type.h"
#include "fakes/fake_fault_base.h"
#include "fakes/fake_ledger_base.h"

namespace Chestnuthook
{

/** What each stand-in has besides its own state. */
struct FakeCommon
{
    std::string name; ///< The name of the service or engine.
    std::string dataCentre; ///< Where it says that it stands.
    std::string workPath; ///< Prefix of the paths that faults without a path strike.
    FakeLedger ledger; ///< All requests but health checks and `/fake/` routes.
    FakeFault faults; ///< What is still to go wrong.
};

/** One request with its answer under way; lives on the thread of its connection. */
struct FakeExchange
{
    Poco::Net::HTTPServerRequest &request; ///< The request.
    Poco::Net::HTTPServerResponse &response; ///< The answer.
    int socket = -1; ///< The connection, to see whether the client has gone.
    std::string path; ///< The path without the query.
    std::map<std::string, std::string> query; ///< The decoded parameters of the query.
    std::string body; ///< The whole body.
    std::string attempt; ///< Header X-Attempt-Id.
    std::string program; ///< Header X-Program-Id.
    std::string answerAttempt; ///< The attempt id that the answer carries; another one where it is crossed.
    std::optional<FakeFaultSpec> fault; ///< What goes wrong with it.
    std::string note; ///< Goes into the ledger.
};

using FakeServe = std::function<FakeOutcome(FakeExchange &)>; ///< Answers one request.

/** Unix time in milliseconds. */
[[nodiscard]] std::int64_t fakeNowMs();
/** The hash of @p text as 16 hex digits. */
[[nodiscard]] std::string fakeDigest(std::string_view text);
/** The parts of @p text between separators; empty ones are left out. */
[[nodiscard]] std::vector<std::string> fakeSplit(const std::string &text, char separator);

/** Whether the fault of @p exchange is of @p kind. */
[[nodiscard]] bool hasFault(const FakeExchange &exchange, FakeFaultKind kind);
/** The delay of the fault in milliseconds if it is of @p kind, else 0. */
[[nodiscard]] std::int64_t faultDelayMs(const FakeExchange &exchange, FakeFaultKind kind);
/** Whether the client has closed its side. */
[[nodiscard]] bool clientGone(const FakeExchange &exchange);
/** Waits @p waitUs microseconds; false as soon as the client has gone. */
bool waitWhileHeld(const FakeExchange &exchange, std::int64_t waitUs);
/** Closes the connection with the answer unfinished. */
void closeMidway(const FakeExchange &exchange);

/** The body as a JSON object; BadRequest where it is none. */
[[nodiscard]] Result<Poco::JSON::Object::Ptr> parseBody(const FakeExchange &exchange);
/** Sends @p json with @p status; this is where a late, truncated or crossed answer comes about. */
FakeOutcome sendJson(FakeExchange &exchange, int status, const Poco::JSON::Object::Ptr &json);
/** Sends a JSON error with @p status. */
FakeOutcome sendError(FakeExchange &exchange, int status, const std::string &code, const std::string &message);

/** A bound stand-in server. */
class FakeServer
{
public:
    static constexpr int ConnectionBound = 600; ///< Connections served at the same time.

    FakeServer(FakeCommon &common, FakeServe serve);
    /** Binds @p address (`ip:port`, port 0 for any) and starts; the result is the bound address. */
    Result<std::string> start(const std::string &address);

private:
    FakeCommon &common; ///< Outlives the server.
    FakeServe serve; ///< Answers what the common routes don't.
    Poco::ThreadPool pool; ///< One thread per connection.
    std::unique_ptr<Poco::Net::HTTPServer> server; ///< Set by start().
};

} // namespace Chestnuthook
