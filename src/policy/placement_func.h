/** @file placement_func.h  How many replicas each model should have, and which endpoint is to change next. */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/id_type.h"

namespace Chestnuthook
{

/** A model's demand and declared bounds. */
struct ModelDemand
{
    double tokensPerSecond = 0; ///< Measured, smoothed.
    std::uint32_t declaredReplicas = 0; ///< Exactly so many; 0 for as many as demand asks.
};

/** An engine that can load models. */
struct PlacedEngine
{
    EndpointId endpoint; ///< The engine.
    ModelId model; ///< What it serves.
};

/** One change. */
struct PlacementChange
{
    EndpointId endpoint; ///< To whom.
    ModelId model; ///< To load.
};

/** Below this difference in engines nothing is moved, so that a demand near a boundary does not swap models. */
constexpr double PlacementHysteresis = 0.75;

/** The next change, or none where the placement is right within the hysteresis. One change at a time, as the weight
 * store limits loads. Every model with demand or a declaration keeps at least one engine. */
inline std::optional<PlacementChange> nextPlacement(
    const std::map<ModelId, ModelDemand> &models, const std::vector<PlacedEngine> &engines)
{
    double total = 0;
    double free = static_cast<double>(engines.size());
    for (const auto &[id, demand] : models) {
        if (demand.declaredReplicas > 0) {
            free -= demand.declaredReplicas;
        } else {
            total += demand.tokensPerSecond;
        }
    }
    std::map<ModelId, double> wanted;
    std::map<ModelId, double> present;
    for (const auto &[id, demand] : models) {
        const double share = total > 0 ? demand.tokensPerSecond / total : 1.0 / static_cast<double>(models.size());
        wanted[id] = demand.declaredReplicas > 0 ? demand.declaredReplicas : std::max(1.0, free * share);
        present[id] = 0;
    }
    for (const PlacedEngine &engine : engines) {
        ++present[engine.model];
    }
    const auto lack = [&](const ModelId &id) {
        const auto want = wanted.find(id);
        return (want == wanted.end() ? 0 : want->second) - present[id];
    };
    std::optional<ModelId> poorest;
    std::optional<ModelId> richest;
    for (const auto &[id, count] : present) {
        const bool maySpare = count > 1 || !models.contains(id);
        poorest = models.contains(id) && (!poorest || lack(id) > lack(*poorest)) ? id : poorest;
        richest = count > 0 && maySpare && (!richest || lack(id) < lack(*richest)) ? id : richest;
    }
    const bool worthIt = poorest && richest && *poorest != *richest
        && (lack(*poorest) >= PlacementHysteresis || present[*poorest] == 0) && lack(*richest) < 0;
    if (!worthIt) {
        return std::nullopt;
    }
    for (const PlacedEngine &engine : engines) {
        if (engine.model == *richest) {
            return PlacementChange{engine.endpoint, *poorest};
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook
