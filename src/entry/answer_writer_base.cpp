/** @file answer_writer_base.cpp  Answers on the caller's connection. */
#include "entry/answer_writer_base.h"

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

HttpAnswerWriter::HttpAnswerWriter(
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, bool closeAfterwards)
    : response(response)
    , socket(socketOf(request))
{
    if (closeAfterwards) {
        this->response.setKeepAlive(false);
    }
}

void HttpAnswerWriter::start(int status, const std::vector<HttpHeader> &headers, std::int64_t length)
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

bool HttpAnswerWriter::write(std::string_view bytes)
{
    *this->stream << bytes << std::flush;
    this->broken = this->broken || !this->stream->good();
    return !this->broken;
}

void HttpAnswerWriter::end()
{
    if (this->stream != nullptr) {
        this->stream->flush();
    }
}

bool HttpAnswerWriter::isGone()
{
    pollfd watched{this->socket, POLLRDHUP, 0};
    const bool closed = this->socket >= 0 && ::poll(&watched, 1, 0) > 0
        && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
    const bool withdrawn = this->isKeyValid && !this->isKeyValid();
    if (withdrawn && !closed && !this->broken && !this->told) {
        this->told = true;
        this->tellWithdrawn();
    }
    return this->broken || closed || withdrawn;
}

void HttpAnswerWriter::tellWithdrawn()
{
    const Error error{ErrorKind::UnknownKey, "the key was withdrawn", Ran::Unknown, 0};
    if (this->isStarted()) {
        this->write("event: error\ndata: " + errorJson(error) + "\n\n");
    } else {
        replyError(*this, error);
    }
}

void replyText(AnswerWriter &answer, int status, const std::string &type, const std::string &body)
{
    answer.start(status, {{"Content-Type", type}}, static_cast<std::int64_t>(body.size()));
    answer.write(body);
    answer.end();
}

void replyJson(AnswerWriter &answer, int status, const std::string &body)
{
    replyText(answer, status, "application/json", body);
}

void replyError(AnswerWriter &answer, const Error &error)
{
    const std::string body = errorJson(error);
    std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
    if (error.retryAfterMs > 0) {
        headers.push_back({"Retry-After", std::to_string((error.retryAfterMs + 999) / 1000)});
    }
    answer.start(errorRow(error.kind).httpStatus, headers, static_cast<std::int64_t>(body.size()));
    answer.write(body);
    answer.end();
}

} // namespace Chestnuthook
