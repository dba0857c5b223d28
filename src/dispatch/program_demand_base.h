/** @file program_demand_base.h  How many slots the programs in progress will need, learnt from their turns and pauses.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Counts programs between two turns, and learns how long pauses are and how often another turn follows.
 *
 * A program in progress needs a slot for a part of its time only, but needs it again after each pause. New programs
 * that are admitted whenever a slot is free at the moment delay those that return. */
class ProgramDemand
{
public:
    /** A turn of @p program was submitted; the time since its last turn is @p pauseMs if it had one. */
    void beginTurn(std::uint64_t program, double pauseMs)
    {
        if (this->pausing.erase(program) > 0) {
            this->meanPauseMs += (std::min(pauseMs, MaxPauseMs) - this->meanPauseMs) * Gain;
            this->returnPart += (1 - this->returnPart) * Gain;
        }
    }
    /** A turn of @p program ended after @p turnMs. */
    void endTurn(Instant now, std::uint64_t program, double turnMs)
    {
        this->meanTurnMs += (std::min(turnMs, MaxTurnMs) - this->meanTurnMs) * Gain;
        if (program != 0 && this->pausing.insert(program).second) {
            this->ends.push_back({now, program});
        }
        while (this->ends.size() > MaxPausing) {
            this->pausing.erase(this->ends.front().program);
            this->ends.pop_front();
        }
    }
    /** Forgets programs whose pause is so long that they have probably ended. */
    void removeEnded(Instant now)
    {
        const Duration bound(static_cast<std::int64_t>(this->meanPauseMs * LingerFactor * 1e3));
        while (!this->ends.empty() && now - this->ends.front().at > bound) {
            if (this->pausing.erase(this->ends.front().program) > 0) {
                this->returnPart -= this->returnPart * Gain;
            }
            this->ends.pop_front();
        }
    }

    /** Slots that the programs in progress need on average, with @p turns that run or wait. */
    [[nodiscard]] double slots(std::size_t turns) const
    {
        const double programs =
            static_cast<double>(turns) + static_cast<double>(this->pausing.size()) * this->returnPart;
        return programs * this->meanTurnMs / (this->meanTurnMs + this->meanPauseMs * this->returnPart);
    }

private:
    static constexpr double Gain = 0.01; ///< Part of one turn in the means.
    static constexpr double LingerFactor = 2; ///< Pauses beyond this many times the mean are taken for the end.
    static constexpr double MaxPauseMs = 2000; ///< Longest pause that counts.
    static constexpr double MaxTurnMs = 5000; ///< Longest turn that counts.
    static constexpr std::size_t MaxPausing = 4096; ///< Bound of the table.

    struct End
    {
        Instant at; ///< When the turn ended.
        std::uint64_t program = 0; ///< Its program.
    };
    std::deque<End> ends; ///< Ends of turns, the oldest first; some of their programs have returned.
    std::unordered_set<std::uint64_t> pausing; ///< Programs between two turns.
    double meanPauseMs = 100; ///< Mean pause between two turns of a program.
    double meanTurnMs = 200; ///< Mean time of a turn.
    double returnPart = 0.8; ///< Part of the turns after which another one follows.
};

} // namespace Chestnuthook
