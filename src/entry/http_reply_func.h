/** @file http_reply_func.h  Writes answers and errors to callers. */
#pragma once

#include <string>

#include <Poco/Net/HTTPServerResponse.h>

#include "core/error_type.h"

namespace Chestnuthook
{

/** Sends @p body as JSON. */
void replyJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body);

/** Sends text of another type. */
void replyText(Poco::Net::HTTPServerResponse &response, int status, const std::string &type, const std::string &body);

/** Sends @p error with its code, message, remedy, and whether the request ran. */
void replyError(Poco::Net::HTTPServerResponse &response, const Error &error);

/** The JSON of @p error as callers see it. */
[[nodiscard]] std::string errorJson(const Error &error);

} // namespace Chestnuthook
