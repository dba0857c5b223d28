/** @file fake_engine_base.h  The stand-in for a model engine: batch, prefix cache, streams, load reports, orders. */
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/fake_answer_func.h"
#include "fakes/fake_cache_base.h"
#include "fakes/fake_server_func.h"

namespace Chestnuthook
{

/** Settings of the engine. */
struct FakeEngineOptions
{
    std::vector<std::string> models; ///< Loaded at the start.
    std::int64_t tokenMs = 2; ///< Milliseconds for each token of an answer.
    std::int64_t prefillUsPerToken = 20; ///< Microseconds for each token of the prompt that isn't cached.
    std::size_t batch = 32; ///< Requests that run at the same time; the others queue.
    std::size_t cacheBlocks = 4096; ///< Size of the prefix cache.
    std::size_t blockTokens = 16; ///< Tokens of one cache block.
    std::int64_t reportLagMs = 500; ///< Load reports are this many milliseconds old.
    bool checkFencing = true; ///< Refuse orders with a lower fence than the highest seen.
};

/** The engine; thread-safe. */
class FakeEngine
{
public:
    FakeEngine(FakeCommon &commonParts, FakeEngineOptions settings);
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine(FakeEngine &&) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;
    FakeEngine &operator=(FakeEngine &&) = delete;
    /** Ends the sampling thread; no request may run any more. */
    ~FakeEngine();
    /** Answers one request. */
    FakeOutcome serve(FakeExchange &exchange);

private:
    struct Load
    {
        std::int64_t atMs = 0; ///< Unix time in milliseconds.
        std::size_t running = 0; ///< Requests in the batch.
        std::size_t queued = 0; ///< Requests before it.
        std::size_t cachedBlocks = 0; ///< Blocks held.
        std::vector<std::string> programs; ///< Programs with a block.
    };

    struct Work
    {
        FakeChat chat; ///< The request.
        FakeAnswer answer; ///< What is to be sent.
        std::vector<std::string> words; ///< The prompt's tokens.
        std::size_t cached = 0; ///< How many of them were cached.
    };

    using Ticket = std::pair<std::int64_t, std::uint64_t>; ///< Priority, then arrival.

    FakeOutcome chat(FakeExchange &exchange);
    FakeOutcome runChat(FakeExchange &exchange, Work &work);
    bool enterBatch(const FakeExchange &exchange, std::int64_t priority);
    void leaveBatch();
    bool prefill(const FakeExchange &exchange, Work &work);
    void keepAnswer(const FakeExchange &exchange, const Work &work);
    [[nodiscard]] bool decodeStep(const FakeExchange &exchange) const;
    FakeOutcome answerWhole(FakeExchange &exchange, const Work &work);
    FakeOutcome answerStream(FakeExchange &exchange, const Work &work);
    FakeOutcome sendPieces(FakeExchange &exchange, const Work &work, std::ostream &out);
    FakeOutcome sendEvents(FakeExchange &exchange);
    FakeOutcome sendLoad(FakeExchange &exchange);
    FakeOutcome releaseProgram(FakeExchange &exchange);
    FakeOutcome order(FakeExchange &exchange);
    bool takeOrder(const std::string &kind, const std::string &model, std::uint64_t fence);
    bool hasModel(const std::string &model);
    Load sample();
    Load laggedLoad();
    void sampleUntilStopped();

    FakeCommon &common; ///< Outlives the engine.
    FakeEngineOptions options; ///< Never changes.
    std::mutex mutex; ///< Guards all below but the thread.
    std::condition_variable changed; ///< The batch or `stopping` changed.
    std::set<std::string> models; ///< Loaded models.
    std::uint64_t highestFence = 0; ///< Of all orders seen.
    FakeCache cache; ///< The prefix cache.
    std::size_t running = 0; ///< At most options.batch.
    std::set<Ticket> queue; ///< Who waits for the batch.
    std::uint64_t arrivals = 0; ///< Requests that came to the queue.
    std::deque<Load> samples; ///< Oldest first.
    bool stopping = false; ///< The sampling thread is to end.
    std::thread sampler; ///< Takes samples for lagged reports.
};

} // namespace Chestnuthook
