/** @file http_server_base.cpp  Accepts client connections and serves the requests on them. */
#include "http/http_server_base.h"

#include <exception>
#include <optional>
#include <utility>

#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "rpc/connection_acceptor_base.h"

namespace Chestnuthook
{

namespace
{

/** Limits of what is read from a connection after its last response. */
constexpr auto MaxDiscardTime = 1 * kj::SECONDS;
constexpr std::size_t MaxDiscardedBytes = 16UL << 20U;

/** What is discarded is read at up to 50 MB/s a connection: reading costs processor time, of which other requests would
 * get less. */
constexpr std::size_t DiscardedPartBytes = 512UL << 10U;
constexpr auto DiscardedPartDelay = 10 * kj::MILLISECONDS;

/** Number of connections that are closed at a time while new ones wait for descriptors. */
constexpr std::size_t MaxClosedAtOnce = 4;

/** A client must take each part of a response within a time, so that the slowest rate is 6.4 KB/s. */
constexpr std::size_t WrittenPartBytes = 64UL << 10U;
constexpr auto WriteTimeout = 10 * kj::SECONDS;

/** At most one line in this time tells that connections were dropped. */
constexpr Duration DroppedLogInterval = std::chrono::seconds(1);
constexpr std::size_t DefaultMemoryLimitBytes = 110UL << 20U;
constexpr std::size_t DefaultMaxDescriptors = 3000;

} // namespace

void HttpExchange::write(kj::WaitScope &scope, std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::string_view part = bytes.substr(0, WrittenPartBytes);
        this->timer.timeoutAfter(WriteTimeout, this->stream.write(part.data(), part.size())).wait(scope);
        bytes.remove_prefix(part.size());
    }
}

void HttpExchange::respond(kj::WaitScope &scope, ResponseHead response, std::string_view content)
{
    constexpr unsigned NoContent = 204;
    response.fields.remove("Content-Length");
    if (response.status != NoContent) {
        response.fields.add("Content-Length", std::to_string(content.size()));
    }
    if (this->closeAfterResponse) {
        response.fields.add("Connection", "close");
    }
    std::string bytes = formatHead(response);
    if (this->head.method != "HEAD") {
        bytes += content;
    }
    this->started = true;
    this->write(scope, bytes);
    this->complete = true;
}

void HttpExchange::respond(kj::WaitScope &scope, unsigned status, HttpFields fields, std::string_view content)
{
    ResponseHead response;
    response.status = status;
    response.fields = std::move(fields);
    this->respond(scope, std::move(response), content);
}

void HttpExchange::beginStream(kj::WaitScope &scope, ResponseHead response)
{
    response.fields.remove("Content-Length");
    response.fields.add("Transfer-Encoding", "chunked");
    if (this->closeAfterResponse) {
        response.fields.add("Connection", "close");
    }
    this->started = true;
    this->write(scope, formatHead(response));
}

void HttpExchange::writeChunk(kj::WaitScope &scope, std::string_view part)
{
    if (!part.empty()) {
        this->write(scope, formatChunk(part));
    }
}

void HttpExchange::endStream(kj::WaitScope &scope)
{
    this->write(scope, LastChunk);
    this->complete = true;
}

HttpServer::HttpServer(ControlLoop &loop, std::function<HttpLimits()> limits, Handler handler)
    : loop(loop)
    , limits(std::move(limits))
    , handler(std::move(handler))
    , fibers(StackBytes)
    , stopped(nullptr)
    , ownMemory(std::make_unique<RequestMemory>(DefaultMemoryLimitBytes, DefaultMaxDescriptors))
    , memory(this->ownMemory.get())
    , tasks(*this)
{
    this->fibers.setMaxFreelist(MaxUnusedStacks);
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->stopFulfiller = kj::mv(pair.fulfiller);
    this->stopped = pair.promise.fork();
}

HttpServer::HttpServer(ControlLoop &loop, Handler handler)
    : HttpServer(
        loop,
        []() {
            return HttpLimits();
        },
        std::move(handler))
{
}

