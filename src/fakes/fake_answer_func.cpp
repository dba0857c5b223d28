/** @file fake_answer_func.cpp  Parses chat completion requests and generates completions. */
#include "fakes/fake_answer_func.h"
#include "fakes/fake_json_func.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <xxhash.h>

namespace Chestnuthook
{

namespace
{

constexpr std::uint64_t MinCompletionTokens = 8;
constexpr std::uint64_t CompletionTokenSpread = 24;
constexpr std::string_view Whitespace = " \t\r\n";

constexpr std::array<std::string_view, 64> Words{"amber", "apple", "arrow", "ash", "barley", "beech", "birch", "bloom",
    "bough", "brook", "cedar", "chalk", "clay", "clover", "copper", "cork", "dawn", "dew", "elder", "elm", "ember",
    "fern", "field", "flint", "fog", "frost", "glade", "grain", "grove", "hazel", "heath", "hedge", "hill", "holly",
    "iron", "ivy", "juniper", "lake", "larch", "leaf", "lime", "maple", "meadow", "mist", "moss", "oak", "oat", "olive",
    "pear", "pine", "plum", "pond", "quince", "rain", "reed", "ridge", "river", "rowan", "sage", "stone", "thorn",
    "vale", "willow", "yew"};

std::uint64_t hashWithSeed(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashChat(const FakeChatRequest &chat, std::uint64_t salt)
{
    std::uint64_t hash = hashWithSeed(chat.model, salt);
    for (const FakeMessage &message : chat.messages) {
        hash = hashWithSeed(message.content, hashWithSeed(message.role, hash));
    }
    return hash;
}

std::string pieceAt(std::uint64_t hash, std::uint64_t index)
{
    const std::uint64_t wordHash = XXH3_64bits_withSeed(&index, sizeof index, hash);
    return (index == 0 ? "" : " ") + std::string(Words.at(wordHash % Words.size()));
}

/** Removes the text already sent from the front of @p pieces. If @p sent is not a prefix of their text, one piece is
 * removed for each of its words. */
std::vector<std::string> removeSentText(std::vector<std::string> pieces, const std::string &sent)
{
    std::string whole;
    for (const std::string &piece : pieces) {
        whole += piece;
    }
    if (!whole.starts_with(sent)) {
        std::vector<std::string> words;
        addFakeWords(words, sent);
        pieces.erase(
            pieces.begin(), pieces.begin() + static_cast<std::ptrdiff_t>(std::min(words.size(), pieces.size())));
        return pieces;
    }
    std::size_t left = sent.size();
    auto first = pieces.begin();
    for (; first != pieces.end() && left >= first->size(); ++first) {
        left -= first->size();
    }
    pieces.erase(pieces.begin(), first);
    if (!pieces.empty()) {
        pieces.front().erase(0, left);
    }
    return pieces;
}

Result<std::vector<FakeMessage>> parseMessages(const Poco::JSON::Object &json)
{
    const auto list = json.getArray("messages");
    if (list.isNull() || list->size() == 0) {
        return fail(ErrorKind::BadRequest, "messages must be a list with at least one message");
    }
    std::vector<FakeMessage> messages;
    for (unsigned int index = 0; index < list->size(); ++index) {
        const auto item = list->getObject(index);
        if (item.isNull() || !item->get("role").isString() || !item->get("content").isString()) {
            return fail(ErrorKind::BadRequest, "a message needs the texts role and content");
        }
        messages.push_back({item->getValue<std::string>("role"), item->getValue<std::string>("content")});
    }
    return messages;
}

Result<FakeChatRequest> parseFields(const Poco::JSON::Object &json)
{
    auto messages = parseMessages(json);
    if (!messages) {
        return tl::unexpected<Error>(messages.error());
    }
    const auto maxTokens = fakeField<std::int64_t>(json, "max_tokens", std::numeric_limits<std::int64_t>::max());
    FakeChatRequest chat;
    chat.model = fakeField<std::string>(json, "model", "");
    if (chat.model.empty() || maxTokens < 1) {
        return fail(ErrorKind::BadRequest, "model must be given and max_tokens at least 1");
    }
    chat.maxTokens = static_cast<std::uint64_t>(maxTokens);
    chat.stream = fakeField(json, "stream", false);
    chat.priority = fakeField<std::int64_t>(json, "priority", 0);
    chat.messages = std::move(*messages);
    if (chat.messages.back().role == "assistant") {
        chat.sent = chat.messages.back().content;
        chat.messages.pop_back();
    }
    chat.sent += fakeField<std::string>(json, "continue_from", "");
    return chat;
}

} // namespace

Result<FakeChatRequest> parseFakeChatRequest(const Poco::JSON::Object &json)
{
    try {
        return parseFields(json);
    } catch (const Poco::Exception &error) {
        return fail(ErrorKind::BadRequest, "a field has a wrong type: " + error.displayText());
    }
}

FakeCompletion generateFakeCompletion(const FakeChatRequest &chat, std::uint64_t salt)
{
    const std::uint64_t hash = hashChat(chat, salt);
    const std::uint64_t length = hash % CompletionTokenSpread + MinCompletionTokens;
    std::vector<std::string> pieces;
    for (std::uint64_t index = 0; index < std::min(chat.maxTokens, length); ++index) {
        pieces.push_back(pieceAt(hash, index));
    }
    return {removeSentText(std::move(pieces), chat.sent), chat.maxTokens < length};
}

std::vector<std::string> fakePromptTokens(const FakeChatRequest &chat)
{
    std::vector<std::string> words;
    for (const FakeMessage &message : chat.messages) {
        words.push_back("<" + message.role + ">");
        addFakeWords(words, message.content);
    }
    words.emplace_back("<assistant>");
    addFakeWords(words, chat.sent);
    return words;
}

void addFakeWords(std::vector<std::string> &words, std::string_view text)
{
    for (std::size_t at = text.find_first_not_of(Whitespace); at != std::string_view::npos;) {
        const std::size_t end = std::min(text.find_first_of(Whitespace, at), text.size());
        words.emplace_back(text.substr(at, end - at));
        at = text.find_first_not_of(Whitespace, end);
    }
}

} // namespace Chestnuthook
