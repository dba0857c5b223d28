/** @file fake_answer_func.h  The engine's answers: a pure function of the model and the messages. */
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

/** One message of a chat. */
struct FakeMessage
{
    std::string role; ///< `system`, `user`, `assistant` or `tool`.
    std::string content; ///< The text.
};

/** A chat completion request as the engine reads it. */
struct FakeChat
{
    std::string model; ///< The model asked for.
    std::vector<FakeMessage> messages; ///< Without a last message of the assistant.
    std::string sent; ///< Assistant text that is to be continued; empty for a fresh answer.
    std::uint64_t maxTokens = 0; ///< Bounds the whole answer, with what was sent before.
    bool stream = false; ///< Answer as server-sent events.
    std::int64_t priority = 0; ///< Lower runs first.
};

/** What is left of an answer. */
struct FakeAnswer
{
    std::vector<std::string> pieces; ///< One per token still to be sent; their concatenation continues what was sent.
    bool cut = false; ///< maxTokens ended it (`length`), not the answer itself (`stop`).
};

/** Reads the body of a chat completion. */
[[nodiscard]] Result<FakeChat> parseFakeChat(const Poco::JSON::Object &json);
/** The answer to @p chat after what was sent of it; @p salt other than 0 gives another answer. */
[[nodiscard]] FakeAnswer fakeAnswer(const FakeChat &chat, std::uint64_t salt = 0);
/** The words, that is tokens, of the prompt with its role marks and the sent text. */
[[nodiscard]] std::vector<std::string> fakePromptWords(const FakeChat &chat);
/** Adds the words of @p text to @p words. */
void addFakeWords(std::vector<std::string> &words, std::string_view text);

} // namespace Chestnuthook
