/** @file fake_ledger_base.h  The ledger of a stand-in: every request that reached it, and how it ended. */
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

/** How a request at a stand-in ended. */
enum class FakeOutcome : std::uint8_t { Running, Ok, Cancelled, Fault, Refused };

/** The name of @p outcome in the ledger. */
[[nodiscard]] std::string_view fakeOutcomeName(FakeOutcome outcome);

/** One request as a stand-in saw it. */
struct FakeLedgerEntry
{
    std::string attempt; ///< Header X-Attempt-Id, or empty.
    std::string program; ///< Header X-Program-Id, or empty.
    std::string method; ///< The HTTP method.
    std::string path; ///< The path without the query.
    std::string query; ///< The query without its question mark.
    std::vector<std::pair<std::string, std::string>> headers; ///< All headers in their order.
    std::string bodyDigest; ///< Hash of the body in hex.
    std::string note; ///< What the stand-in made of it, such as an order and its fence.
    std::int64_t startMs = 0; ///< Unix time of arrival in milliseconds.
    std::int64_t endMs = 0; ///< Unix time of the end in milliseconds; 0 while it runs.
    FakeOutcome outcome = FakeOutcome::Running; ///< How it ended.
};

/** A bounded, thread-safe record of requests. */
class FakeLedger
{
public:
    static constexpr std::size_t EntryBound = 100000; ///< Older entries are dropped and counted.

    /** Adds @p entry; the number it returns names it in end(). */
    std::size_t begin(FakeLedgerEntry entry);
    /** Ends the entry @p number. */
    void end(std::size_t number, FakeOutcome outcome, const std::string &note, std::int64_t endMs);
    /** The latest attempt id other than @p attempt, or an invented one. */
    [[nodiscard]] std::string otherAttempt(const std::string &attempt) const;
    /** The ledger as JSON: `requests` and the count `dropped`. */
    [[nodiscard]] Poco::JSON::Object::Ptr toJson() const;

private:
    mutable std::mutex mutex; ///< Guards all below.
    std::deque<FakeLedgerEntry> entries; ///< At most EntryBound, oldest first.
    std::size_t dropped = 0; ///< Number of the first entry that is still held.
};

} // namespace Chestnuthook
