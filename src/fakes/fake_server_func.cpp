/** @file fake_server_func.cpp  HTTP server of all fakes. */
#include "fakes/fake_server_func.h"
#include "fakes/fake_json_func.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <sstream>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <xxhash.h>

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::int64_t DisconnectPollIntervalUs = 20000;
constexpr std::int64_t MaxHangUs = 60'000'000;
constexpr int ThreadStackBytes = 512 * 1024;
constexpr int PoolIdleSeconds = 60;
constexpr int KeepAliveSeconds = 60;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr std::string_view FakeRoutePrefix = "/fake/";

int socketOf(Poco::Net::HTTPServerRequest &request)
{
    auto *concrete = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request);
    return concrete == nullptr ? -1 : concrete->socket().impl()->sockfd();
}

/** Reads the body. Stops after the chunk that passes the limit, so that the caller can detect an oversized body. */
std::string readBody(std::istream &stream)
{
    std::string body;
    std::array<char, 16384> piece{};
    while (stream && body.size() <= MaxBodyBytes) {
        stream.read(piece.data(), piece.size());
        body.append(piece.data(), static_cast<std::size_t>(stream.gcount()));
    }
    return body;
}

FakeExchange makeExchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    FakeExchange exchange{request, response, socketOf(request), {}, {}, {}, {}, {}, {}, {}, {}};
    const Poco::URI uri(request.getURI());
    exchange.path = uri.getPath();
    for (const auto &[name, value] : uri.getQueryParameters()) {
        exchange.query[name] = value;
    }
    exchange.attempt = request.get("X-Attempt-Id", "");
    exchange.program = request.get("X-Program-Id", "");
    exchange.responseAttempt = exchange.attempt;
    exchange.body = readBody(request.stream());
    return exchange;
}

FakeLedgerEntry makeEntry(const FakeExchange &exchange)
{
    FakeLedgerEntry entry;
    entry.attempt = exchange.attempt;
    entry.program = exchange.program;
    entry.method = exchange.request.getMethod();
    entry.path = exchange.path;
    entry.query = Poco::URI(exchange.request.getURI()).getRawQuery();
    for (const auto &[name, value] : exchange.request) {
        entry.headers.emplace_back(name, value);
    }
    entry.bodyDigest = fakeDigest(exchange.body);
    entry.startMs = fakeNowMs();
    return entry;
}

Poco::JSON::Object::Ptr errorJson(const std::string &code, const std::string &message)
{
    Poco::JSON::Object::Ptr error = new Poco::JSON::Object;
    error->set("code", code);
    error->set("message", message);
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("error", error);
    return json;
}

FakeOutcome health(FakeExchange &exchange, const FakeServerContext &common)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("status", "ok");
    json->set("name", common.name);
    json->set("data_centre", common.dataCentre);
    return sendJson(exchange, StatusOk, json);
}

Result<FakeFaultSpec> parseFault(const Poco::JSON::Object &json)
{
    const auto kind = fakeFaultKind(fakeField<std::string>(json, "kind", ""));
    if (!kind) {
        return fail(ErrorKind::BadRequest, "kind must be crash, hang, slow, truncate, refuse, late, crossed or gap");
    }
    const auto count = fakeField<std::int64_t>(json, "count", 1);
    const auto delayMs = fakeField<std::int64_t>(json, "delay_ms", 0);
    const auto afterTokens = fakeField<std::int64_t>(json, "after_tokens", 0);
    if (count < 0 || delayMs < 0 || afterTokens < 0) {
        return fail(ErrorKind::BadRequest, "count, delay_ms and after_tokens must not be negative");
    }
    FakeFaultSpec spec;
    spec.kind = *kind;
    spec.match = fakeField<std::string>(json, "match", "");
    spec.path = fakeField<std::string>(json, "path", "");
    spec.count = static_cast<std::uint64_t>(count);
    spec.delayMs = delayMs;
    spec.afterTokens = static_cast<std::uint64_t>(afterTokens);
    return spec;
}

FakeOutcome handleFaultRoute(FakeExchange &exchange, FakeServerContext &common)
{
    Poco::JSON::Object::Ptr answer = new Poco::JSON::Object;
    answer->set("ok", true);
    if (exchange.request.getMethod() == "DELETE") {
        common.faults.clear();
        return sendJson(exchange, StatusOk, answer);
    }
    const auto spec = parseBody(exchange).and_then([](const auto &json) {
        return parseFault(*json);
    });
    if (!spec) {
        return sendError(exchange, StatusBadRequest, "bad_request", spec.error().what);
    }
    common.faults.add(*spec);
    return sendJson(exchange, StatusOk, answer);
}

