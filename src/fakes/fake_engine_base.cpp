/** @file fake_engine_base.cpp  Fake model engine. */
#include "fakes/fake_engine_base.h"
#include "fakes/fake_json_func.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ostream>
#include <sstream>

#include <unistd.h>

#include <Poco/JSON/Array.h>
#include <Poco/NumberParser.h>

namespace Chestnuthook
{

namespace
{

using Poco::Net::HTTPResponse;

constexpr std::size_t MaxEventsPerResponse = 10000;
constexpr std::int64_t SamplesPerLag = 4;
constexpr std::int64_t MinSampleIntervalMs = 5;
constexpr std::chrono::milliseconds QueuePollInterval{20};
constexpr std::uint64_t CrossedSalt = 1;

std::string blockHex(std::uint64_t block)
{
    std::array<char, 17> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(block));
    return hex.data();
}

Poco::JSON::Object::Ptr eventJson(const FakeCacheEvent &event)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("sequence", event.sequence);
    json->set("kind", event.stored ? "stored" : "evicted");
    json->set("block", blockHex(event.block));
    json->set("program", event.program);
    return json;
}

Poco::JSON::Object::Ptr usageJson(std::size_t prompt, std::size_t completion, std::size_t cached)
{
    Poco::JSON::Object::Ptr usage = new Poco::JSON::Object;
    usage->set("prompt_tokens", static_cast<std::uint64_t>(prompt));
    usage->set("completion_tokens", static_cast<std::uint64_t>(completion));
    usage->set("total_tokens", static_cast<std::uint64_t>(prompt + completion));
    usage->set("cached_tokens", static_cast<std::uint64_t>(cached));
    return usage;
}

std::string completionId(const FakeExchange &exchange)
{
    return "chatcmpl-" + (exchange.responseAttempt.empty() ? fakeDigest(exchange.body) : exchange.responseAttempt);
}

/** The JSON of a complete response (@p part `message`) or of a chunk of a stream (@p part `delta`). */
Poco::JSON::Object::Ptr completionJson(const FakeExchange &exchange, const std::string &model, const std::string &part,
    const Poco::JSON::Object::Ptr &content, const Poco::Dynamic::Var &finish)
{
    Poco::JSON::Object::Ptr choice = new Poco::JSON::Object;
    choice->set("index", 0);
    choice->set(part, content);
    choice->set("finish_reason", finish);
    Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
    choices->add(choice);
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("id", completionId(exchange));
    json->set("object", part == "delta" ? "chat.completion.chunk" : "chat.completion");
    json->set("created", fakeNowMs() / 1000);
    json->set("model", model);
    json->set("choices", choices);
    return json;
}

bool sendChunk(std::ostream &out, const Poco::JSON::Object::Ptr &json)
{
    std::ostringstream text;
    json->stringify(text);
    out << "data: " + text.str() + "\n\n" << std::flush;
    return static_cast<bool>(out);
}

std::string finishReason(const FakeCompletion &answer)
{
    return answer.cut ? "length" : "stop";
}

/** Whether the fault of @p exchange takes effect before token @p index of @p count; by default that is halfway. */
bool faultAppliesAt(const FakeExchange &exchange, FakeFaultKind kind, std::size_t index, std::size_t count)
{
    if (!exchange.fault || exchange.fault->kind != kind) {
        return false;
    }
    const std::size_t place = exchange.fault->afterTokens == 0 ? count / 2 : exchange.fault->afterTokens;
    return index >= std::min(place, count - 1);
}

void startStream(FakeExchange &exchange)
{
    exchange.response.setStatus(HTTPResponse::HTTP_OK);
    exchange.response.setContentType("text/event-stream");
    exchange.response.set("Cache-Control", "no-cache");
    exchange.response.setChunkedTransferEncoding(true);
    if (!exchange.responseAttempt.empty()) {
        exchange.response.set("X-Attempt-Id", exchange.responseAttempt);
    }
}

} // namespace

FakeEngine::FakeEngine(FakeServerContext &serverContext, FakeEngineOptions settings)
    : common(serverContext)
    , options(std::move(settings))
    , models(this->options.models.begin(), this->options.models.end())
    , cache(this->options.cacheBlocks, this->options.blockTokens,
          [this] {
              return this->common.faults.takeGap();
          })
    , sampler([this] {
        this->sampleUntilStopped();
    })
{
}

