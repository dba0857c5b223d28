/** @file load_record_base.h  Results of a run: latencies, refusals and violated guarantees. */
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

/** The guarantees of the system that the tool checks; reports call them promises. */
enum class LoadGuarantee : std::uint8_t {
    CompleteOwnResponse,
    SameResponseOnResend,
    Order,
    AtMostOnce,
    NotRunIsAccurate,
    Budget
};
constexpr std::size_t LoadGuaranteeCount = 6;

/** Name of a guarantee in reports. */
[[nodiscard]] std::string loadGuaranteeName(LoadGuarantee guarantee);

/** Counters of one customer. */
struct CustomerRecord
{
    std::uint64_t programs = 0; ///< Programs started.
    std::uint64_t finished = 0; ///< Programs that finished.
    std::uint64_t calls = 0; ///< POST requests answered with status 200.
    std::uint64_t refusals = 0; ///< Responses with status 429 or 503, each retry counted.
    std::uint64_t abandoned = 0; ///< Calls that failed for good.
};

/** A tool call that was sent, to be found in the ledgers. */
struct SentToolCall
{
    std::string marker; ///< Unique marker in its path.
    std::string digest; ///< Hash of the body in the response of the service; empty if the call failed.
    bool idempotent = false; ///< It may run more than once.
    bool refused = false; ///< The final response says that it did not run.
};

/** Results of a run. The methods are thread-safe. */
class LoadRecord
{
public:
    explicit LoadRecord(std::size_t customers)
        : customers(customers)
    {
    }

    /** Counts a check of @p guarantee; @p what describes the violation if it does not hold. */
    void check(LoadGuarantee guarantee, bool held, const std::string &what);
    void addProgram(std::size_t customer, bool finished, double seconds, std::int64_t arrivalMs);
    void addCall(std::size_t customer, double seconds);
    void addRefusal(std::size_t customer);
    void addAbandoned(std::size_t customer, const std::string &code);
    void addToolCall(SentToolCall tool);

    std::vector<CustomerRecord> customers; ///< By index of the customer.
    std::vector<double> programSeconds; ///< Latency of each finished program in seconds, without its pauses.
    std::vector<std::pair<double, double>> timeline; ///< Arrival time and latency of each finished program, in seconds.
    std::vector<double> callSeconds; ///< Latency of each successful call in seconds.
    std::array<std::uint64_t, LoadGuaranteeCount> checks{}; ///< Number of checks by guarantee.
    std::array<std::uint64_t, LoadGuaranteeCount> broken{}; ///< Number of violations by guarantee.
    std::vector<std::string> examples; ///< Descriptions of the first violations.
    std::map<std::string, std::uint64_t> abandonedCodes; ///< Number of abandoned calls by error code.
    std::vector<SentToolCall> tools; ///< All tool calls that were sent.
    std::mutex mutex; ///< Guards all members above during the run.
};

} // namespace Chestnuthook
