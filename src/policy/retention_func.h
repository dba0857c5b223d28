/** @file retention_func.h  Rules that decide what happens to a program's cache while the program waits for a tool. */
#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>

namespace Chestnuthook
{

/** Hold keeps the cache at the endpoint, Export moves it out of the engine until the program continues, and Drop
 * frees it. */
enum class Retention : std::uint8_t { Hold, Export, Drop };

/** Exponentially decaying average of the measured pauses of one service. */
class PauseStatistics
{
public:
    void record(double seconds)
    {
        this->weight = this->weight * DecayFactor + 1;
        this->sum = this->sum * DecayFactor + seconds;
    }
    /** Expected pause in seconds. A prior of PriorSeconds counts as PriorWeight measurements. */
    [[nodiscard]] double expectedSeconds() const
    {
        return (this->sum + PriorSeconds * PriorWeight) / (this->weight + PriorWeight);
    }

private:
    static constexpr double DecayFactor = 0.98;
    static constexpr double PriorSeconds = 2;
    static constexpr double PriorWeight = 2;
    double weight = 0; ///< Decayed number of measurements.
    double sum = 0; ///< Decayed sum of the measured seconds.
};

/** Estimates for a pause that begins. */
struct PauseEstimate
{
    double expectedSeconds = 0; ///< Expected time until the program continues.
    double tokens = 0; ///< Tokens of the program in the cache.
    double turnoverSeconds = 0; ///< Time until evictions have replaced the endpoint's cache once.
    double recomputeSeconds = 0; ///< Time to recompute the tokens times the calls of the batch, which it delays.
    double transferSeconds = 0; ///< Time to export and import the tokens; delays only this program.
    bool canExport = false; ///< Whether the endpoint supports export.
};

template<typename T>
concept RetentionRule = requires(const T &rule, const PauseEstimate &pause)
{
    {
        rule.decide(pause)
        } -> std::same_as<Retention>;
};

struct AlwaysHold
{
    [[nodiscard]] Retention decide(const PauseEstimate & /*pause*/) const
    {
        return Retention::Hold;
    }
};

struct AlwaysDrop
{
    [[nodiscard]] Retention decide(const PauseEstimate & /*pause*/) const
    {
        return Retention::Drop;
    }
};

/** The decision with the least expected cost. Holding memory for a whole turnover evicts as much cache of other
 * programs, which has to be recomputed, so holding costs recomputeSeconds * expectedSeconds / turnoverSeconds. Dropping
 * costs recomputeSeconds and exporting transferSeconds. */
struct LeastCost
{
    [[nodiscard]] Retention decide(const PauseEstimate &pause) const
    {
        const double share = pause.turnoverSeconds <= 0 ? 0 : pause.expectedSeconds / pause.turnoverSeconds;
        const double hold = pause.recomputeSeconds * share;
        const double move = pause.canExport ? pause.transferSeconds : pause.recomputeSeconds;
        if (hold <= std::min(move, pause.recomputeSeconds)) {
            return Retention::Hold;
        }
        return move < pause.recomputeSeconds ? Retention::Export : Retention::Drop;
    }
};

static_assert(RetentionRule<AlwaysHold> && RetentionRule<AlwaysDrop> && RetentionRule<LeastCost>);

} // namespace Chestnuthook