FakeEngine::~FakeEngine()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->sampler.join();
}

FakeOutcome FakeEngine::serve(FakeExchange &exchange)
{
    const std::string call = exchange.request.getMethod() + " " + exchange.path;
    if (call == "POST /v1/chat/completions") {
        return this->handleChat(exchange);
    }
    if (call == "GET /v1/cache/events") {
        return this->sendEvents(exchange);
    }
    if (call == "GET /v1/load") {
        return this->sendLoad(exchange);
    }
    if (call == "POST /v1/cache/release") {
        return this->releaseProgram(exchange);
    }
    if (call == "POST /v1/orders") {
        return this->handleOrder(exchange);
    }
    return sendError(exchange, HTTPResponse::HTTP_NOT_FOUND, "not_found", "no such route: " + call);
}

bool FakeEngine::hasModel(const std::string &model)
{
    const std::scoped_lock lock(this->mutex);
    return this->models.contains(model);
}

FakeOutcome FakeEngine::handleChat(FakeExchange &exchange)
{
    auto chat = parseBody(exchange).and_then([](const auto &json) {
        return parseFakeChatRequest(*json);
    });
    if (!chat) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", chat.error().what);
    }
    if (!this->hasModel(chat->model)) {
        return sendError(exchange, HTTPResponse::HTTP_NOT_FOUND, "unknown_model", "not loaded: " + chat->model);
    }
    ChatWork work;
    work.answer = generateFakeCompletion(*chat, hasFault(exchange, FakeFaultKind::Crossed) ? CrossedSalt : 0);
    work.words = fakePromptTokens(*chat);
    work.chat = std::move(*chat);
    if (!this->enterBatch(exchange, work.chat.priority)) {
        return FakeOutcome::Cancelled;
    }
    const FakeOutcome outcome = this->runChat(exchange, work);
    this->leaveBatch();
    return outcome;
}

FakeOutcome FakeEngine::runChat(FakeExchange &exchange, ChatWork &work)
{
    const bool prefilled = this->prefill(exchange, work);
    exchange.note = "prompt=" + std::to_string(work.words.size()) + " cached=" + std::to_string(work.cached);
    if (!prefilled) {
        return FakeOutcome::Cancelled;
    }
    const FakeOutcome outcome =
        work.chat.stream ? this->streamCompletion(exchange, work) : this->sendCompletion(exchange, work);
    if (outcome == FakeOutcome::Ok) {
        this->cacheCompletion(exchange, work);
    }
    return outcome;
}

bool FakeEngine::enterBatch(const FakeExchange &exchange, std::int64_t priority)
{
    std::unique_lock lock(this->mutex);
    const QueueEntry entry{priority, this->arrivals++};
    this->queue.insert(entry);
    while (this->running >= this->options.batch || *this->queue.begin() != entry) {
        this->changed.wait_for(lock, QueuePollInterval);
        if (clientDisconnected(exchange)) {
            this->queue.erase(entry);
            this->changed.notify_all();
            return false;
        }
    }
    this->queue.erase(entry);
    this->running += 1;
    this->changed.notify_all();
    return true;
}

void FakeEngine::leaveBatch()
{
    const std::scoped_lock lock(this->mutex);
    this->running -= 1;
    this->changed.notify_all();
}

bool FakeEngine::prefill(const FakeExchange &exchange, ChatWork &work)
{
    {
        const std::scoped_lock lock(this->mutex);
        work.cached = this->cache.cachedWords(work.chat.model, work.words);
    }
    const auto uncached = static_cast<std::int64_t>(work.words.size() - work.cached);
    if (!waitUnlessDisconnected(exchange, uncached * this->options.prefillUsPerToken)) {
        return false;
    }
    const std::scoped_lock lock(this->mutex);
    this->cache.store(work.chat.model, work.words, exchange.program);
    return true;
}

/** Caches the prompt and the completion, since they are the prefix of the next call of the program. */
void FakeEngine::cacheCompletion(const FakeExchange &exchange, const ChatWork &work)
{
    FakeChatRequest whole = work.chat;
    for (const std::string &piece : work.answer.pieces) {
        whole.sent += piece;
    }
    const auto words = fakePromptTokens(whole);
    const std::scoped_lock lock(this->mutex);
    this->cache.store(whole.model, words, exchange.program);
}