/** Applies the faults that take effect before the request is handled. @return nothing if it is to be handled. */
std::optional<FakeOutcome> applyEarlyFault(FakeExchange &exchange)
{
    if (hasFault(exchange, FakeFaultKind::Crash) && exchange.fault && exchange.fault->afterTokens == 0) {
        waitUnlessDisconnected(exchange, exchange.fault->delayMs * 1000);
        _exit(1);
    }
    if (hasFault(exchange, FakeFaultKind::Hang)) {
        waitUnlessDisconnected(exchange, MaxHangUs);
        abortConnection(exchange);
        return FakeOutcome::Fault;
    }
    if (hasFault(exchange, FakeFaultKind::Refuse)) {
        return sendError(exchange, StatusUnavailable, "refused", "refused by an ordered fault");
    }
    return std::nullopt;
}

FakeOutcome serveWithFaults(FakeExchange &exchange, const FakeRequestHandler &serve)
{
    if (const auto taken = applyEarlyFault(exchange)) {
        return *taken;
    }
    try {
        return serve(exchange);
    } catch (const std::exception &error) {
        if (exchange.response.sent()) {
            return FakeOutcome::Cancelled;
        }
        return sendError(exchange, StatusBadRequest, "bad_request", error.what());
    }
}

void recordAndServe(FakeExchange &exchange, FakeServerContext &common, const FakeRequestHandler &serve)
{
    const std::size_t number = common.ledger.begin(makeEntry(exchange));
    const bool work = exchange.path.starts_with(common.workPath);
    exchange.fault = common.faults.take(exchange.path, work, exchange.body);
    if (hasFault(exchange, FakeFaultKind::Crossed)) {
        exchange.responseAttempt = common.ledger.otherAttempt(exchange.attempt);
    }
    const FakeOutcome outcome = serveWithFaults(exchange, serve);
    common.ledger.end(number, outcome, exchange.note, fakeNowMs());
}

void route(FakeExchange &exchange, FakeServerContext &common, const FakeRequestHandler &serve)
{
    if (exchange.body.size() > MaxBodyBytes) {
        exchange.response.setKeepAlive(false);
        sendError(exchange, StatusTooLarge, "body_too_large", "a body is at most 4 MiB");
    } else if (exchange.path == "/healthz") {
        health(exchange, common);
    } else if (exchange.path == "/fake/ledger") {
        sendJson(exchange, StatusOk, common.ledger.toJson());
    } else if (exchange.path == "/fake/fault") {
        serveWithFaults(exchange, [&common](FakeExchange &request) {
            return handleFaultRoute(request, common);
        });
    } else if (exchange.path.starts_with(FakeRoutePrefix)) {
        serveWithFaults(exchange, serve);
    } else {
        recordAndServe(exchange, common, serve);
    }
}

/** Sends an error for a request that could not be read. */
void rejectUnreadableRequest(Poco::Net::HTTPServerResponse &response)
{
    if (response.sent()) {
        return;
    }
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
    response.setContentType("application/json");
    response.setKeepAlive(false);
    errorJson("bad_request", "the request can't be read")->stringify(response.send());
}

class FakeHttpHandler : public Poco::Net::HTTPRequestHandler
{
public:
    FakeHttpHandler(FakeServerContext &serverContext, const FakeRequestHandler &requestHandler)
        : common(serverContext)
        , serve(requestHandler)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        try {
            FakeExchange exchange = makeExchange(request, response);
            route(exchange, this->common, this->serve);
        } catch (const Poco::Exception &error) {
            std::fprintf(stderr, "event=fake_request_failed reason=\"%s\"\n", error.displayText().c_str());
            rejectUnreadableRequest(response);
        }
    }

private:
    FakeServerContext &common; ///< Must outlive the server.
    const FakeRequestHandler &serve; ///< Must outlive the server.
};

class FakeHttpHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    FakeHttpHandlerFactory(FakeServerContext &serverContext, const FakeRequestHandler &requestHandler)
        : common(serverContext)
        , serve(requestHandler)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new FakeHttpHandler(this->common, this->serve);
    }

private:
    FakeServerContext &common; ///< Must outlive the server.
    const FakeRequestHandler &serve; ///< Must outlive the server.
};