kj::Promise<void> HttpServer::listen(const std::string &address)
{
    return this->loop.rpc().network.parseAddress(address).then([this](kj::Own<kj::NetworkAddress> &&parsed) {
        auto acceptor = kj::heap<ConnectionAcceptor>(
            this->loop.kjTimer(), parsed->listen(),
            [this](kj::Own<kj::AsyncIoStream> stream) {
                this->addConnection(kj::mv(stream));
            },
            [this]() {
                this->memory->closeConnections(this->loop.timers().now(), MaxClosedAtOnce);
            });
        auto acceptsUntilStopped = acceptor->run().exclusiveJoin(this->stopped.addBranch());
        return acceptsUntilStopped.attach(kj::mv(acceptor), kj::mv(parsed));
    });
}

void HttpServer::addConnection(kj::Own<kj::AsyncIoStream> stream)
{
    kj::AsyncIoStream &connection = *stream;
    setReceiveBuffer(connection, SmallReceiveBufferBytes);
    this->tasks.add(this->fibers
                        .startFiber([this, &connection](kj::WaitScope &scope) {
                            this->serveConnection(scope, connection);
                        })
                        .attach(kj::mv(stream)));
}

void HttpServer::serveConnection(kj::WaitScope &scope, kj::AsyncIoStream &stream)
{
    HttpInputStream input(stream);
    RequestMemory::Share share(*this->memory, this->loop.timers().now(), [&input]() {
        input.interrupt();
    });
    if (!share.isEvicted()) {
        this->serveRequests(scope, stream, input, share);
    }
    if (share.isEvicted()) {
        this->recordDropped();
    }
}

void HttpServer::serveRequests(
    kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInputStream &input, RequestMemory::Share &share)
{
    while (this->awaitRequest(scope, input, share)) {
        if (!this->serveRequest(scope, stream, input, share)) {
            if (!share.isEvicted()) { // Its memory is no longer counted, so it is closed at once.
                this->finishConnection(scope, stream, input);
            }
            return;
        }
    }
}

bool HttpServer::awaitRequest(kj::WaitScope &scope, HttpInputStream &input, RequestMemory::Share &share)
{
    if (share.isEvicted()) {
        return false;
    }
    if (!input.unreadBytes().empty()) {
        return true;
    }
    if (!this->accepting) {
        return false;
    }
    input.releaseBuffers();
    kj::Timer &timer = this->loop.kjTimer();
    input.setDeadline(timer, timer.now() + kjDuration(this->limits().idleTimeout));
    auto stop = this->stopped.addBranch().then([]() {
        return false;
    });
    if (!input.readMore().exclusiveJoin(kj::mv(stop)).wait(scope)) {
        kj::evalLater([]() {}).wait(scope); // Completes a read that has already taken bytes from the socket.
    }
    return !input.unreadBytes().empty() && !share.isEvicted();
}

void HttpServer::finishConnection(kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInputStream &input)
{
    ++this->activeRequests;
    KJ_DEFER(--this->activeRequests);
    try {
        stream.shutdownWrite();
    } catch (const kj::Exception & /*exception*/) {
        return; // The client has reset the connection.
    }
    kj::Timer &timer = this->loop.kjTimer();
    input.setDeadline(timer, timer.now() + MaxDiscardTime);
    std::size_t discardedBytes = 0;
    std::size_t pausedAt = 0;
    do {
        discardedBytes += input.unreadBytes().size();
        input.consume(input.unreadBytes().size());
        if (discardedBytes - pausedAt >= DiscardedPartBytes) {
            pausedAt = discardedBytes;
            timer.afterDelay(DiscardedPartDelay).wait(scope);
        }
    } while (discardedBytes <= MaxDiscardedBytes && input.readMore().wait(scope));
}