bool FakeEngine::decodeStep(const FakeExchange &exchange) const
{
    const std::int64_t stepMs = this->options.tokenMs + faultDelayMs(exchange, FakeFaultKind::Slow);
    return waitUnlessDisconnected(exchange, stepMs * 1000);
}

FakeOutcome FakeEngine::sendCompletion(FakeExchange &exchange, const ChatWork &work)
{
    const auto &pieces = work.answer.pieces;
    std::string text;
    for (std::size_t index = 0; index < pieces.size(); ++index) {
        if (faultAppliesAt(exchange, FakeFaultKind::Crash, index, pieces.size())) {
            _exit(1);
        }
        if (!this->decodeStep(exchange)) {
            return FakeOutcome::Cancelled;
        }
        text += pieces[index];
    }
    Poco::JSON::Object::Ptr message = new Poco::JSON::Object;
    message->set("role", "assistant");
    message->set("content", text);
    auto json = completionJson(exchange, work.chat.model, "message", message, finishReason(work.answer));
    json->set("usage", usageJson(work.words.size(), pieces.size(), work.cached));
    return sendJson(exchange, HTTPResponse::HTTP_OK, json);
}

FakeOutcome FakeEngine::streamCompletion(FakeExchange &exchange, const ChatWork &work)
{
    if (!waitUnlessDisconnected(exchange, faultDelayMs(exchange, FakeFaultKind::Late) * 1000)) {
        return FakeOutcome::Cancelled;
    }
    startStream(exchange);
    std::ostream &out = exchange.response.send();
    const FakeOutcome sent = this->streamPieces(exchange, work, out);
    if (sent != FakeOutcome::Ok) {
        abortConnection(exchange);
        return sent;
    }
    const Poco::JSON::Object::Ptr nothing = new Poco::JSON::Object;
    auto last = completionJson(exchange, work.chat.model, "delta", nothing, finishReason(work.answer));
    last->set("usage", usageJson(work.words.size(), work.answer.pieces.size(), work.cached));
    sendChunk(out, last);
    out << "data: [DONE]\n\n" << std::flush;
    if (!out) {
        return FakeOutcome::Cancelled;
    }
    return hasFault(exchange, FakeFaultKind::Crossed) ? FakeOutcome::Fault : FakeOutcome::Ok;
}

FakeOutcome FakeEngine::streamPieces(FakeExchange &exchange, const ChatWork &work, std::ostream &out)
{
    const auto &pieces = work.answer.pieces;
    for (std::size_t index = 0; index < pieces.size(); ++index) {
        if (faultAppliesAt(exchange, FakeFaultKind::Crash, index, pieces.size())) {
            _exit(1);
        }
        if (faultAppliesAt(exchange, FakeFaultKind::Truncate, index, pieces.size())) {
            return FakeOutcome::Fault;
        }
        Poco::JSON::Object::Ptr delta = new Poco::JSON::Object;
        delta->set("content", pieces[index]);
        const auto chunk = completionJson(exchange, work.chat.model, "delta", delta, Poco::Dynamic::Var());
        if (!this->decodeStep(exchange) || !sendChunk(out, chunk)) {
            return FakeOutcome::Cancelled;
        }
    }
    return hasFault(exchange, FakeFaultKind::Truncate) ? FakeOutcome::Fault : FakeOutcome::Ok;
}

