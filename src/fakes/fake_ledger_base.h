/** @file fake_ledger_base.h  Ledger of a fake server: the requests that it received and their outcomes. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <Poco/JSON/Object.h>

namespace Chestnuthook
{

/** Outcome of a request to a fake server. */
enum class FakeOutcome : std::uint8_t { Running, Ok, Cancelled, Fault, Refused };

/** Name of @p outcome in the ledger JSON. */
[[nodiscard]] std::string_view fakeOutcomeName(FakeOutcome outcome);

/** A request that a fake server received. */
struct FakeLedgerEntry
{
    std::string attempt; ///< Header X-Attempt-Id, or empty.
    std::string program; ///< Header X-Program-Id, or empty.
    std::string method; ///< HTTP method.
    std::string path; ///< Path without the query.
    std::string query; ///< Query without the question mark.
    std::vector<std::pair<std::string, std::string>> headers; ///< All headers in the order of the request.
    std::string bodyDigest; ///< Hash of the body in hexadecimal.
    std::string note; ///< Details added by the server, for example an order and its fencing token.
    std::int64_t startMs = 0; ///< Time of arrival; Unix time in milliseconds.
    std::int64_t endMs = 0; ///< Time of the end; Unix time in milliseconds, 0 while the request runs.
    FakeOutcome outcome = FakeOutcome::Running; ///< Outcome, or Running.
};

/** A bounded log of requests; thread-safe. */
class FakeLedger
{
public:
    static constexpr std::size_t MaxEntries = 100000; ///< When exceeded, the oldest entries are dropped.

    /** Adds @p entry. @return its number, for end(). */
    std::size_t begin(FakeLedgerEntry entry);
    /** Sets the outcome of entry @p number; ignored if the entry has been dropped. */
    void end(std::size_t number, FakeOutcome outcome, const std::string &note, std::int64_t endMs);
    /** The latest attempt id other than @p attempt, or a made-up one if there is none. */
    [[nodiscard]] std::string otherAttempt(const std::string &attempt) const;
    /** The ledger as JSON: the list `requests` and the number `dropped`. */
    [[nodiscard]] Poco::JSON::Object::Ptr toJson() const;

private:
    mutable std::mutex mutex; ///< Guards all members below.
    std::deque<FakeLedgerEntry> entries; ///< Oldest first; at most MaxEntries.
    std::size_t dropped = 0; ///< Count of dropped entries, which is also the number of the first entry left.
};

} // namespace Chestnuthook
