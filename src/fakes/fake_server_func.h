/** @file fake_server_func.h  HTTP server of all fakes: requests, JSON responses, ledger and fault injection. */
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

/** State that every fake server has. */
struct FakeServerContext
{
    std::string name; ///< Name of the engine, service or platform.
    std::string dataCentre; ///< Data centre that it reports.
    std::string workPath; ///< Prefix of the work paths, which faults without a path affect.
    FakeLedger ledger; ///< All requests except health checks and `/fake/` routes.
    FakeFaultQueue faults; ///< Faults that are still to be injected.
};

/** A request and its response; used by the thread of its connection only. */
struct FakeExchange
{
    Poco::Net::HTTPServerRequest &request; ///< Request headers and body stream.
    Poco::Net::HTTPServerResponse &response; ///< Response to send.
    int socket = -1; ///< File descriptor of the connection, to detect a disconnect of the client.
    std::string path; ///< Path without the query.
    std::map<std::string, std::string> query; ///< Decoded query parameters.
    std::string body; ///< Complete request body.
    std::string attempt; ///< Header X-Attempt-Id.
    std::string program; ///< Header X-Program-Id.
    std::string responseAttempt; ///< Attempt id of the response; that of another request for a crossed fault.
    std::optional<FakeFaultSpec> fault; ///< Fault to inject.
    std::string note; ///< Details for the ledger.
};

using FakeRequestHandler = std::function<FakeOutcome(FakeExchange &)>; ///< Handles one request.

/** Current Unix time in milliseconds. */
[[nodiscard]] std::int64_t fakeNowMs();
/** Hash of @p text as 16 hexadecimal digits. */
[[nodiscard]] std::string fakeDigest(std::string_view text);
/** Splits @p text at @p separator and drops empty parts. */
[[nodiscard]] std::vector<std::string> fakeSplit(const std::string &text, char separator);

/** Whether @p exchange has a fault of @p kind. */
[[nodiscard]] bool hasFault(const FakeExchange &exchange, FakeFaultKind kind);
/** Delay of the fault in milliseconds if it is of @p kind; otherwise 0. */
[[nodiscard]] std::int64_t faultDelayMs(const FakeExchange &exchange, FakeFaultKind kind);
/** Whether the client has closed its side of the connection. */
[[nodiscard]] bool clientDisconnected(const FakeExchange &exchange);
/** Waits @p waitUs microseconds. @return false as soon as the client has disconnected. */
bool waitUnlessDisconnected(const FakeExchange &exchange, std::int64_t waitUs);
/** Closes the connection before the response is complete. */
void abortConnection(const FakeExchange &exchange);

/** Parses the body as a JSON object. Errors: BadRequest. */
[[nodiscard]] Result<Poco::JSON::Object::Ptr> parseBody(const FakeExchange &exchange);
/** Sends @p json with @p status. Applies late, truncate and crossed faults. */
FakeOutcome sendJson(FakeExchange &exchange, int status, const Poco::JSON::Object::Ptr &json);
/** Sends an error as JSON with @p status. */
FakeOutcome sendError(FakeExchange &exchange, int status, const std::string &code, const std::string &message);

/** HTTP server of a fake. */
class FakeServer
{
public:
    static constexpr int MaxConnections = 600; ///< Number of connections served at the same time.

    FakeServer(FakeServerContext &common, FakeRequestHandler serve);
    /** Listens on @p address (`ip:port`, port 0 for any free port). @return the bound address. Errors: AddressInUse. */
    Result<std::string> start(const std::string &address);

private:
    FakeServerContext &common; ///< Must outlive the server.
    FakeRequestHandler serve; ///< Handles all requests except the common routes.
    Poco::ThreadPool pool; ///< One thread per connection.
    std::unique_ptr<Poco::Net::HTTPServer> server; ///< Created by start().
};

} // namespace Chestnuthook
