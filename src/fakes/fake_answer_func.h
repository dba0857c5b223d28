/** @file fake_answer_func.h  Completions of the fake engine: a deterministic function of the model and the messages. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/JSON/Object.h>

#include "core/error_type.h"

namespace Chestnuthook
{

/** One message of a chat completion request. */
struct FakeMessage
{
    std::string role; ///< `system`, `user`, `assistant` or `tool`.
    std::string content; ///< Text of the message.
};

/** A parsed chat completion request. */
struct FakeChatRequest
{
    std::string model; ///< Name of the requested model.
    std::vector<FakeMessage> messages; ///< All messages, without a trailing assistant message.
    std::string sent; ///< Text already sent, which the completion continues; empty for a new completion.
    std::uint64_t maxTokens = 0; ///< Limits the whole completion, including the tokens already sent.
    bool stream = false; ///< Respond with server-sent events.
    std::int64_t priority = 0; ///< Requests with a lower value run first.
};

/** The part of a completion that is still to be sent. */
struct FakeCompletion
{
    std::vector<std::string> pieces; ///< The remaining text, one element per token.
    bool cut = false; ///< Whether maxTokens ended the completion (finish reason `length` instead of `stop`).
};

/** Parses the body of a chat completion request. Errors: BadRequest. */
[[nodiscard]] Result<FakeChatRequest> parseFakeChatRequest(const Poco::JSON::Object &json);
/** Generates the rest of the completion of @p chat after the text already sent. Another @p salt gives another text. */
[[nodiscard]] FakeCompletion generateFakeCompletion(const FakeChatRequest &chat, std::uint64_t salt = 0);
/** The tokens of the prompt: the messages with a marker for each role, and the text already sent. A token is a word. */
[[nodiscard]] std::vector<std::string> fakePromptTokens(const FakeChatRequest &chat);
/** Appends the words of @p text to @p words; words are separated by white space. */
void addFakeWords(std::vector<std::string> &words, std::string_view text);

} // namespace Chestnuthook
