/** @file load_ledger_func.h  Compares the requests that the fakes received with the responses that clients received. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/load_client_base.h"
#include "load/load_record_base.h"

namespace Chestnuthook
{

/** Use of the prefix caches of the engines, from their ledgers. */
struct CacheUse
{
    std::uint64_t prompt = 0; ///< Number of tokens in all prompts.
    std::uint64_t cachedOnce = 0; ///< Number of those that an earlier call of the program had put into a cache.
    std::uint64_t recomputed = 0; ///< Number of the cachedOnce tokens that were computed again.
};

/** A request in the ledger of a fake. */
struct LedgerRequest
{
    std::string program; ///< Program id, from header X-Program-Id.
    std::string query; ///< Query of the URL.
    std::string digest; ///< Hash of the body.
    std::string outcome; ///< `running`, `ok`, `cancelled`, `fault` or `refused`.
    std::string note; ///< Details; for an engine the numbers of prompt tokens and cached tokens.
    std::int64_t startMs = 0; ///< Time of arrival; Unix time in milliseconds.
};

/** Parses the ledger JSON of a fake. @return its requests; empty if it is not valid. */
[[nodiscard]] std::vector<LedgerRequest> parseLedger(const std::string &json);

/** Fetches the ledgers of all fakes at @p addresses. */
[[nodiscard]] std::vector<LedgerRequest> readLedgers(const std::vector<std::string> &addresses);

/** Checks the tool calls of @p record against the ledgers of the services. */
void checkToolCalls(const std::vector<LedgerRequest> &services, LoadRecord &record);

/** Sums up the cache use of all programs. */
[[nodiscard]] CacheUse computeCacheUse(std::vector<LedgerRequest> engines);

} // namespace Chestnuthook