Poco::Net::HTTPServerParams::Ptr serverParams()
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(FakeServer::MaxConnections);
    params->setMaxQueued(FakeServer::MaxConnections);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
    return params;
}

FakeOutcome outcomeOf(const FakeExchange &exchange, int status)
{
    if (status >= StatusBadRequest) {
        return FakeOutcome::Refused;
    }
    return hasFault(exchange, FakeFaultKind::Crossed) ? FakeOutcome::Fault : FakeOutcome::Ok;
}

FakeOutcome sendTruncated(FakeExchange &exchange, const std::string &text)
{
    exchange.response.send() << text.substr(0, text.size() / 2) << std::flush;
    abortConnection(exchange);
    return FakeOutcome::Fault;
}

} // namespace

std::int64_t fakeNowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string fakeDigest(std::string_view text)
{
    std::array<char, 17> hex{};
    std::snprintf(
        hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return hex.data();
}

std::vector<std::string> fakeSplit(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

bool hasFault(const FakeExchange &exchange, FakeFaultKind kind)
{
    return exchange.fault && exchange.fault->kind == kind;
}

std::int64_t faultDelayMs(const FakeExchange &exchange, FakeFaultKind kind)
{
    return exchange.fault && exchange.fault->kind == kind ? exchange.fault->delayMs : 0;
}

bool clientDisconnected(const FakeExchange &exchange)
{
    pollfd watched{exchange.socket, POLLRDHUP, 0};
    return poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

bool waitUnlessDisconnected(const FakeExchange &exchange, std::int64_t waitUs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::microseconds(waitUs);
    while (!clientDisconnected(exchange)) {
        const auto left = until - std::chrono::steady_clock::now();
        if (left <= left.zero()) {
            return true;
        }
        std::this_thread::sleep_for(
            std::min<std::chrono::nanoseconds>(left, std::chrono::microseconds(DisconnectPollIntervalUs)));
    }
    return false;
}

void abortConnection(const FakeExchange &exchange)
{
    exchange.response.setKeepAlive(false);
    shutdown(exchange.socket, SHUT_RDWR);
}

Result<Poco::JSON::Object::Ptr> parseBody(const FakeExchange &exchange)
{
    try {
        const auto value = Poco::JSON::Parser().parse(exchange.body);
        if (value.type() == typeid(Poco::JSON::Object::Ptr)) {
            return value.extract<Poco::JSON::Object::Ptr>();
        }
    } catch (const Poco::Exception &error) {
        return fail(ErrorKind::BadRequest, "the body is not JSON");
    }
    return fail(ErrorKind::BadRequest, "the body must be a JSON object");
}

FakeOutcome sendJson(FakeExchange &exchange, int status, const Poco::JSON::Object::Ptr &json)
{
    if (!waitUnlessDisconnected(exchange, faultDelayMs(exchange, FakeFaultKind::Late) * 1000)) {
        return FakeOutcome::Cancelled;
    }
    std::ostringstream text;
    json->stringify(text);
    exchange.response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    exchange.response.setContentType("application/json");
    exchange.response.setContentLength64(static_cast<Poco::Int64>(text.str().size()));
    if (!exchange.responseAttempt.empty()) {
        exchange.response.set("X-Attempt-Id", exchange.responseAttempt);
    }
    if (hasFault(exchange, FakeFaultKind::Truncate)) {
        return sendTruncated(exchange, text.str());
    }
    std::ostream &out = exchange.response.send();
    out << text.str() << std::flush;
    return out ? outcomeOf(exchange, status) : FakeOutcome::Cancelled;
}

FakeOutcome sendError(FakeExchange &exchange, int status, const std::string &code, const std::string &message)
{
    return sendJson(exchange, status, errorJson(code, message));
}

FakeServer::FakeServer(FakeServerContext &serverContext, FakeRequestHandler requestHandler)
    : common(serverContext)
    , serve(std::move(requestHandler))
    , pool(2, MaxConnections + 2, PoolIdleSeconds, ThreadStackBytes)
{
}

Result<std::string> FakeServer::start(const std::string &address)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true, false);
        socket.listen(MaxConnections);
        this->server = std::make_unique<Poco::Net::HTTPServer>(
            new FakeHttpHandlerFactory(this->common, this->serve), this->pool, socket, serverParams());
        this->server->start();
        return socket.address().toString();
    } catch (const Poco::Exception &error) {
        return fail(ErrorKind::AddressInUse, "cannot listen on " + address + ": " + error.displayText());
    }
}

} // namespace Chestnuthook
