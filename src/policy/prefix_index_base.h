/** @file prefix_index_base.h  What the caches of endpoints are believed to hold, from own dispatches and late events.
 */
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

/** Bounded per endpoint: the programs used longest ago are forgotten first, as the endpoint does too. */
class PrefixIndex
{
public:
    /** What a doubtful belief counts. */
    static constexpr double DoubtFactor = 0.5;
    static constexpr std::size_t MaxProgramsPerEndpoint = 4096;

    /** A call of @p program ran at @p endpoint, which holds @p tokens of it now. */
    void setCachedTokens(const EndpointId &endpoint, const ProgramId &program, double tokens)
    {
        Endpoint &row = this->endpoints[endpoint];
        const auto found = row.programs.find(program);
        if (found != row.programs.end()) {
            row.recent.erase(found->second.place);
        }
        row.recent.push_back(program);
        row.programs[program] = Belief{tokens, false, std::prev(row.recent.end())};
        if (row.programs.size() > MaxProgramsPerEndpoint) {
            row.programs.erase(row.recent.front());
            row.recent.pop_front();
        }
    }

    /** An event, possibly late. A jump of the sequence makes all beliefs about the endpoint doubtful until a call or
     * an event confirms them; @p tokens 0 means evicted, and programs that were never known are left out. */
    void onEvent(const EndpointId &endpoint, std::uint64_t sequence, const ProgramId &program, double tokens)
    {
        Endpoint &row = this->endpoints[endpoint];
        if (sequence <= row.sequence) {
            return;
        }
        if (row.sequence != 0 && sequence != row.sequence + 1) {
            for (auto &[id, belief] : row.programs) {
                belief.doubtful = true;
            }
        }
        row.sequence = sequence;
        const auto found = row.programs.find(program);
        if (found == row.programs.end()) {
            return;
        }
        if (tokens > 0) {
            found->second.doubtful = false;
            return;
        }
        row.recent.erase(found->second.place);
        row.programs.erase(found);
    }

    /** The endpoint began anew. */
    void forget(const EndpointId &endpoint)
    {
        this->endpoints.erase(endpoint);
    }

    /** Tokens of @p program that @p endpoint is believed to hold. */
    [[nodiscard]] double cached(const EndpointId &endpoint, const ProgramId &program) const
    {
        const auto row = this->endpoints.find(endpoint);
        if (row == this->endpoints.end()) {
            return 0;
        }
        const auto belief = row->second.programs.find(program);
        if (belief == row->second.programs.end()) {
            return 0;
        }
        return belief->second.tokens * (belief->second.doubtful ? DoubtFactor : 1);
    }

private:
    struct Belief
    {
        double tokens = 0; ///< Held after the last call there.
        bool doubtful = false; ///< Events were missed since.
        std::list<ProgramId>::iterator place; ///< In `recent`.
    };
    struct Endpoint
    {
        std::unordered_map<ProgramId, Belief> programs; ///< Same programs as `recent`.
        std::list<ProgramId> recent; ///< Used longest ago first.
        std::uint64_t sequence = 0; ///< Of the last event; 0 before the first.
    };
    std::map<EndpointId, Endpoint> endpoints; ///< By endpoint.
};

} // namespace Chestnuthook
