/** @file fair_counter_base.h  Virtual token counters: the tenant with the least service by weight goes first. */
#pragma once

#include <algorithm>
#include <limits>
#include <map>

#include "core/id_type.h"

namespace Chestnuthook
{

/** Invariant: among tenants that have work all the time, counters differ by at most the largest call over the weight.
 * A tenant that was idle begins at the least counter of the active ones, so idle time earns nothing. */
class FairCounters
{
public:
    void setWeight(const TenantId &tenant, double weight)
    {
        this->rows[tenant].weight = std::max(weight, MinWeight);
    }

    /** One more call of @p tenant waits or runs. */
    void enter(const TenantId &tenant)
    {
        Row &row = this->rows[tenant];
        if (row.active++ == 0) {
            double least = std::numeric_limits<double>::infinity();
            for (const auto &[id, other] : this->rows) {
                if (other.active > 0 && id != tenant) {
                    least = std::min(least, other.counter);
                }
            }
            if (least != std::numeric_limits<double>::infinity()) {
                row.counter = std::max(row.counter, least);
            }
        }
    }

    /** A call of @p tenant has ended or left the queue. */
    void leave(const TenantId &tenant)
    {
        Row &row = this->rows[tenant];
        row.active = std::max(0, row.active - 1);
    }

    /** Adds service; below zero corrects an estimate that was too high. */
    void charge(const TenantId &tenant, double tokens)
    {
        Row &row = this->rows[tenant];
        row.counter += tokens / row.weight;
    }

    [[nodiscard]] double counter(const TenantId &tenant) const
    {
        const auto row = this->rows.find(tenant);
        return row == this->rows.end() ? 0 : row->second.counter;
    }
    [[nodiscard]] double weight(const TenantId &tenant) const
    {
        const auto row = this->rows.find(tenant);
        return row == this->rows.end() ? 1 : row->second.weight;
    }

private:
    static constexpr double MinWeight = 0.01;
    struct Row
    {
        double weight = 1; ///< Declared share.
        double counter = 0; ///< Tokens served, over the weight.
        int active = 0; ///< Calls that wait or run.
    };
    std::map<TenantId, Row> rows; ///< By tenant; declared ones only, so bounded.
};

} // namespace Chestnuthook
