/** @file http_reader_base.h  Reads HTTP/1.1 messages from a connection, in fibers of the event loop. */
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "http/http_message_type.h"

namespace Chestnuthook
{

/** What came of a read. */
enum class HttpRead : unsigned char {
    Done, ///< The head, the part or the whole body is there.
    Closed, ///< The other end closed before the first byte of a message.
    Broken, ///< The connection ended within a message.
    Malformed, ///< The bytes are no message.
    TooLarge, ///< A bound was exceeded.
};

/** The incoming bytes of a connection. */
class HttpInput
{
public:
    explicit HttpInput(kj::AsyncIoStream &stream);

    /** Reads that wait at @p time end as if the other end had closed; `hasTimedOut` tells. */
    void setDeadline(kj::Timer &clock, kj::TimePoint time);
    void clearDeadline()
    {
        this->timer = nullptr;
    }
    [[nodiscard]] bool hasTimedOut() const
    {
        return this->timedOut;
    }

    /** Waits for more bytes. False where the other end closed, in good order or not. May be dropped at any time. */
    [[nodiscard]] kj::Promise<bool> more();
    /** Resolves once the other end has closed; bytes that come before are kept for the next message. */
    [[nodiscard]] kj::Promise<void> whenClosed();

    [[nodiscard]] std::string_view bytes() const
    {
        return std::string_view(this->buffer).substr(this->start);
    }
    void consume(std::size_t count);
    /** Whether the other end broke the connection rather than closing it. */
    [[nodiscard]] bool wasReset() const
    {
        return this->reset;
    }

private:
    kj::AsyncIoStream &stream; ///< Outlives this.
    std::string buffer; ///< Bytes from `start` on are not yet consumed.
    std::size_t start = 0; ///< Consumed bytes of the buffer.
    std::unique_ptr<char[]> chunk; ///< Target of the read that is under way.
    bool closed = false; ///< No more bytes will come.
    bool reset = false; ///< They ended with a reset.
    bool timedOut = false; ///< The deadline passed.
    kj::Timer *timer = nullptr; ///< Set where there is a deadline.
    kj::TimePoint deadline = kj::origin<kj::TimePoint>(); ///< On `timer`.
};

/** Reads one request. */
class HttpRequestReader
{
public:
    /** @p input outlives the reader; bounds are in bytes. */
    HttpRequestReader(HttpInput &input, std::size_t maxHeader, std::size_t maxBody);
    ~HttpRequestReader();
    HttpRequestReader(const HttpRequestReader &) = delete;
    HttpRequestReader &operator=(const HttpRequestReader &) = delete;

    [[nodiscard]] HttpRead readHead(kj::WaitScope &scope, RequestHead &head);
    /** The whole body. */
    [[nodiscard]] HttpRead readBody(kj::WaitScope &scope, std::string &body);

private:
    struct Parser;
    HttpInput &input; ///< Where the bytes come from.
    std::unique_ptr<Parser> parser; ///< The library's.
};

/** Reads one response. */
class HttpResponseReader
{
public:
    /** @p headRequest: the response has no body whatever its fields say. */
    HttpResponseReader(HttpInput &input, bool headRequest);
    ~HttpResponseReader();
    HttpResponseReader(const HttpResponseReader &) = delete;
    HttpResponseReader &operator=(const HttpResponseReader &) = delete;

    /** Skips interim responses. */
    [[nodiscard]] HttpRead readHead(kj::WaitScope &scope, ResponseHead &head);
    /** The next bytes of the body; Done with an empty part at its end. */
    [[nodiscard]] HttpRead readPart(kj::WaitScope &scope, std::string &part);
    /** All that is left of the body. */
    [[nodiscard]] HttpRead readBody(kj::WaitScope &scope, std::string &body);

private:
    struct Parser;
    void makeParser();
    HttpInput &input; ///< Where the bytes come from.
    std::unique_ptr<Parser> parser; ///< The library's.
    bool headRequest; ///< As given.
};

} // namespace Chestnuthook
