/** @file load_ledger_func.cpp  Fetches and evaluates the ledgers of the fakes. */
#include "load/load_ledger_func.h"

#include <algorithm>
#include <cstdio>
#include <map>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace Chestnuthook
{

namespace
{

/** The parameter `marker` of a query; empty if there is none. */
std::string markerOf(const std::string &query)
{
    constexpr std::string_view Name = "marker=";
    const std::size_t at = query.find(Name);
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + Name.size();
    return query.substr(begin, query.find('&', begin) - begin);
}

} // namespace

std::vector<LedgerRequest> parseLedger(const std::string &json)
{
    std::vector<LedgerRequest> found;
    try {
        const auto list = Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>()->getArray("requests");
        for (unsigned i = 0; !list.isNull() && i < list->size(); ++i) {
            const auto item = list->getObject(i);
            found.push_back(
                LedgerRequest{item->optValue<std::string>("program", ""), item->optValue<std::string>("query", ""),
                    item->optValue<std::string>("body_digest", ""), item->optValue<std::string>("outcome", ""),
                    item->optValue<std::string>("note", ""), item->optValue<std::int64_t>("start_ms", 0)});
        }
    } catch (const std::exception &) {
        found.clear();
    }
    return found;
}

std::vector<LedgerRequest> readLedgers(const std::vector<std::string> &addresses)
{
    std::vector<LedgerRequest> all;
    for (const std::string &address : addresses) {
        const auto found = parseLedger(sendRequest(address, "", "GET", "/fake/ledger", "").body);
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

void checkToolCalls(const std::vector<LedgerRequest> &services, LoadRecord &record)
{
    std::map<std::string, std::vector<const LedgerRequest *>> byMarker;
    for (const LedgerRequest &request : services) {
        // A refused request had no effect; a request with any other outcome may have had one.
        if (request.outcome != "refused") {
            byMarker[markerOf(request.query)].push_back(&request);
        }
    }
    const std::vector<SentToolCall> tools = record.tools;
    for (const SentToolCall &tool : tools) {
        const auto &seen = byMarker[tool.marker];
        if (!tool.idempotent) {
            record.check(LoadGuarantee::AtMostOnce, seen.size() <= 1,
                tool.marker + " reached services " + std::to_string(seen.size()) + " times");
        }
        if (tool.refused) {
            record.check(LoadGuarantee::NotRunIsAccurate, seen.empty(), tool.marker + " was said not to have run");
        }
        if (!tool.digest.empty()) {
            const bool own = std::any_of(seen.begin(), seen.end(), [&](const LedgerRequest *request) {
                return request->digest == tool.digest;
            });
            record.check(LoadGuarantee::CompleteOwnResponse, own, tool.marker + " got another request's answer");
        }
    }
}

CacheUse computeCacheUse(std::vector<LedgerRequest> engines)
{
    std::stable_sort(engines.begin(), engines.end(), [](const LedgerRequest &left, const LedgerRequest &right) {
        return left.startMs < right.startMs;
    });
    CacheUse use;
    std::map<std::string, std::uint64_t> before;
    for (const LedgerRequest &request : engines) {
        unsigned long prompt = 0;
        unsigned long cached = 0;
        if (request.program.empty()
            || std::sscanf(request.note.c_str(), "prompt=%lu cached=%lu", &prompt, &cached) != 2) {
            continue;
        }
        std::uint64_t &earlier = before[request.program];
        const std::uint64_t once = std::min<std::uint64_t>(earlier, prompt);
        use.prompt += prompt;
        use.cachedOnce += once;
        use.recomputed += once > cached ? once - cached : 0;
        earlier = prompt;
    }
    return use;
}

} // namespace Chestnuthook
