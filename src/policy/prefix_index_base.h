/** @file prefix_index_base.h  Estimated contents of the endpoints' prefix caches, from this entry's dispatches and from
 * delayed cache events. */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

#include "core/id_type.h"

namespace Chestnuthook
{

/** Bounded for each endpoint: the least recently used programs are removed first, as the endpoint evicts them too. */
class PrefixIndex
{
public:
    /** Factor on the tokens of an uncertain record. */
    static constexpr double UncertainFactor = 0.5;
    static constexpr std::size_t MaxProgramsPerEndpoint = 4096;

    /** Records that @p endpoint holds @p tokens of @p program after a call. */
    void setCachedTokens(const EndpointId &endpoint, const ProgramId &program, double tokens)
    {
        Endpoint &row = this->endpoints[endpoint];
        const auto found = row.programs.find(program);
        if (found != row.programs.end()) {
            row.recent.erase(found->second.position);
        }
        row.recent.push_back(program);
        row.programs[program] = CacheRecord{tokens, false, std::prev(row.recent.end())};
        if (row.programs.size() > MaxProgramsPerEndpoint) {
            row.programs.erase(row.recent.front());
            row.recent.pop_front();
        }
    }

    /** Processes a cache event, which may be late. A gap in the sequence makes all records of the endpoint uncertain
     * until a call or an event confirms them. @p tokens 0 means that the program was evicted; unknown programs are
     * ignored. */
    void onEvent(const EndpointId &endpoint, std::uint64_t sequence, const ProgramId &program, double tokens)
    {
        Endpoint &row = this->endpoints[endpoint];
        if (sequence <= row.sequence) {
            return;
        }
        if (row.sequence != 0 && sequence != row.sequence + 1) {
            for (auto &[id, record] : row.programs) {
                record.uncertain = true;
            }
        }
        row.sequence = sequence;
        const auto found = row.programs.find(program);
        if (found == row.programs.end()) {
            return;
        }
        if (tokens > 0) {
            found->second.uncertain = false;
            return;
        }
        row.recent.erase(found->second.position);
        row.programs.erase(found);
    }

    /** Removes all records of an endpoint that was restarted. */
    void forget(const EndpointId &endpoint)
    {
        this->endpoints.erase(endpoint);
    }

    /** Estimated tokens of @p program in the cache of @p endpoint. */
    [[nodiscard]] double cached(const EndpointId &endpoint, const ProgramId &program) const
    {
        const auto row = this->endpoints.find(endpoint);
        if (row == this->endpoints.end()) {
            return 0;
        }
        const auto record = row->second.programs.find(program);
        if (record == row->second.programs.end()) {
            return 0;
        }
        return record->second.tokens * (record->second.uncertain ? UncertainFactor : 1);
    }

private:
    struct CacheRecord
    {
        double tokens = 0; ///< Tokens in the cache after the last call.
        bool uncertain = false; ///< Events were lost since the record was confirmed.
        std::list<ProgramId>::iterator position; ///< Position in `recent`.
    };
    struct Endpoint
    {
        std::unordered_map<ProgramId, CacheRecord> programs; ///< Same programs as `recent`.
        std::list<ProgramId> recent; ///< Least recently used first.
        std::uint64_t sequence = 0; ///< Sequence number of the last event; 0 before the first.
    };
    std::map<EndpointId, Endpoint> endpoints; ///< By endpoint.
};

} // namespace Chestnuthook
