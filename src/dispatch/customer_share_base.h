/** @file customer_share_base.h  Service of each customer in the last seconds, for the order among waiting turns. */
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** Decaying sums of service by customer.
 *
 * Unlike FairCounters, service is forgotten after some seconds, so a customer that has used spare capacity isn't put
 * last for as long as the others need to catch up. */
class CustomerShares
{
public:
    /** Adds @p service (milliseconds of a slot); a negative value corrects an estimate that was too high. */
    void charge(Instant now, std::uint64_t customer, double weight, double service)
    {
        this->decay(now);
        if (this->rows.size() >= MaxCustomers && !this->rows.contains(customer)) {
            return;
        }
        Row &row = this->rows[customer];
        row.weight = std::max(weight, MinWeight);
        row.service = std::max(0.0, row.service + service);
    }

    /** How far the customer's service exceeds the mean of all customers served lately, each divided by its weight:
     * 0 up to LevelBase times the mean, then one level for each factor of LevelStep. Coarse, so that small differences
     * among customers don't override the urgency of turns. */
    [[nodiscard]] int level(std::uint64_t customer) const
    {
        const auto row = this->rows.find(customer);
        return row == this->rows.end() ? 0 : row->second.level;
    }

private:
    static constexpr double LevelBase = 2; ///< Factor over the mean that is usual variation with few turns each.
    static constexpr double LevelStep = 1.4; ///< Factor between levels.
    static constexpr int MaxLevel = 6; ///< Highest level.
    static constexpr double MinWeight = 0.01; ///< Keeps divisions defined.
    static constexpr double DecaySeconds = 5; ///< Time constant with which service is forgotten.
    static constexpr double MinService = 1; ///< Rows with less decayed service are removed.
    static constexpr std::size_t MaxCustomers = 4096; ///< Bound of the table.
    static constexpr std::chrono::milliseconds UpdateInterval{100}; ///< Between full passes over the table.

    struct Row
    {
        double weight = 1; ///< Declared weight.
        double service = 0; ///< Decayed service.
        int level = 0; ///< As of the last pass.
    };

    [[nodiscard]] int levelOf(const Row &row) const
    {
        const double ratio = row.service / row.weight / this->meanService;
        if (ratio <= LevelBase) {
            return 0;
        }
        return std::min(MaxLevel, 1 + static_cast<int>(std::log(ratio / LevelBase) / std::log(LevelStep)));
    }

    /** Ages all sums at intervals; the table has few rows, so a pass costs some microseconds. */
    void decay(Instant now)
    {
        if (now - this->updatedAt < UpdateInterval) {
            return;
        }
        const double passed = static_cast<double>((now - this->updatedAt).count()) / 1e6;
        const double factor = std::exp(-passed / DecaySeconds);
        this->updatedAt = now;
        double sum = 0;
        double weights = 0;
        for (auto row = this->rows.begin(); row != this->rows.end();) {
            row->second.service *= factor;
            if (row->second.service < MinService) {
                row = this->rows.erase(row);
                continue;
            }
            sum += row->second.service;
            weights += row->second.weight;
            ++row;
        }
        this->meanService = weights > 0 ? sum / weights : 0;
        for (auto &[customer, row] : this->rows) {
            row.level = this->levelOf(row);
        }
    }

    std::unordered_map<std::uint64_t, Row> rows; ///< Customers with recent service.
    double meanService = 0; ///< Service of all customers divided by the sum of their weights.
    Instant updatedAt; ///< Last pass over the rows.
};

} // namespace Chestnuthook
