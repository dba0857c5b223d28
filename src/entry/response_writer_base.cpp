/** @file response_writer_base.cpp  Writes responses to the connection of a client. */
#include "entry/response_writer_base.h"

#include <ostream>

#include <poll.h>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include "entry/http_reply_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

int socketOf(Poco::Net::HTTPServerRequest &request)
{
    auto *known = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request);
    return known == nullptr ? -1 : known->socket().impl()->sockfd();
}

} // namespace

HttpResponseWriter::HttpResponseWriter(
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, bool closeConnection)
    : response(response)
    , socket(socketOf(request))
{
    if (closeConnection) {
        this->response.setKeepAlive(false);
    }
}

void HttpResponseWriter::start(int status, const std::vector<HttpHeader> &headers, std::int64_t length)
{
    this->response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (const HttpHeader &header : headers) {
        this->response.set(header.name, header.value);
    }
    if (length >= 0) {
        this->response.setContentLength64(length);
    } else {
        this->response.setChunkedTransferEncoding(true);
    }
    this->stream = &this->response.send();
}

bool HttpResponseWriter::write(std::string_view bytes)
{
    *this->stream << bytes << std::flush;
    this->writeFailed = this->writeFailed || !this->stream->good();
    return !this->writeFailed;
}

void HttpResponseWriter::end()
{
    if (this->stream != nullptr) {
        this->stream->flush();
    }
}

bool HttpResponseWriter::isAbandoned()
{
    pollfd watched{this->socket, POLLRDHUP, 0};
    const bool closed = this->socket >= 0 && ::poll(&watched, 1, 0) > 0
        && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
    const bool keyWithdrawn = this->isKeyValid && !this->isKeyValid();
    if (keyWithdrawn && !closed && !this->writeFailed && !this->errorSent) {
        this->errorSent = true;
        this->sendKeyWithdrawn();
    }
    return this->writeFailed || closed || keyWithdrawn;
}

void HttpResponseWriter::sendKeyWithdrawn()
{
    const Error error{ErrorKind::UnknownKey, "the key was withdrawn", Ran::Unknown, 0};
    if (this->isStarted()) {
        this->write("event: error\ndata: " + errorJson(error) + "\n\n");
    } else {
        replyError(*this, error);
    }
}

void replyText(ResponseWriter &writer, int status, const std::string &type, const std::string &body)
{
    writer.start(status, {{"Content-Type", type}}, static_cast<std::int64_t>(body.size()));
    writer.write(body);
    writer.end();
}

void replyJson(ResponseWriter &writer, int status, const std::string &body)
{
    replyText(writer, status, "application/json", body);
}

void replyError(ResponseWriter &writer, const Error &error)
{
    const std::string body = errorJson(error);
    std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
    if (error.retryAfterMs > 0) {
        headers.push_back({"Retry-After", std::to_string((error.retryAfterMs + 999) / 1000)});
    }
    writer.start(errorRow(error.kind).httpStatus, headers, static_cast<std::int64_t>(body.size()));
    writer.write(body);
    writer.end();
}

} // namespace Chestnuthook
