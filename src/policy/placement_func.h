/** @file placement_func.h  Placement of models on engines: replicas of each model and the next engine to change. */
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

/** Demand for a model and its declared number of replicas. */
struct ModelDemand
{
    double tokensPerSecond = 0; ///< Measured demand, smoothed.
    std::uint32_t declaredReplicas = 0; ///< Fixed number of replicas; 0 to scale by demand.
};

/** An engine that can load models. */
struct PlacedEngine
{
    EndpointId endpoint; ///< Endpoint of the engine.
    ModelId model; ///< Model that it serves.
};

/** A change of the model of one engine. */
struct PlacementChange
{
    EndpointId endpoint; ///< Engine to change.
    ModelId model; ///< Model to load.
};

/** Minimum deficit, in engines, before an engine is moved. Without it, demand near a boundary would swap models back
 * and forth. */
constexpr double PlacementHysteresis = 0.75;

/** Returns the next change, or nothing if the placement is right within PlacementHysteresis. Changes are made one at a
 * time, as the weight store limits the loading of models. Every model with demand or a declaration keeps at least one
 * engine. */
inline std::optional<PlacementChange> nextPlacement(
    const std::map<ModelId, ModelDemand> &models, const std::vector<PlacedEngine> &engines)
{
    double totalDemand = 0;
    double freeEngines = static_cast<double>(engines.size());
    for (const auto &[id, demand] : models) {
        if (demand.declaredReplicas > 0) {
            freeEngines -= demand.declaredReplicas;
        } else {
            totalDemand += demand.tokensPerSecond;
        }
    }
    std::map<ModelId, double> targetReplicas;
    std::map<ModelId, double> currentReplicas;
    for (const auto &[id, demand] : models) {
        const double share =
            totalDemand > 0 ? demand.tokensPerSecond / totalDemand : 1.0 / static_cast<double>(models.size());
        targetReplicas[id] = demand.declaredReplicas > 0 ? demand.declaredReplicas : std::max(1.0, freeEngines * share);
        currentReplicas[id] = 0;
    }
    for (const PlacedEngine &engine : engines) {
        ++currentReplicas[engine.model];
    }
    const auto deficit = [&](const ModelId &id) {
        const auto found = targetReplicas.find(id);
        return (found == targetReplicas.end() ? 0 : found->second) - currentReplicas[id];
    };
    std::optional<ModelId> mostUndersupplied;
    std::optional<ModelId> mostOversupplied;
    for (const auto &[id, count] : currentReplicas) {
        const bool canGiveUpEngine = count > 1 || !models.contains(id);
        mostUndersupplied = models.contains(id) && (!mostUndersupplied || deficit(id) > deficit(*mostUndersupplied))
            ? id
            : mostUndersupplied;
        mostOversupplied =
            count > 0 && canGiveUpEngine && (!mostOversupplied || deficit(id) < deficit(*mostOversupplied))
            ? id
            : mostOversupplied;
    }
    const bool isWorthwhile = mostUndersupplied && mostOversupplied && *mostUndersupplied != *mostOversupplied
        && (deficit(*mostUndersupplied) >= PlacementHysteresis || currentReplicas[*mostUndersupplied] == 0)
        && deficit(*mostOversupplied) < 0;
    if (!isWorthwhile) {
        return std::nullopt;
    }
    for (const PlacedEngine &engine : engines) {
        if (engine.model == *mostOversupplied) {
            return PlacementChange{engine.endpoint, *mostUndersupplied};
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook
