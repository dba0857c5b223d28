/** @file call_request_func.cpp  Parsing and validation of calls. */
#include "program/call_request_type.h"

#include <algorithm>
#include <array>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TextEncoding.h>
#include <Poco/UTF8Encoding.h>

#include "core/hash_func.h"
#include "observe/event_ring_base.h"

namespace Chestnuthook
{

namespace
{

constexpr int MaxDepth = 32;
constexpr std::size_t MaxMessages = 4096;
constexpr std::array<std::string_view, 4> Roles = {"system", "user", "assistant", "tool"};
constexpr std::array<std::string_view, 6> Methods = {"GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"};

using Object = Poco::JSON::Object::Ptr;

tl::unexpected<Error> badRequest(const std::string &what)
{
    return fail(ErrorKind::BadRequest, what);
}

Result<Object> parseObject(const std::string &body)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaxDepth);
        return parser.parse(body).extract<Object>();
    } catch (const std::exception &) {
        return badRequest("the body must be a JSON object with at most 32 levels");
    }
}

Result<std::string> textField(const Object &object, const std::string &name)
{
    const Poco::Dynamic::Var value = object->get(name);
    if (value.isEmpty() || !value.isString() || value.extract<std::string>().empty()) {
        return badRequest("field " + name + " must be a non-empty string");
    }
    return value.extract<std::string>();
}

Result<bool> flagField(const Object &object, const std::string &name)
{
    const Poco::Dynamic::Var value = object->get(name);
    if (value.isEmpty()) {
        return false;
    }
    if (!value.isBoolean()) {
        return badRequest("field " + name + " must be true or false");
    }
    return value.extract<bool>();
}

Result<std::uint32_t> countField(const Object &object, const std::string &name)
{
    const Poco::Dynamic::Var value = object->get(name);
    if (value.isEmpty()) {
        return 0;
    }
    if (!value.isInteger() || value.isBoolean() || value.convert<std::int64_t>() < 1
        || value.convert<std::int64_t>() > 1'000'000) {
        return badRequest("field " + name + " must be a whole number from 1 to 1000000");
    }
    return value.convert<std::uint32_t>();
}

Result<std::vector<ChatMessage>> readMessages(const Object &object)
{
    const Poco::JSON::Array::Ptr list = object->isArray("messages") ? object->getArray("messages") : nullptr;
    if (list.isNull() || list->size() == 0 || list->size() > MaxMessages) {
        return badRequest("field messages must be an array of 1 to 4096 messages");
    }
    std::vector<ChatMessage> messages;
    for (unsigned i = 0; i < list->size(); ++i) {
        const Object message = list->isObject(i) ? list->getObject(i) : nullptr;
        const Poco::Dynamic::Var content = message.isNull() ? Poco::Dynamic::Var() : message->get("content");
        const Result<std::string> role = message.isNull() ? badRequest("") : textField(message, "role");
        const bool isKnownRole = role && std::find(Roles.begin(), Roles.end(), *role) != Roles.end();
        if (!isKnownRole || !content.isString()) {
            return badRequest("messages[" + std::to_string(i)
                + "] must have a role (system, user, assistant, tool) and a string content");
        }
        messages.push_back(ChatMessage{*role, content.extract<std::string>()});
    }
    return messages;
}

Result<CallRequest> parseModelCall(const Object &object, CallRequest call)
{
    const auto model = textField(object, "model");
    const auto messages = readMessages(object);
    const auto maxTokens = countField(object, "max_tokens");
    const auto stream = flagField(object, "stream");
    if (!model || !messages || !maxTokens || !stream) {
        const Error &error = !model ? model.error()
            : !messages             ? messages.error()
            : !maxTokens            ? maxTokens.error()
                                    : stream.error();
        return tl::unexpected(error);
    }
    call.model = ModelId{*model};
    call.messages = *messages;
    call.maxTokens = *maxTokens;
    call.stream = *stream;
    return call;
}

Result<CallRequest> parseToolCall(const Object &object, CallRequest call)
{
    call.kind = CallKind::Tool;
    const auto service = textField(object, "service");
    const auto method = textField(object, "method");
    const auto path = textField(object, "path");
    const auto idempotent = flagField(object, "idempotent");
    if (!service || !method || !path || !idempotent) {
        const Error &error = !service ? service.error()
            : !method                 ? method.error()
            : !path                   ? path.error()
                                      : idempotent.error();
        return tl::unexpected(error);
    }
    if (std::find(Methods.begin(), Methods.end(), *method) == Methods.end()) {
        return badRequest("field method must be GET, HEAD, PUT, DELETE, POST or PATCH");
    }
    const bool isValidPath =
        path->front() == '/' && std::none_of(path->begin(), path->end(), [](unsigned char character) {
            return character <= ' ' || character == 0x7f;
        });
    if (!isValidPath) {
        return badRequest("field path must begin with / and contain no spaces or control characters");
    }
    call.service = ServiceId{*service};
    call.method = *method;
    call.path = *path;
    call.idempotent = *idempotent;
    const Poco::Dynamic::Var contentType = object->get("content_type");
    if (!contentType.isEmpty() && !contentType.isString()) {
        return badRequest("field content_type must be a string");
    }
    call.contentType = contentType.isEmpty() ? "application/json" : contentType.extract<std::string>();
    const Poco::Dynamic::Var toolBody = object->get("body");
    call.toolBody = toolBody.isEmpty() ? std::string() : Poco::Dynamic::Var::toString(toolBody);
    if (toolBody.isString()) {
        call.toolBody = toolBody.extract<std::string>();
    }
    return call;
}

