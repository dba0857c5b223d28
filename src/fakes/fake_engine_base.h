/** @file fake_engine_base.h  Fake model engine with batching, a prefix cache, streaming, load reports and orders. */
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

/** Settings of a FakeEngine. */
struct FakeEngineOptions
{
    std::vector<std::string> models; ///< Models that are loaded at the start.
    std::int64_t tokenMs = 2; ///< Milliseconds to generate a token.
    std::int64_t prefillUsPerToken = 20; ///< Microseconds for each prompt token that is not cached.
    std::size_t batch = 32; ///< Number of requests that run at the same time; others are queued.
    std::size_t cacheBlocks = 4096; ///< Number of blocks in the prefix cache.
    std::size_t blockTokens = 16; ///< Tokens per cache block.
    std::int64_t reportLagMs = 500; ///< Age of load reports in milliseconds.
    bool checkFencing = true; ///< Reject orders with a fencing token below the highest seen.
};

/** A fake engine; thread-safe. */
class FakeEngine
{
public:
    FakeEngine(FakeServerContext &serverContext, FakeEngineOptions settings);
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine(FakeEngine &&) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;
    FakeEngine &operator=(FakeEngine &&) = delete;
    /** Stops the sampling thread. All requests must have ended. */
    ~FakeEngine();
    /** Handles one request. */
    FakeOutcome serve(FakeExchange &exchange);

private:
    struct Load
    {
        std::int64_t atMs = 0; ///< Time of the sample; Unix time in milliseconds.
        std::size_t running = 0; ///< Requests in the batch.
        std::size_t queued = 0; ///< Requests that wait for the batch.
        std::size_t cachedBlocks = 0; ///< Blocks in the prefix cache.
        std::vector<std::string> programs; ///< Programs that use at least one block.
    };

    struct ChatWork
    {
        FakeChatRequest chat; ///< Parsed request.
        FakeCompletion answer; ///< Completion to send.
        std::vector<std::string> words; ///< Tokens of the prompt.
        std::size_t cached = 0; ///< Number of prompt tokens that were cached.
    };

    using QueueEntry = std::pair<std::int64_t, std::uint64_t>; ///< Priority, then arrival number.

    FakeOutcome handleChat(FakeExchange &exchange);
    FakeOutcome runChat(FakeExchange &exchange, ChatWork &work);
    bool enterBatch(const FakeExchange &exchange, std::int64_t priority);
    void leaveBatch();
    bool prefill(const FakeExchange &exchange, ChatWork &work);
    void cacheCompletion(const FakeExchange &exchange, const ChatWork &work);
    [[nodiscard]] bool decodeStep(const FakeExchange &exchange) const;
    FakeOutcome sendCompletion(FakeExchange &exchange, const ChatWork &work);
    FakeOutcome streamCompletion(FakeExchange &exchange, const ChatWork &work);
    FakeOutcome streamPieces(FakeExchange &exchange, const ChatWork &work, std::ostream &out);
    FakeOutcome sendEvents(FakeExchange &exchange);
    FakeOutcome sendLoad(FakeExchange &exchange);
    FakeOutcome releaseProgram(FakeExchange &exchange);
    FakeOutcome handleOrder(FakeExchange &exchange);
    bool applyOrder(const std::string &kind, const std::string &model, std::uint64_t fence);
    bool hasModel(const std::string &model);
    Load sample();
    Load delayedLoad();
    void sampleUntilStopped();

    FakeServerContext &common; ///< Must outlive the engine.
    FakeEngineOptions options; ///< Constant.
    std::mutex mutex; ///< Guards all members below except the thread.
    std::condition_variable changed; ///< Signalled when the batch, the queue or `stopping` changes.
    std::set<std::string> models; ///< Loaded models.
    std::uint64_t highestFence = 0; ///< Highest fencing token of all orders.
    FakeCache cache; ///< Prefix cache of all models.
    std::size_t running = 0; ///< Requests in the batch; at most options.batch.
    std::set<QueueEntry> queue; ///< Requests that wait for the batch.
    std::uint64_t arrivals = 0; ///< Number of requests queued so far.
    std::deque<Load> samples; ///< Load samples, the oldest first.
    bool stopping = false; ///< Tells the sampling thread to stop.
    std::thread sampler; ///< Takes the load samples for delayed reports.
};

} // namespace Chestnuthook
