/** @file http_server_base.h  HTTP/1.1 server that runs a handler for each request in a fiber. */
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <kj/async-io.h>

#include "core/timer_base.h"
#include "http/request_intake_base.h"
#include "http/request_memory_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** A request and its response. */
class HttpExchange
{
public:
    HttpExchange(kj::AsyncIoStream &stream, kj::Timer &timer)
        : stream(stream)
        , timer(timer)
    {
    }

    /** Sends a complete response. */
    void respond(kj::WaitScope &scope, ResponseHead response, std::string_view content);
    void respond(kj::WaitScope &scope, unsigned status, HttpFields fields = {}, std::string_view content = {});
    /** Starts a response with a chunked body. */
    void beginStream(kj::WaitScope &scope, ResponseHead response);
    void writeChunk(kj::WaitScope &scope, std::string_view part);
    /** Ends a chunked body. If the handler returns without calling this, the connection is closed, so that the client
     * can't take the response for a complete one. */
    void endStream(kj::WaitScope &scope);

    [[nodiscard]] bool hasStarted() const
    {
        return this->started;
    }
    [[nodiscard]] bool isComplete() const
    {
        return this->complete;
    }

    RequestHead head; ///< Of the request.
    std::string body; ///< Complete request body; empty if it was dropped.
    bool bodyDropped = false; ///< The body wasn't read; see `HttpServer::planBody`.
    Instant received{0}; ///< When the head of the request was received.
    bool closeAfterResponse = false; ///< Sends `Connection: close` and closes the connection after the response.

private:
    /** @throws kj::Exception if the connection fails or the client doesn't read. */
    void write(kj::WaitScope &scope, std::string_view bytes);

    kj::AsyncIoStream &stream; ///< Connection to the client.
    kj::Timer &timer; ///< Must outlive this object.
    bool started = false; ///< Sending of the response head has started.
    bool complete = false; ///< The complete response was sent.
};

/** Must be used on the control thread only. */
class HttpServer final : private kj::TaskSet::ErrorHandler
{
public:
    /** Responds to a request. The handler's fiber is cancelled when the client closes the connection, and its writes
     * throw kj::Exception when the connection fails. It may throw kj::Exception and std::exception. */
    using Handler = std::function<void(kj::WaitScope &, HttpExchange &)>;

    HttpServer(ControlLoop &loop, std::function<HttpLimits()> limits, Handler handler);
    /** Uses the default limits. */
    HttpServer(ControlLoop &loop, Handler handler);

    /** Asked before a large body is read, whether the handler will use it. If not, the handler is called at once
     * with an empty body and `bodyDropped` set, and the connection is closed after the response. */
    BodyPlanner planBody;

    /** Shares the memory for connections and requests with other servers of the process. Without a call, this server
     * alone has that of a process with 110 MB. @p memory must outlive this object. */
    void setMemory(RequestMemory &memory)
    {
        this->memory = &memory;
    }

    /** Accepts connections at @p address. The promise resolves when `stopAccepting` is called; it is rejected if the
     * address can't be bound, and for no other reason. */
    [[nodiscard]] kj::Promise<void> listen(const std::string &address);

    /** Closes each connection after its next response from now on. */
    void drain()
    {
        this->draining = true;
    }
    /** Closes the ports and all connections without an active request. */
    void stopAccepting()
    {
        this->accepting = false;
        this->stopFulfiller->fulfill();
    }
    /** Number of requests that are being read or handled, or whose client has not received the response yet. */
    [[nodiscard]] std::size_t activeRequestCount() const
    {
        return this->activeRequests;
    }

private:
    void addConnection(kj::Own<kj::AsyncIoStream> stream);
    /** Waits for the first bytes of a request. @return false if the connection is to be closed. */
    bool awaitRequest(kj::WaitScope &scope, HttpInputStream &input, RequestMemory::Share &share);
    /** Serves the requests of a connection until it is to be closed. */
    void serveRequests(
        kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInputStream &input, RequestMemory::Share &share);
    void serveConnection(kj::WaitScope &scope, kj::AsyncIoStream &stream);
    /** Ends the connection after its last response. Closing it while the client still sends would reset it, and the
     * client might lose the response. */
    void finishConnection(kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInputStream &input);
    /** Reads and serves one request. @return whether the connection can be reused. */
    bool serveRequest(
        kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInputStream &input, RequestMemory::Share &share);
    /** Responds to a request that wasn't received completely. */
    void refuse(kj::WaitScope &scope, HttpExchange &exchange, HttpReadResult read, bool isTimedOut);
    /** Counts a connection that was closed, or a request that was refused, for lack of memory or connections. */
    void recordDropped();
    /** Runs the handler. If it throws before it has started a response, the client gets one with status 500. */
    void handle(kj::WaitScope &scope, HttpExchange &exchange);
    void taskFailed(kj::Exception &&exception) override;

    /** Stack size of each fiber; only the pages that are touched take memory. */
    static constexpr std::size_t StackBytes = 256U << 10U;
    /** Number of unused stacks that are kept. Each takes the pages that were ever touched. */
    static constexpr std::size_t MaxUnusedStacks = 64;

    ControlLoop &loop; ///< Must outlive this object.
    std::function<HttpLimits()> limits; ///< Called for each request, so that changed limits apply to the next one.
    Handler handler;
    kj::FiberPool fibers; ///< Reuses the stacks of finished fibers.
    bool draining = false; ///< See `drain`.
    bool accepting = true; ///< See `stopAccepting`.
    kj::Own<kj::PromiseFulfiller<void>> stopFulfiller; ///< Resolves `stopped`.
    kj::ForkedPromise<void> stopped; ///< Resolves when `stopAccepting` is called.
    std::size_t activeRequests = 0; ///< See `activeRequestCount`.
    std::unique_ptr<RequestMemory> ownMemory; ///< Used without a call of `setMemory`.
    RequestMemory *memory; ///< Accounts for connections and requests.
    std::optional<Instant> droppedLoggedAt; ///< When `recordDropped` has logged.
    unsigned droppedCount = 0; ///< Not logged yet.
    kj::TaskSet tasks; ///< One task per connection. Declared last, so that the tasks are cancelled first.
};

} // namespace Chestnuthook