FakeOutcome FakeEngine::sendEvents(FakeExchange &exchange)
{
    const auto given = exchange.query.find("since");
    const std::uint64_t since = given == exchange.query.end() ? 0 : Poco::NumberParser::parseUnsigned64(given->second);
    std::vector<FakeCacheEvent> events;
    std::uint64_t next = 0;
    {
        const std::scoped_lock lock(this->mutex);
        events = this->cache.eventsSince(since, MaxEventsPerResponse);
        next = this->cache.nextSequence();
    }
    if (events.size() == MaxEventsPerResponse) {
        next = events.back().sequence + 1;
    }
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
    for (const FakeCacheEvent &event : events) {
        list->add(eventJson(event));
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("events", list);
    json->set("next", next);
    return sendJson(exchange, HTTPResponse::HTTP_OK, json);
}

FakeEngine::Load FakeEngine::sample()
{
    return {fakeNowMs(), this->running, this->queue.size(), this->cache.size(), this->cache.programs()};
}

/** The newest load sample that is at least reportLagMs old, or the oldest one if none is. */
FakeEngine::Load FakeEngine::delayedLoad()
{
    const std::scoped_lock lock(this->mutex);
    if (this->options.reportLagMs == 0 || this->samples.empty()) {
        return this->sample();
    }
    const std::int64_t latestMs = fakeNowMs() - this->options.reportLagMs;
    while (this->samples.size() > 1 && this->samples[1].atMs <= latestMs) {
        this->samples.pop_front();
    }
    return this->samples.front();
}

void FakeEngine::sampleUntilStopped()
{
    const std::int64_t lagMs = this->options.reportLagMs;
    const std::chrono::milliseconds period(std::max(lagMs / SamplesPerLag, MinSampleIntervalMs));
    std::unique_lock lock(this->mutex);
    while (lagMs > 0 && !this->stopping) {
        const std::int64_t latestMs = fakeNowMs() - lagMs;
        while (this->samples.size() > 1 && this->samples[1].atMs <= latestMs) {
            this->samples.pop_front();
        }
        this->samples.push_back(this->sample());
        const auto until = std::chrono::steady_clock::now() + period;
        this->changed.wait_until(lock, until, [this] {
            return this->stopping;
        });
    }
}

FakeOutcome FakeEngine::sendLoad(FakeExchange &exchange)
{
    const Load load = this->delayedLoad();
    Poco::JSON::Array::Ptr programs = new Poco::JSON::Array;
    for (const std::string &program : load.programs) {
        programs->add(program);
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("running", static_cast<std::uint64_t>(load.running));
    json->set("queued", static_cast<std::uint64_t>(load.queued));
    json->set("cached_blocks", static_cast<std::uint64_t>(load.cachedBlocks));
    json->set("held_programs", programs);
    json->set("age_ms", fakeNowMs() - load.atMs);
    return sendJson(exchange, HTTPResponse::HTTP_OK, json);
}

FakeOutcome FakeEngine::releaseProgram(FakeExchange &exchange)
{
    const auto json = parseBody(exchange);
    const std::string program = json ? fakeField<std::string>(**json, "program", "") : "";
    if (program.empty()) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", "a JSON body with program is needed");
    }
    std::size_t released = 0;
    {
        const std::scoped_lock lock(this->mutex);
        released = this->cache.release(program);
    }
    exchange.note = "release=" + program;
    Poco::JSON::Object::Ptr answer = new Poco::JSON::Object;
    answer->set("released", static_cast<std::uint64_t>(released));
    return sendJson(exchange, HTTPResponse::HTTP_OK, answer);
}

bool FakeEngine::applyOrder(const std::string &kind, const std::string &model, std::uint64_t fence)
{
    const std::scoped_lock lock(this->mutex);
    if (this->options.checkFencing && fence < this->highestFence) {
        return false;
    }
    this->highestFence = std::max(this->highestFence, fence);
    if (kind == "load_model") {
        this->models.insert(model);
    }
    return true;
}

FakeOutcome FakeEngine::handleOrder(FakeExchange &exchange)
{
    const auto json = parseBody(exchange);
    if (!json) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", json.error().what);
    }
    const std::string kind = fakeField<std::string>(**json, "order", "");
    const std::string model = fakeField<std::string>(**json, "model", "");
    const auto fence = fakeField<std::int64_t>(**json, "fence", -1);
    if ((kind != "load_model" && kind != "set_role") || model.empty() || fence < 0) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request",
            "order (load_model or set_role), model and a fence of at least 0 are needed");
    }
    exchange.note = "order=" + kind + " model=" + model + " fence=" + std::to_string(fence);
    if (!this->applyOrder(kind, model, static_cast<std::uint64_t>(fence))) {
        return sendError(exchange, HTTPResponse::HTTP_CONFLICT, "stale_fence", "a higher fence was seen");
    }
    Poco::JSON::Object::Ptr answer = new Poco::JSON::Object;
    answer->set("ok", true);
    return sendJson(exchange, HTTPResponse::HTTP_OK, answer);
}

} // namespace Chestnuthook
