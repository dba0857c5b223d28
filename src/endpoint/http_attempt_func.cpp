/** @file http_attempt_func.cpp  HTTP client for endpoints, based on POCO Net. */
#include "endpoint/http_attempt_func.h"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxResponseBytes = 4UL * 1024 * 1024;
constexpr std::size_t MaxEventBytes = 256UL * 1024;
constexpr std::int64_t ConnectTimeoutMs = 1000;
constexpr std::size_t ReadBytes = 4096;
constexpr std::size_t MaxChunkHeadBytes = 64UL * 1024; ///< Of a chunk's size with its extensions, and of the trailer.
constexpr std::string_view DataPrefix = "data: ";

class Session : public Poco::Net::HTTPClientSession
{
public:
    using HTTPClientSession::read;
};
using Response = Poco::Net::HTTPResponse;

/** Connects and sends the request. Sets `outcome.sent` before the first byte is written. @return the body stream of the
 * response, or null if the connection failed. */
std::istream *send(
    Session &session, const AttemptRequest &request, Poco::Net::HTTPResponse &response, AttemptOutcome &outcome)
{
    const Poco::Timespan timeout(request.timeoutMs * Poco::Timespan::MILLISECONDS);
    const Poco::Timespan connect(std::min(ConnectTimeoutMs, request.timeoutMs) * Poco::Timespan::MILLISECONDS);
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest http(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    http.setHost(request.address);
    http.set("X-Attempt-Id", request.attempt.text);
    if (!request.program.empty()) {
        http.set("X-Program-Id", request.program.text);
    }
    if (!request.contentType.empty()) {
        http.setContentType(request.contentType);
    }
    for (const HttpHeader &header : request.headers) {
        http.set(header.name, header.value);
    }
    http.setContentLength(static_cast<std::streamsize>(request.body.size()));
    try {
        // Connects explicitly, because POCO would connect only while sending: after a failed connect the request has
        // certainly not reached the endpoint.
        session.socket().connect(Poco::Net::SocketAddress(request.address), connect);
        session.socket().setSendTimeout(timeout);
        session.socket().setReceiveTimeout(timeout);
    } catch (const Poco::Exception &exception) {
        outcome.what = "connect: " + exception.displayText();
        return nullptr;
    }
    outcome.sent = true;
    session.sendRequest(http) << request.body << std::flush;
    std::istream &stream = session.receiveResponse(response);
    outcome.status = static_cast<std::uint16_t>(response.getStatus());
    outcome.contentType = response.getContentType();
    return &stream;
}

/** Whether the response belongs to this attempt. A response that doesn't echo the attempt id is accepted. */
bool belongsToAttempt(const Poco::Net::HTTPResponse &response, const AttemptRequest &request)
{
    return response.get("X-Attempt-Id", request.attempt.text) == request.attempt.text;
}

void readBody(std::istream &stream, std::string &body)
{
    char buffer[ReadBytes];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
        body.append(buffer, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > MaxResponseBytes) {
            throw Poco::DataFormatException("the answer is over its bound");
        }
    }
}

/** Reads a chunked body from the connection of @p session. POCO's stream for it ends alike with and without the last
 * chunk. @return whether the last chunk arrived. */
bool readChunkedBody(Session &session, std::string &body)
{
    namespace Beast = boost::beast::http;
    Beast::response_parser<Beast::string_body> parser;
    parser.eager(true);
    parser.body_limit(MaxResponseBytes);
    std::string unread = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; // POCO has read the real head.
    while (!parser.is_done()) {
        boost::system::error_code error;
        unread.erase(0, parser.put(boost::asio::const_buffer(unread.data(), unread.size()), error));
        if (error && error != Beast::error::need_more) {
            throw Poco::DataFormatException("the answer is malformed or over its bound");
        }
        if (unread.size() > MaxChunkHeadBytes) {
            throw Poco::DataFormatException("a chunk's head is over its bound");
        }
        if (parser.is_done() || (!unread.empty() && !error)) {
            continue;
        }
        std::array<char, ReadBytes> buffer{};
        const int count = session.read(buffer.data(), buffer.size());
        if (count <= 0) {
            break;
        }
        unread.append(buffer.data(), static_cast<std::size_t>(count));
    }
    body = std::move(parser.get().body());
    return parser.is_done();
}

void readUsage(const Poco::JSON::Object::Ptr &usage, AttemptOutcome &outcome)
{
    outcome.promptTokens = usage->optValue<std::uint64_t>("prompt_tokens", 0);
    outcome.completionTokens = usage->optValue<std::uint64_t>("completion_tokens", 0);
    outcome.cachedTokens = usage->optValue<std::uint64_t>("cached_tokens", 0);
}