bool HttpServer::serveRequest(
    kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInputStream &input, RequestMemory::Share &share)
{
    ++this->activeRequests;
    KJ_DEFER(--this->activeRequests);
    KJ_DEFER(share.endRequest(this->loop.timers().now()));
    HttpExchange exchange(stream, this->loop.kjTimer());
    HttpReadResult read = HttpReadResult::Done;
    {
        const HttpLimits currentLimits = this->limits();
        RequestIntake intake(this->loop, stream, input, share, currentLimits, this->planBody);
        read = intake.read(scope, exchange.head, exchange.body, exchange.received);
        exchange.bodyDropped = intake.isBodyDropped();
    }
    if (read != HttpReadResult::Done) {
        exchange.body = std::string();
        share.endRequest(this->loop.timers().now());
        this->refuse(scope, exchange, read, input.hasTimedOut());
        return false;
    }
    share.beginHandling();
    input.clearDeadline();
    exchange.closeAfterResponse = this->draining || !exchange.head.keepAlive || exchange.bodyDropped;
    auto clientClosed = input.whenClosed().then([]() {
        return false;
    });
    // No exception may be thrown while the inner fiber exists: a fiber that is unwinding can't cancel another fiber.
    auto handled = this->fibers.startFiber([this, &exchange](kj::WaitScope &inner) {
        this->handle(inner, exchange);
        return true;
    });
    const bool keepConnection = handled.exclusiveJoin(kj::mv(clientClosed)).wait(scope);
    return keepConnection && exchange.isComplete() && !exchange.closeAfterResponse;
}

void HttpServer::refuse(kj::WaitScope &scope, HttpExchange &exchange, HttpReadResult read, bool isTimedOut)
{
    constexpr const char *RetryAfterSeconds = "1";
    exchange.closeAfterResponse = true;
    if (read == HttpReadResult::Interrupted) {
        this->recordDropped();
        HttpFields fields;
        fields.add("Retry-After", RetryAfterSeconds);
        exchange.respond(scope, HttpStatus::Unavailable, std::move(fields));
    } else if (isTimedOut) {
        exchange.respond(scope, HttpStatus::RequestTimeout);
    } else if (read == HttpReadResult::HeadTooLarge) {
        exchange.respond(scope, HttpStatus::HeaderTooLarge);
    } else if (read == HttpReadResult::BodyTooLarge) {
        exchange.respond(scope, HttpStatus::BodyTooLarge);
    } else if (read == HttpReadResult::Malformed) {
        exchange.respond(scope, HttpStatus::BadRequest);
    }
}

void HttpServer::recordDropped()
{
    metrics().add(MetricKind::ConnectionsDropped);
    ++this->droppedCount;
    const Instant now = this->loop.timers().now();
    if (this->droppedLoggedAt && now - *this->droppedLoggedAt < DroppedLogInterval) {
        return;
    }
    this->droppedLoggedAt = now;
    logEvent(EventKind::ConnectionsDropped,
        {{"count", std::to_string(std::exchange(this->droppedCount, 0))},
            {"connections", std::to_string(this->memory->connectionCount())},
            {"max_connections", std::to_string(this->memory->maxConnectionCount())},
            {"claimed_kb", std::to_string(this->memory->claimedBytes() >> 10U)},
            {"max_claimed_kb", std::to_string(this->memory->maxClaimedBytes() >> 10U)}});
}

void HttpServer::handle(kj::WaitScope &scope, HttpExchange &exchange)
{
    std::optional<std::string> failure;
    try {
        this->handler(scope, exchange);
    } catch (const kj::Exception &exception) {
        failure = exception.getDescription().cStr();
    } catch (const std::exception &exception) {
        failure = exception.what();
    }
    if (!failure) {
        return;
    }
    logEvent(EventKind::ConnectionFailed, {{"peer", "client"}, {"error", *failure}});
    if (!exchange.hasStarted()) {
        // The handler may have executed the request, so the status must not promise otherwise.
        exchange.closeAfterResponse = true;
        exchange.respond(scope, HttpStatus::InternalError);
    }
}

void HttpServer::taskFailed(kj::Exception &&exception)
{
    logEvent(EventKind::ConnectionFailed, {{"peer", "client"}, {"error", exception.getDescription().cStr()}});
}

} // namespace Chestnuthook
