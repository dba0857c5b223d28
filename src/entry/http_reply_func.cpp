/** @file http_reply_func.cpp  Answers to callers. */
#include "entry/http_reply_func.h"

#include <ostream>

#include "observe/event_ring_base.h"
#include "table/error_table.h"

namespace Chestnuthook
{

void replyText(Poco::Net::HTTPServerResponse &response, int status, const std::string &type, const std::string &body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
}

void replyJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body)
{
    replyText(response, status, "application/json", body);
}

std::string errorJson(const Error &error)
{
    const ErrorRow &row = errorRow(error.kind);
    const std::string message = std::string(row.message) + (error.what.empty() ? "" : ": " + error.what);
    return R"({"error":{"code":)" + jsonQuoted(row.code) + R"(,"message":)" + jsonQuoted(message) + R"(,"remedy":)"
        + jsonQuoted(row.remedy) + R"(,"ran":)" + jsonQuoted(nameOf(error.ran)) + R"(,"retry_after_ms":)"
        + std::to_string(error.retryAfterMs) + "}}";
}

void replyError(Poco::Net::HTTPServerResponse &response, const Error &error)
{
    if (error.retryAfterMs > 0) {
        response.set("Retry-After", std::to_string((error.retryAfterMs + 999) / 1000));
    }
    replyJson(response, errorRow(error.kind).httpStatus, errorJson(error));
}

} // namespace Chestnuthook
