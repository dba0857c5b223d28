/** @file load_record_base.h  What a run saw: latencies, refusals, and each promise that did not hold. */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Chestnuthook
{

/** The promises that the tool checks. */
enum class LoadPromise : std::uint8_t { WholeOwnAnswer, SameAnswerOnResend, Order, AtMostOnce, NotRunIsTrue, Budget };
constexpr std::size_t LoadPromiseCount = 6;

/** Name of @p promise, for reports. */
[[nodiscard]] std::string loadPromiseName(LoadPromise promise);

/** Counts of one customer. */
struct CustomerRecord
{
    std::uint64_t programs = 0; ///< Arrived.
    std::uint64_t finished = 0; ///< Came to their end.
    std::uint64_t calls = 0; ///< Answered in full.
    std::uint64_t refusals = 0; ///< Answers 429 and 503, each time.
    std::uint64_t abandoned = 0; ///< Calls given up after all tries.
};

/** A tool call that was sent, as the ledgers are searched for it. */
struct SentTool
{
    std::string marker; ///< In its path.
    std::string digest; ///< Of the body, as the service told it; empty where no answer came.
    bool idempotent = false; ///< It may run twice.
    bool refused = false; ///< The last word on it was that it did not run.
};

/** Thread-safe while the run goes on. */
class LoadRecord
{
public:
    explicit LoadRecord(std::size_t customers)
        : customers(customers)
    {
    }

    /** Counts one check of @p promise; @p what says what was seen where it did not hold. */
    void check(LoadPromise promise, bool held, const std::string &what);
    void addProgram(std::size_t customer, bool finished, double seconds, std::int64_t arrivalMs);
    void addCall(std::size_t customer, double seconds);
    void addRefusal(std::size_t customer);
    void addAbandoned(std::size_t customer, const std::string &code);
    void addTool(SentTool tool);

    std::vector<CustomerRecord> customers; ///< By index.
    std::vector<double> programSeconds; ///< Of finished programs, without thinking time.
    std::vector<std::pair<double, double>> timeline; ///< Arrival and latency of each finished program, in seconds.
    std::vector<double> callSeconds; ///< Of answered calls.
    std::array<std::uint64_t, LoadPromiseCount> checks{}; ///< By promise.
    std::array<std::uint64_t, LoadPromiseCount> broken{}; ///< By promise.
    std::vector<std::string> examples; ///< First broken promises in words.
    std::map<std::string, std::uint64_t> abandonedCodes; ///< Why calls were given up.
    std::vector<SentTool> tools; ///< Tool calls.
    std::mutex mutex; ///< Guards all above while the run goes on.
};

} // namespace Chestnuthook
