/** @file load_ledger_func.h  What really reached the stand-ins, held against what the callers were told. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/load_client_base.h"
#include "load/load_record_base.h"

namespace Chestnuthook
{

/** Use of the engines' caches, from their ledgers. */
struct CacheUse
{
    std::uint64_t prompt = 0; ///< Tokens of all prompts.
    std::uint64_t cachedOnce = 0; ///< Tokens of prompts that an engine had cached for the program before.
    std::uint64_t recomputed = 0; ///< Of these, those that were computed again.
};

/** One request in a ledger. */
struct LedgerRequest
{
    std::string program; ///< As the engine was told.
    std::string query; ///< Of the path.
    std::string digest; ///< Of the body.
    std::string outcome; ///< running, ok, cancelled, fault, refused.
    std::string note; ///< Of an engine: prompt and cached tokens.
    std::int64_t startMs = 0; ///< Wall time.
};

/** Reads the ledger JSON of a stand-in. @return what it holds; empty where it isn't one. */
[[nodiscard]] std::vector<LedgerRequest> parseLedger(const std::string &json);

/** Ledgers of all stand-ins at @p addresses. */
[[nodiscard]] std::vector<LedgerRequest> readLedgers(const std::vector<std::string> &addresses);

/** Checks the tool calls of @p record against the services' ledgers. */
void checkTools(const std::vector<LedgerRequest> &services, LoadRecord &record);

/** Adds up the cache use of programs. */
[[nodiscard]] CacheUse cacheUse(std::vector<LedgerRequest> engines);

} // namespace Chestnuthook
