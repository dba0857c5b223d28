/** @file retention_func.h  What becomes of a program's cache while it waits for a tool: rules behind one concept. */
#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>

namespace Chestnuthook
{

enum class Retention : std::uint8_t { Hold, Export, Drop };

/** The pauses of one service as measured; older ones count less. */
class PauseStatistics
{
public:
    void record(double seconds)
    {
        this->weight = this->weight * Fading + 1;
        this->sum = this->sum * Fading + seconds;
    }
    /** Expected pause in seconds; a prior of PriorSeconds stands for PriorWeight measurements. */
    [[nodiscard]] double expectedSeconds() const
    {
        return (this->sum + PriorSeconds * PriorWeight) / (this->weight + PriorWeight);
    }

private:
    static constexpr double Fading = 0.98;
    static constexpr double PriorSeconds = 2;
    static constexpr double PriorWeight = 2;
    double weight = 0; ///< Measurements, faded.
    double sum = 0; ///< Of their seconds, faded.
};

/** A pause that begins. */
struct PauseEstimate
{
    double expectedSeconds = 0; ///< Until the program comes back.
    double tokens = 0; ///< In the cache.
    double turnoverSeconds = 0; ///< In which the endpoint's cache is replaced once: its size over its evictions.
    double recomputeSeconds = 0; ///< To compute the tokens anew, for each call of the batch, which all wait for it.
    double transferSeconds = 0; ///< To export and import them; only this program waits for it.
    bool canExport = false; ///< Whether the endpoint can.
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

/** Least expected cost. Memory held for a whole turnover costs the recomputing of as much cache of others, so holding
 * costs recomputeSeconds * expected / turnover; dropping costs recomputeSeconds, exporting transferSeconds. */
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