/** Concatenates the text parts of a message content. */
std::string joinTextParts(const Poco::JSON::Array::Ptr &parts)
{
    std::string text;
    for (unsigned i = 0; i < parts->size(); ++i) {
        const Object part = parts->isObject(i) ? parts->getObject(i) : nullptr;
        text += part.isNull() ? "" : part->optValue<std::string>("text", "");
    }
    return text;
}

std::string messagesJson(const std::vector<ChatMessage> &messages)
{
    std::string json;
    for (const ChatMessage &message : messages) {
        json += (json.empty() ? "" : ",") + (R"({"role":)" + jsonQuoted(message.role)) + R"(,"content":)"
            + jsonQuoted(message.content) + "}";
    }
    return "[" + json + "]";
}

/** Returns the canonical body of a model call. */
std::string modelBody(
    const ModelId &model, const std::vector<ChatMessage> &messages, std::uint32_t maxTokens, bool stream)
{
    return R"({"kind":"model","model":)" + jsonQuoted(model.text) + R"(,"messages":)" + messagesJson(messages)
        + (maxTokens == 0 ? "" : R"(,"max_tokens":)" + std::to_string(maxTokens)) + R"(,"stream":)"
        + (stream ? "true" : "false") + "}";
}

bool isUtf8(const std::string &text)
{
    const Poco::UTF8Encoding encoding;
    const auto *position = reinterpret_cast<const unsigned char *>(text.data());
    const auto *end = position + text.size();
    while (position < end) {
        const int length = encoding.sequenceLength(position, static_cast<int>(end - position));
        if (length < 1 || length > end - position || !Poco::UTF8Encoding::isLegal(position, length)) {
            return false;
        }
        position += length;
    }
    return true;
}

} // namespace

Result<CallRequest> parseCall(const std::string &body)
{
    if (!isUtf8(body)) {
        return badRequest("the body is not valid UTF-8");
    }
    const Result<Object> object = parseObject(body);
    if (!object) {
        return tl::unexpected(object.error());
    }
    CallRequest call;
    call.digest = sha256Hex(body);
    call.body = body;
    const Result<std::string> kind = textField(*object, "kind");
    if (kind && *kind == "model") {
        return parseModelCall(*object, std::move(call));
    }
    if (kind && *kind == "tool") {
        return parseToolCall(*object, std::move(call));
    }
    return badRequest("field kind must be model or tool");
}

Result<CallRequest> makeServiceCall(const ServiceId &service, const std::string &method, const std::string &path,
    const std::string &contentType, const std::string &body)
{
    return parseCall(R"({"kind":"tool","service":)" + jsonQuoted(service.text) + R"(,"method":)" + jsonQuoted(method)
        + R"(,"path":)" + jsonQuoted(path) + R"(,"content_type":)" + jsonQuoted(contentType)
        + (body.empty() ? "" : R"(,"body":)" + jsonQuoted(body)) + "}");
}

Result<CallRequest> parseChatCall(const std::string &body)
{
    if (!isUtf8(body)) {
        return badRequest("the body is not valid UTF-8");
    }
    Result<Object> object = parseObject(body);
    if (!object) {
        return tl::unexpected(object.error());
    }
    const Poco::JSON::Array::Ptr list = (*object)->isArray("messages") ? (*object)->getArray("messages") : nullptr;
    for (unsigned i = 0; !list.isNull() && i < list->size(); ++i) {
        Object message = list->isObject(i) ? list->getObject(i) : nullptr;
        if (!message.isNull() && message->isArray("content")) {
            message->set("content", joinTextParts(message->getArray("content")));
        }
    }
    if (!(*object)->has("max_tokens") && (*object)->has("max_completion_tokens")) {
        (*object)->set("max_tokens", (*object)->get("max_completion_tokens"));
    }
    Result<CallRequest> call = parseModelCall(*object, CallRequest{});
    if (!call) {
        return call;
    }
    return parseCall(modelBody(call->model, call->messages, call->maxTokens, call->stream));
}

CallRequest withoutHistory(const CallRequest &call, const std::vector<ChatMessage> &history)
{
    const auto same = [](const ChatMessage &left, const ChatMessage &right) {
        return left.role == right.role && left.content == right.content;
    };
    const bool startsWithHistory = history.size() < call.messages.size()
        && std::equal(history.begin(), history.end(), call.messages.begin(), same);
    if (!startsWithHistory || history.empty()) {
        return call;
    }
    const std::vector<ChatMessage> newMessages(
        call.messages.begin() + static_cast<std::ptrdiff_t>(history.size()), call.messages.end());
    return parseCall(modelBody(call.model, newMessages, call.maxTokens, call.stream)).value_or(call);
}

Result<std::vector<ChatMessage>> parseMessages(const std::string &body)
{
    const Result<Object> object = parseObject(body);
    if (!object) {
        return tl::unexpected(object.error());
    }
    return readMessages(*object);
}

} // namespace Chestnuthook
