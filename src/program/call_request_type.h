/** @file call_request_type.h  A caller's call as checked field by field. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"

namespace Chestnuthook
{

enum class CallKind : std::uint8_t { Model, Tool };

/** One message of a conversation. */
struct ChatMessage
{
    std::string role; ///< system, user, assistant or tool.
    std::string content; ///< Text.
};

/** A checked call. */
struct CallRequest
{
    CallKind kind = CallKind::Model; ///< Which of the fields below count.
    std::string digest; ///< SHA-256 of the body.
    std::string body; ///< As it came.
    ModelId model; ///< Model calls: which.
    std::vector<ChatMessage> messages; ///< Model calls: the new messages.
    std::uint32_t maxTokens = 0; ///< Model calls: bound of the answer; 0 for the model's own.
    bool stream = false; ///< Model calls: the caller wants events.
    ServiceId service; ///< Tool calls: which.
    std::string method; ///< Tool calls: HTTP method.
    std::string path; ///< Tool calls: with the query.
    std::string toolBody; ///< Tool calls: as sent.
    std::string contentType; ///< Tool calls: of the body; JSON where the caller gives none.
    bool idempotent = false; ///< Tool calls: may be repeated.
};

/** Parses and checks the body of a call. Errors: BadRequest with the field and what to do. */
[[nodiscard]] Result<CallRequest> parseCall(const std::string &body);

/** The tool call that a request to a plain service makes. Errors: BadRequest. */
[[nodiscard]] Result<CallRequest> makeServiceCall(const ServiceId &service, const std::string &method,
    const std::string &path, const std::string &contentType, const std::string &body);

/** The model call that a customary chat completion makes; content may be a list of text parts. Errors: BadRequest. */
[[nodiscard]] Result<CallRequest> parseChatCall(const std::string &body);

/** The same call without the messages that @p history begins with, as ordinary clients send the whole conversation. */
[[nodiscard]] CallRequest withoutHistory(const CallRequest &call, const std::vector<ChatMessage> &history);

/** Parses a list of chat messages from a request body with a `messages` field. Errors: BadRequest. */
[[nodiscard]] Result<std::vector<ChatMessage>> parseMessages(const std::string &body);

} // namespace Chestnuthook
