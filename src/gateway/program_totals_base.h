/** @file program_totals_base.h  How long programs have in all, for later turns that only state the time left. Does no
 * I/O and reads no clock. */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/timer_type.h"
#include "dispatch/endpoint_pool_type.h"

namespace Chestnuthook
{

class ProgramTotals
{
public:
    /** Programs are forgotten this long after their deadline; late ones still send turns. */
    static constexpr Duration LateTime = std::chrono::seconds(10);
    /** The table is searched for such programs when it has grown by this many. */
    static constexpr std::size_t SweepStep = 1024;

    /** Remembers the total of the program if @p request states one, and otherwise adds it if it is known. */
    void complete(Instant now, TurnRequest &request)
    {
        if (request.program == 0 || !request.programDeadline) {
            return;
        }
        if (!request.programTotal) {
            const auto found = this->totals.find(request.program);
            if (found != this->totals.end()) {
                request.programTotal = found->second.total;
            }
            return;
        }
        this->totals.insert_or_assign(request.program, Entry{*request.programTotal, *request.programDeadline});
        if (this->totals.size() >= this->sweepSize) {
            std::erase_if(this->totals, [now](const auto &entry) {
                return now - entry.second.deadline > LateTime;
            });
            this->sweepSize = this->totals.size() + SweepStep;
        }
    }
    [[nodiscard]] std::size_t size() const
    {
        return this->totals.size();
    }

private:
    struct Entry
    {
        std::chrono::milliseconds total{0}; ///< Time from the start of the program to its deadline.
        Instant deadline{0}; ///< Of the program.
    };

    std::unordered_map<std::uint64_t, Entry> totals; ///< By hash of the program's id.
    std::size_t sweepSize = SweepStep; ///< Size at which forgotten programs are removed.
};

} // namespace Chestnuthook
