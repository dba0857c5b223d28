/** @file fair_counter_base.h  Virtual token counters: the customer with the least service by weight goes first. */
#pragma once

#include <algorithm>
#include <limits>
#include <map>

#include "core/id_type.h"

namespace Chestnuthook
{

/** Invariant: among customers that have work all the time, counters differ by at most the largest call over the weight.
 * A customer that was idle begins at the least counter of the active ones, so idle time earns nothing. */
class FairCounters
{
public:
    void setWeight(const CustomerId &customer, double weight)
    {
        this->rows[customer].weight = std::max(weight, MinWeight);
    }

    /** One more call of @p customer waits or runs. */
    void enter(const CustomerId &customer)
    {
        Row &row = this->rows[customer];
        if (row.active++ == 0) {
            double least = std::numeric_limits<double>::infinity();
            for (const auto &[id, other] : this->rows) {
                if (other.active > 0 && id != customer) {
                    least = std::min(least, other.counter);
                }
            }
            if (least != std::numeric_limits<double>::infinity()) {
                row.counter = std::max(row.counter, least);
            }
        }
    }

    /** A call of @p customer has ended or left the queue. */
    void leave(const CustomerId &customer)
    {
        Row &row = this->rows[customer];
        row.active = std::max(0, row.active - 1);
    }

    /** Adds service; below zero corrects an estimate that was too high. */
    void charge(const CustomerId &customer, double tokens)
    {
        Row &row = this->rows[customer];
        row.counter += tokens / row.weight;
    }

    [[nodiscard]] double counter(const CustomerId &customer) const
    {
        const auto row = this->rows.find(customer);
        return row == this->rows.end() ? 0 : row->second.counter;
    }
    [[nodiscard]] double weight(const CustomerId &customer) const
    {
        const auto row = this->rows.find(customer);
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
    std::map<CustomerId, Row> rows; ///< By customer; declared ones only, so bounded.
};

} // namespace Chestnuthook
