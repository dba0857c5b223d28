/** @file http_reader_base.cpp  Boost.Beast's parsers over connections of the event loop. */
#include "http/http_reader_base.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Chestnuthook
{

namespace
{

namespace Beast = boost::beast::http;

constexpr std::size_t ReadBytes = 16U << 10U;
/** Endpoints' heads are small; more is a fault of the endpoint. */
constexpr std::size_t MaxResponseHeader = 64U << 10U;
/** Bound of one response's body, in bytes. */
constexpr std::uint64_t MaxResponseBody = 64ULL << 20U;

template<typename Message>
void copyFields(const Message &message, HttpFields &fields)
{
    for (const auto &field : message) {
        fields.add(std::string(field.name_string()), std::string(field.value()));
    }
}

/** Feeds @p parser from @p input until @p done says so. */
template<typename Parser, typename Done>
HttpRead parseUntil(kj::WaitScope &scope, HttpInput &input, Parser &parser, const Done &done)
{
    while (!done()) {
        boost::system::error_code error;
        const std::string_view bytes = input.bytes();
        if (!bytes.empty()) {
            const std::size_t used = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
            input.consume(used);
            if (error == Beast::error::header_limit || error == Beast::error::body_limit) {
                return HttpRead::TooLarge;
            }
            if (error && error != Beast::error::need_more) {
                return HttpRead::Malformed;
            }
            if (done()) {
                return HttpRead::Done;
            }
            if (used != 0 && !error) {
                continue;
            }
        }
        if (!input.more().wait(scope)) {
            if (!parser.got_some() && input.bytes().empty()) {
                return HttpRead::Closed;
            }
            if (input.wasReset()) {
                return HttpRead::Broken;
            }
            parser.put_eof(error);
            return !error && done() ? HttpRead::Done : HttpRead::Broken;
        }
    }
    return HttpRead::Done;
}

} // namespace

HttpInput::HttpInput(kj::AsyncIoStream &stream)
    : stream(stream)
{
}

kj::Promise<bool> HttpInput::more()
{
    if (this->closed) {
        return false;
    }
    if (this->chunk == nullptr) {
        this->chunk = std::make_unique<char[]>(ReadBytes);
    }
    // A socket that was reset throws at once; inside a promise that is an end like any other.
    auto read = kj::evalNow([this]() {
        return this->stream.tryRead(this->chunk.get(), 1, ReadBytes);
    });
    auto done = read.then(
        [this](std::size_t count) {
            if (this->start == this->buffer.size()) {
                this->buffer.clear();
                this->start = 0;
            }
            this->buffer.append(this->chunk.get(), count);
            this->closed = count == 0;
            return count != 0;
        },
        [this](kj::Exception && /*exception*/) {
            this->closed = true;
            this->reset = true;
            return false;
        });
    if (this->timer == nullptr) {
        return done;
    }
    return done.exclusiveJoin(this->timer->atTime(this->deadline).then([this]() {
        this->timedOut = true;
        this->closed = true;
        this->reset = true;
        return false;
    }));
}

void HttpInput::setDeadline(kj::Timer &clock, kj::TimePoint time)
{
    this->timer = &clock;
    this->deadline = time;
}

kj::Promise<void> HttpInput::whenClosed()
{
    constexpr std::size_t MaxAhead = 256U << 10U;
    if (this->bytes().size() > MaxAhead) {
        return kj::NEVER_DONE;
    }
    return this->more().then([this](bool open) -> kj::Promise<void> {
        return open ? this->whenClosed() : kj::Promise<void>(kj::READY_NOW);
    });
}

void HttpInput::consume(std::size_t count)
{
    this->start += count;
    if (this->start == this->buffer.size()) {
        this->buffer.clear();
        this->start = 0;
    }
}

struct HttpRequestReader::Parser
{
    Beast::request_parser<Beast::string_body> library; ///< Boost.Beast's.
};

HttpRequestReader::HttpRequestReader(HttpInput &input, std::size_t maxHeader, std::size_t maxBody)
    : input(input)
    , parser(std::make_unique<Parser>())
{
    this->parser->library.header_limit(static_cast<std::uint32_t>(maxHeader));
    this->parser->library.body_limit(maxBody);
}

HttpRequestReader::~HttpRequestReader() = default;

HttpRead HttpRequestReader::readHead(kj::WaitScope &scope, RequestHead &head)
{
    auto &library = this->parser->library;
    const HttpRead read = parseUntil(scope, this->input, library, [&library]() {
        return library.is_header_done();
    });
    if (read != HttpRead::Done) {
        return read;
    }
    const auto &message = library.get();
    head.method = std::string(message.method_string());
    head.target = std::string(message.target());
    head.keepAlive = library.keep_alive();
    copyFields(message, head.fields);
    return read;
}

HttpRead HttpRequestReader::readBody(kj::WaitScope &scope, std::string &body)
{
    auto &library = this->parser->library;
    library.eager(true);
    const HttpRead read = parseUntil(scope, this->input, library, [&library]() {
        return library.is_done();
    });
    body = std::move(library.get().body());
    return read == HttpRead::Closed ? HttpRead::Broken : read;
}

struct HttpResponseReader::Parser
{
    Beast::response_parser<Beast::string_body> library; ///< Boost.Beast's.
};

HttpResponseReader::HttpResponseReader(HttpInput &input, bool headRequest)
    : input(input)
    , headRequest(headRequest)
{
    this->makeParser();
}

HttpResponseReader::~HttpResponseReader() = default;

void HttpResponseReader::makeParser()
{
    this->parser = std::make_unique<Parser>();
    this->parser->library.header_limit(MaxResponseHeader);
    this->parser->library.body_limit(MaxResponseBody);
    this->parser->library.skip(this->headRequest);
}

HttpRead HttpResponseReader::readHead(kj::WaitScope &scope, ResponseHead &head)
{
    while (true) {
        auto &library = this->parser->library;
        const HttpRead read = parseUntil(scope, this->input, library, [&library]() {
            return library.is_header_done();
        });
        if (read != HttpRead::Done) {
            return read;
        }
        const auto &message = library.get();
        constexpr unsigned FirstFinalStatus = 200;
        if (message.result_int() < FirstFinalStatus) {
            this->makeParser();
            continue;
        }
        head.status = message.result_int();
        head.reason = std::string(message.reason());
        head.endsWithConnection = library.need_eof();
        head.keepAlive = library.keep_alive() && !head.endsWithConnection;
        if (!library.chunked() && library.content_length()) {
            head.length = static_cast<std::size_t>(*library.content_length());
        }
        copyFields(message, head.fields);
        return read;
    }
}

HttpRead HttpResponseReader::readPart(kj::WaitScope &scope, std::string &part)
{
    auto &library = this->parser->library;
    library.eager(true);
    std::string &body = library.get().body();
    const HttpRead read = parseUntil(scope, this->input, library, [&library, &body]() {
        return library.is_done() || !body.empty();
    });
    part = std::exchange(body, {});
    return read == HttpRead::Closed ? HttpRead::Broken : read;
}

HttpRead HttpResponseReader::readBody(kj::WaitScope &scope, std::string &body)
{
    std::string part;
    HttpRead read = HttpRead::Done;
    do {
        read = this->readPart(scope, part);
        body += part;
    } while (read == HttpRead::Done && !part.empty());
    return read;
}

} // namespace Chestnuthook
