/** @file call_request_type.h  A client's call of a model or tool after validation of its request body. */
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
    std::string role; ///< "system", "user", "assistant" or "tool".
    std::string content; ///< Text of the message.
};

/** A validated call. */
struct CallRequest
{
    CallKind kind = CallKind::Model; ///< Decides which of the fields below are set.
    std::string digest; ///< SHA-256 of the body.
    std::string body; ///< Request body as received.
    ModelId model; ///< Model calls: the model to run.
    std::vector<ChatMessage> messages; ///< Model calls: messages that are new in this call.
    std::uint32_t maxTokens = 0; ///< Model calls: maximum tokens of the answer; 0 for the model's limit.
    bool stream = false; ///< Model calls: the client asked for a stream of events.
    ServiceId service; ///< Tool calls: the service to call.
    std::string method; ///< Tool calls: HTTP method.
    std::string path; ///< Tool calls: path with the query.
    std::string toolBody; ///< Tool calls: request body for the service.
    std::string contentType; ///< Tool calls: content type of `toolBody`; JSON by default.
    bool idempotent = false; ///< Tool calls: whether the call may be repeated.
};

/** Parses and validates the body of a call. Errors: BadRequest, which names the field and how to correct it. */
[[nodiscard]] Result<CallRequest> parseCall(const std::string &body);

/** Makes a tool call from a plain HTTP request to a service. Errors: BadRequest. */
[[nodiscard]] Result<CallRequest> makeServiceCall(const ServiceId &service, const std::string &method,
    const std::string &path, const std::string &contentType, const std::string &body);

/** Parses the body of a chat completion in the common format into a model call; the content of a message may be a list
 * of text parts. Errors: BadRequest. */
[[nodiscard]] Result<CallRequest> parseChatCall(const std::string &body);

/** Returns @p call without the messages of @p history if it starts with all of them. Ordinary clients send the whole
 * conversation with each call. */
[[nodiscard]] CallRequest withoutHistory(const CallRequest &call, const std::vector<ChatMessage> &history);

/** Parses a list of chat messages from a request body with a `messages` field. Errors: BadRequest. */
[[nodiscard]] Result<std::vector<ChatMessage>> parseMessages(const std::string &body);

} // namespace Chestnuthook
