/** @file program_table_base.h  What a pool remembers of programs: where they ran, and how far they have come. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** What is remembered of one program. */
struct ProgramRecord
{
    std::uint32_t place = 0; ///< Number of the endpoint where its last turn ran; 0 for none.
    std::uint32_t cachedTokens = 0; ///< Prompt and output of that turn, which the endpoint has probably cached.
    std::uint32_t turns = 0; ///< Turns that have been granted.
    double progressMs = 0; ///< Time that its ended turns and pauses would have taken on idle endpoints of usual speed.
    std::optional<Instant> endedAt; ///< When its last turn ended; empty while one waits or runs.
};

/** Records of programs, at most MaxPrograms; the one used longest ago is forgotten first. */
class ProgramTable
{
public:
    static constexpr std::size_t MaxPrograms = 4096; ///< Some 400 KB.

    /** @return the record; nullptr if the program is unknown. */
    [[nodiscard]] const ProgramRecord *find(std::uint64_t program) const
    {
        const auto found = this->index.find(program);
        return found == this->index.end() ? nullptr : &found->second->second;
    }
    /** @return the record, which is created if needed; valid until the next call. */
    ProgramRecord &use(std::uint64_t program)
    {
        const auto found = this->index.find(program);
        if (found != this->index.end()) {
            this->records.splice(this->records.begin(), this->records, found->second);
            return found->second->second;
        }
        if (this->records.size() >= MaxPrograms) {
            this->index.erase(this->records.back().first);
            this->records.pop_back();
        }
        this->records.emplace_front(program, ProgramRecord());
        this->index[program] = this->records.begin();
        return this->records.front().second;
    }
    [[nodiscard]] std::size_t size() const
    {
        return this->records.size();
    }

private:
    using Records = std::list<std::pair<std::uint64_t, ProgramRecord>>;
    Records records; ///< The one used last is first.
    std::unordered_map<std::uint64_t, Records::iterator> index; ///< Records by program.
};

} // namespace Chestnuthook