/** Processes one chunk of a streamed completion. @return false if the sink asked to stop. */
bool processChunk(const std::string &json, AttemptOutcome &outcome, const TextSink &sink)
{
    const auto chunk = Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
    if (const auto usage = chunk->getObject("usage")) {
        readUsage(usage, outcome);
    }
    const auto choices = chunk->getArray("choices");
    if (choices.isNull() || choices->size() == 0) {
        return true;
    }
    const auto choice = choices->getObject(0);
    outcome.finishReason = choice->optValue<std::string>("finish_reason", outcome.finishReason);
    const auto delta = choice->getObject("delta");
    const std::string text = delta.isNull() ? std::string() : delta->optValue<std::string>("content", "");
    if (text.empty()) {
        return true;
    }
    outcome.body += text;
    if (outcome.body.size() > MaxResponseBytes) {
        throw Poco::DataFormatException("the answer is over its bound");
    }
    return sink(text);
}

/** Reads a line, buffering at most MaxEventBytes. @return false at the end of the stream. */
bool readLine(std::istream &stream, std::string &line)
{
    line.clear();
    std::streambuf &buffer = *stream.rdbuf();
    for (int byte = buffer.sbumpc(); byte != std::char_traits<char>::eof(); byte = buffer.sbumpc()) {
        if (byte == '\n') {
            return true;
        }
        line.push_back(static_cast<char>(byte));
        if (line.size() > MaxEventBytes) {
            throw Poco::DataFormatException("an event is over its bound");
        }
    }
    return !line.empty();
}

void readEvents(std::istream &stream, AttemptOutcome &outcome, const TextSink &sink)
{
    std::string line;
    while (readLine(stream, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (!line.starts_with(DataPrefix)) {
            continue;
        }
        const std::string data = line.substr(DataPrefix.size());
        if (data == "[DONE]") {
            outcome.complete = true;
            return;
        }
        if (!processChunk(data, outcome, sink)) {
            outcome.what = "the reader wants no more";
            return;
        }
    }
    outcome.what = "the stream ended before [DONE]";
    outcome.broken = true;
}

/** Sends @p request and passes the response to @p read. Exceptions are recorded in the outcome. */
template<typename Reader>
AttemptOutcome runAttempt(const AttemptRequest &request, CancelToken &cancel, const Reader &read)
{
    AttemptOutcome outcome;
    Session session;
    if (cancel.isCancelled()) {
        outcome.what = "cancelled";
        return outcome;
    }
    cancel.onCancel([&session]() {
        session.abort();
    });
    try {
        Poco::Net::HTTPResponse response;
        if (std::istream *stream = send(session, request, response, outcome)) {
            if (belongsToAttempt(response, request)) {
                read(session, *stream, response, outcome);
            } else {
                outcome.what = "the answer is of another attempt";
            }
        }
    } catch (const std::exception &exception) {
        outcome.what = exception.what();
        outcome.complete = false;
        outcome.broken = true;
    }
    cancel.onCancel({});
    return outcome;
}

} // namespace

void readEventStream(std::istream &stream, AttemptOutcome &outcome, const TextSink &sink)
{
    readEvents(stream, outcome, sink);
}

AttemptOutcome runServiceAttempt(const AttemptRequest &request, CancelToken &cancel)
{
    return runAttempt(request, cancel,
        [&request](Session &session, std::istream &stream, const Response &response, AttemptOutcome &outcome) {
            const bool hasBody = request.method != "HEAD";
            if (hasBody && response.getChunkedTransferEncoding()) {
                outcome.complete = readChunkedBody(session, outcome.body);
            } else {
                readBody(stream, outcome.body);
                const bool hasNoKnownLength = !hasBody || !response.hasContentLength();
                outcome.complete =
                    hasNoKnownLength || response.getContentLength64() == static_cast<Poco::Int64>(outcome.body.size());
            }
            outcome.broken = !outcome.complete;
            outcome.what = outcome.complete ? "" : "the answer ended before its length or its last chunk";
        });
}

AttemptOutcome runEngineAttempt(const AttemptRequest &request, const TextSink &sink, CancelToken &cancel)
{
    return runAttempt(request, cancel,
        [&sink](Session & /*session*/, std::istream &stream, const Response &, AttemptOutcome &outcome) {
            if (outcome.status != Poco::Net::HTTPResponse::HTTP_OK) {
                readBody(stream, outcome.what);
                return;
            }
            readEvents(stream, outcome, sink);
        });
}

} // namespace Chestnuthook
