/** @file http_server_base.h  Accepts callers' connections and runs a handler for each request, in fibers. */
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include <kj/async-io.h>

#include "core/timer_base.h"
#include "http/http_reader_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** Bounds for one connection. */
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16384; ///< Request line and fields.
    std::size_t maxBodyBytes = 4U << 20U; ///< Body of one request.
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its head.
    Duration bodyTimeout = std::chrono::seconds(10); ///< From there to the end of its body.
    Duration idleTimeout = std::chrono::seconds(15); ///< Between requests.
};

/** One request and its answer. */
class HttpExchange
{
public:
    HttpExchange(kj::AsyncIoStream &stream, RequestHead request, Instant receivedAt)
        : head(std::move(request))
        , received(receivedAt)
        , stream(stream)
    {
    }

    /** Answers with a body of known length. */
    void respond(kj::WaitScope &scope, ResponseHead response, std::string_view content);
    void respond(kj::WaitScope &scope, unsigned status, HttpFields fields = {}, std::string_view content = {});
    /** Begins an answer whose body is sent in parts. */
    void beginStream(kj::WaitScope &scope, ResponseHead response);
    void writePart(kj::WaitScope &scope, std::string_view part);
    /** Ends the body; without it the connection is closed, so that the answer can't be taken for a whole one. */
    void endStream(kj::WaitScope &scope);

    [[nodiscard]] bool hasBegun() const
    {
        return this->begun;
    }
    [[nodiscard]] bool isWhole() const
    {
        return this->whole;
    }

    RequestHead head; ///< As received.
    std::string body; ///< Whole.
    Instant received{0}; ///< When the head was there.
    bool closeAfter = false; ///< Tells the caller that the connection ends with this answer.

private:
    void write(kj::WaitScope &scope, std::string_view bytes);

    kj::AsyncIoStream &stream; ///< To the caller.
    bool begun = false; ///< The head of the answer has left.
    bool whole = false; ///< The answer has left whole.
};

/** For the control thread. */
class HttpServer final : private kj::TaskSet::ErrorHandler
{
public:
    /** Answers an exchange; ended with a kj::Exception or dropped when the caller closes the connection. */
    using Handler = std::function<void(kj::WaitScope &, HttpExchange &)>;

    HttpServer(ControlLoop &loop, std::function<HttpLimits()> limits, Handler handler);
    /** With the standard limits. */
    HttpServer(ControlLoop &loop, Handler handler);

    /** Runs the port; fails where it can't be bound. */
    [[nodiscard]] kj::Promise<void> listen(const std::string &address);

    /** From now on each answer ends its connection. */
    void drain()
    {
        this->draining = true;
    }
    /** Requests that are being answered. */
    [[nodiscard]] std::size_t busyCount() const
    {
        return this->busy;
    }

private:
    kj::Promise<void> acceptLoop(kj::ConnectionReceiver &receiver);
    void serve(kj::WaitScope &scope, kj::AsyncIoStream &stream);
    /** Serves one request. @return whether the connection goes on. */
    bool serveOne(kj::WaitScope &scope, kj::AsyncIoStream &stream, HttpInput &input);
    void taskFailed(kj::Exception &&exception) override;

    /** Of a fiber; only pages that are used take memory. */
    static constexpr std::size_t StackBytes = 256U << 10U;

    ControlLoop &loop; ///< Outlives this.
    std::function<HttpLimits()> limits; ///< In force for new requests.
    Handler handler; ///< As given.
    kj::FiberPool fibers; ///< Keeps stacks for the next fibers.
    bool draining = false; ///< See `drain`.
    std::size_t busy = 0; ///< See `busyCount`.
    kj::TaskSet tasks; ///< One for each connection; ended first.
};

} // namespace Chestnuthook
