/** @file http_reader_base.cpp  HTTP/1.1 parsing with Boost.Beast on asynchronous KJ streams. */
#include "http/http_reader_base.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Chestnuthook
{

namespace
{

namespace Beast = boost::beast::http;

constexpr std::size_t ReadBufferBytes = 16U << 10U;
/** Maximum size of the head of a response together with the interim responses before it, and of its trailer. Endpoints
 * send small heads; a larger one is treated as a fault of the endpoint. */
constexpr std::size_t MaxResponseHeaderBytes = 64U << 10U;
/** Maximum ratio of the received size of a chunked body to its content. A chunk of one byte takes six. */
constexpr std::uint64_t MaxBytesPerBodyByte = 8;
/** Maximum number of header fields of a request. Clients send some 10 to 40. A parsed field takes up to 200 bytes of
 * memory, however short it is. */
constexpr std::size_t MaxRequestFields = 256;

template<typename Message>
void copyFields(const Message &message, HttpFields &fields)
{
    for (const auto &field : message) {
        fields.add(std::string(field.name_string()), std::string(field.value()));
    }
}

/** Feeds @p parser from @p input until @p done returns true. The parser keeps no part of a token that is incomplete,
 * for example of a chunk extension; @p maxTokenBytes is the maximum size of one. @p check is called each time before
 * the parser takes bytes, and ends the read if it returns another result than Done. */
template<typename Parser, typename Done, typename Check>
HttpReadResult parseUntil(kj::WaitScope &scope, HttpInputStream &input, Parser &parser, std::size_t maxTokenBytes,
    const Done &done, const Check &check)
{
    while (!done()) {
        boost::system::error_code error;
        if (!input.unreadBytes().empty()) {
            if (const HttpReadResult checked = check(); checked != HttpReadResult::Done) {
                return checked;
            }
            const std::string_view bytes = input.unreadBytes();
            const std::size_t used = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
            input.consume(used);
            if (error == Beast::error::header_limit) { // Also for a trailer.
                return parser.is_header_done() ? HttpReadResult::BodyTooLarge : HttpReadResult::HeadTooLarge;
            }
            if (error == Beast::error::body_limit) { // Also after the head, if that declares the length.
                return HttpReadResult::BodyTooLarge;
            }
            if (error && error != Beast::error::need_more) {
                return HttpReadResult::Malformed;
            }
            if (done()) {
                return HttpReadResult::Done;
            }
            if (used != 0 && !error) {
                continue;
            }
            if (input.unreadBytes().size() > maxTokenBytes) {
                return parser.is_header_done() ? HttpReadResult::BodyTooLarge : HttpReadResult::HeadTooLarge;
            }
        }
        if (!input.readMore().wait(scope)) {
            if (!parser.got_some() && input.unreadBytes().empty()) {
                return HttpReadResult::Closed;
            }
            if (input.wasReset()) {
                return HttpReadResult::Truncated;
            }
            parser.put_eof(error);
            return !error && done() ? HttpReadResult::Done : HttpReadResult::Truncated;
        }
    }
    return HttpReadResult::Done;
}

HttpReadResult noCheck()
{
    return HttpReadResult::Done;
}

} // namespace

HttpInputStream::HttpInputStream(kj::AsyncIoStream &stream)
    : stream(stream)
{
}

kj::Promise<bool> HttpInputStream::read()
{
    if (this->readBuffer == nullptr) {
        this->readBuffer = std::make_unique<char[]>(ReadBufferBytes);
    }
    // tryRead() throws synchronously on a socket that was reset; evalNow() turns that into a rejected promise.
    auto read = kj::evalNow([this]() {
        return this->stream.tryRead(this->readBuffer.get(), 1, ReadBufferBytes);
    });
    return read.then(
        [this](std::size_t count) {
            this->buffer.erase(0, this->consumed);
            this->consumed = 0;
            this->buffer.append(this->readBuffer.get(), count);
            this->closed = count == 0;
            this->isReading = false;
            return count != 0;
        },
        [this](kj::Exception && /*exception*/) {
            this->closed = true;
            this->reset = true;
            this->isReading = false;
            return false;
        });
}

kj::Promise<bool> HttpInputStream::readMore()
{
    if (this->closed || this->timedOut) {
        return false;
    }
    // The timer alone doesn't end the input from a peer whose bytes are always there before it is checked.
    if (this->timer != nullptr && this->timer->now() >= this->deadline) {
        this->timedOut = true;
        return false;
    }
    if (!this->isReading) {
        this->isReading = true;
        this->pendingRead = this->read().fork();
    }
    auto done = this->pendingRead.addBranch();
    if (this->timer == nullptr) {
        return done;
    }
    auto interrupted = kj::newPromiseAndFulfiller<bool>();
    this->interruption = kj::mv(interrupted.fulfiller);
    done = done.exclusiveJoin(kj::mv(interrupted.promise));
    return done.exclusiveJoin(this->timer->atTime(this->deadline).then([this]() {
        this->timedOut = true;
        return false;
    }));
}

void HttpInputStream::interrupt()
{
    this->timedOut = true;
    if (this->interruption.get() != nullptr) {
        this->interruption->fulfill(false);
    }
}

void HttpInputStream::setDeadline(kj::Timer &clock, kj::TimePoint time)
{
    this->timer = &clock;
    this->deadline = time;
    this->timedOut = false;
}

kj::Promise<void> HttpInputStream::whenClosed()
{
    constexpr std::size_t MaxReadAheadBytes = 16U << 10U;
    if (this->unreadBytes().size() > MaxReadAheadBytes) {
        return kj::NEVER_DONE;
    }
    return this->readMore().then([this](bool open) -> kj::Promise<void> {
        return open ? this->whenClosed() : kj::Promise<void>(kj::READY_NOW);
    });
}

void HttpInputStream::consume(std::size_t count)
{
    this->consumed += count;
    this->totalConsumed += count;
    if (this->consumed == this->buffer.size()) {
        this->buffer.clear();
        this->consumed = 0;
    }
}

void HttpInputStream::releaseBuffers()
{
    if (this->buffer.empty()) {
        this->buffer = std::string();
    }
    if (!this->isReading) {
        this->readBuffer.reset();
    }
}

struct HttpRequestReader::Parser
{
    Beast::request_parser<Beast::string_body> beast;
};

HttpRequestReader::HttpRequestReader(HttpInputStream &input, std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : input(input)
    , maxHeaderBytes(maxHeaderBytes)
    , scannedTo(input.consumedBytes())
    , parser(std::make_unique<Parser>())
{
    this->parser->beast.header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
    this->parser->beast.body_limit(maxBodyBytes);
}

HttpRequestReader::~HttpRequestReader() = default;

HttpReadResult HttpRequestReader::readHead(kj::WaitScope &scope, RequestHead &head, const OnProgress &onProgress)
{
    auto &beastParser = this->parser->beast;
    const HttpReadResult read = parseUntil(
        scope, this->input, beastParser, this->maxHeaderBytes,
        [&beastParser]() {
            return beastParser.is_header_done();
        },
        [&]() {
            if (this->hasTooManyFields()) {
                return HttpReadResult::HeadTooLarge;
            }
            return !onProgress || onProgress(this->input.bufferedBytes()) ? HttpReadResult::Done
                                                                          : HttpReadResult::Interrupted;
        });
    if (read != HttpReadResult::Done) {
        return read;
    }
    auto &message = beastParser.get();
    head.method = std::string(message.method_string());
    head.target = std::string(message.target());
    head.keepAlive = beastParser.keep_alive();
    copyFields(message, head.fields);
    message.base().clear();
    this->bodyStart = this->input.consumedBytes();
    return read;
}

bool HttpRequestReader::hasTooManyFields()
{
    const std::string_view bytes = this->input.unreadBytes();
    const std::uint64_t consumed = this->input.consumedBytes();
    while (!this->isHeadScanned) {
        const std::size_t at = bytes.find('\n', static_cast<std::size_t>(this->scannedTo - consumed));
        if (at == std::string_view::npos) {
            this->scannedTo = consumed + bytes.size();
            return false;
        }
        const std::uint64_t lineEnd = consumed + at + 1;
        this->isHeadScanned = this->lineCount != 0 && lineEnd == this->lineStart + 2 && bytes[at - 1] == '\r';
        this->lineStart = lineEnd;
        this->scannedTo = lineEnd;
        if (++this->lineCount > MaxRequestFields + 2) { // With the request line and the empty line.
            return true;
        }
    }
    return false;
}

std::optional<std::uint64_t> HttpRequestReader::declaredBodyBytes() const
{
    const auto length = this->parser->beast.content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

HttpReadResult HttpRequestReader::readBody(kj::WaitScope &scope, std::string &body, const OnProgress &onProgress)
{
    auto &beastParser = this->parser->beast;
    beastParser.eager(true);
    std::string &content = beastParser.get().body();
    const HttpReadResult read = parseUntil(
        scope, this->input, beastParser, this->maxHeaderBytes,
        [&beastParser]() {
            return beastParser.is_done();
        },
        [&]() {
            const std::uint64_t received = this->input.consumedBytes() - this->bodyStart;
            if (received > this->maxHeaderBytes + MaxBytesPerBodyByte * content.size()) {
                return HttpReadResult::BodyTooLarge;
            }
            if (onProgress && !onProgress(content.size())) {
                return HttpReadResult::Interrupted;
            }
            return HttpReadResult::Done;
        });
    body = std::move(content);
    return read == HttpReadResult::Closed ? HttpReadResult::Truncated : read;
}

struct HttpResponseReader::Parser
{
    Beast::response_parser<Beast::string_body> beast;
};

HttpResponseReader::HttpResponseReader(HttpInputStream &input, bool headRequest, std::uint64_t maxBodyBytes)
    : input(input)
    , headRequest(headRequest)
    , maxBodyBytes(maxBodyBytes)
{
    this->makeParser();
}

HttpResponseReader::~HttpResponseReader() = default;

void HttpResponseReader::makeParser()
{
    this->parser = std::make_unique<Parser>();
    this->parser->beast.header_limit(MaxResponseHeaderBytes);
    this->parser->beast.body_limit(this->maxBodyBytes);
    this->parser->beast.skip(this->headRequest);
}

HttpReadResult HttpResponseReader::readHead(kj::WaitScope &scope, ResponseHead &head)
{
    const std::uint64_t start = this->input.consumedBytes();
    while (true) {
        auto &beastParser = this->parser->beast;
        const HttpReadResult read = parseUntil(
            scope, this->input, beastParser, MaxResponseHeaderBytes,
            [&beastParser]() {
                return beastParser.is_header_done();
            },
            &noCheck);
        if (read != HttpReadResult::Done) {
            return read;
        }
        const auto &message = beastParser.get();
        constexpr unsigned FirstFinalStatus = 200;
        if (message.result_int() < FirstFinalStatus) {
            if (this->input.consumedBytes() - start > MaxResponseHeaderBytes) {
                return HttpReadResult::HeadTooLarge;
            }
            this->makeParser();
            continue;
        }
        head.status = message.result_int();
        head.reason = std::string(message.reason());
        if (beastParser.need_eof()) {
            head.framing = BodyFraming::Close;
        } else {
            head.framing = beastParser.chunked() ? BodyFraming::Chunks : BodyFraming::Length;
        }
        head.keepAlive = beastParser.keep_alive() && head.framing != BodyFraming::Close;
        if (!beastParser.chunked() && beastParser.content_length()) {
            head.contentLength = static_cast<std::size_t>(*beastParser.content_length());
        }
        copyFields(message, head.fields);
        this->bodyStart = this->input.consumedBytes();
        return read;
    }
}

HttpReadResult HttpResponseReader::readPart(kj::WaitScope &scope, std::string &part)
{
    auto &beastParser = this->parser->beast;
    beastParser.eager(true);
    std::string &body = beastParser.get().body();
    const HttpReadResult read = parseUntil(
        scope, this->input, beastParser, MaxResponseHeaderBytes,
        [&beastParser, &body]() {
            return beastParser.is_done() || !body.empty();
        },
        &noCheck);
    part = std::exchange(body, {});
    this->bodyBytes += part.size();
    const std::uint64_t received = this->input.consumedBytes() - this->bodyStart;
    if (received > MaxResponseHeaderBytes + MaxBytesPerBodyByte * this->bodyBytes) {
        return HttpReadResult::BodyTooLarge;
    }
    return read == HttpReadResult::Closed ? HttpReadResult::Truncated : read;
}

HttpReadResult HttpResponseReader::readBody(kj::WaitScope &scope, std::string &body)
{
    std::string part;
    HttpReadResult read = HttpReadResult::Done;
    do {
        read = this->readPart(scope, part);
        body += part;
    } while (read == HttpReadResult::Done && !part.empty());
    return read;
}

} // namespace Chestnuthook
