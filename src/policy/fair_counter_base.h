/** @file fair_counter_base.h  Fair queueing by virtual token counters: the customer with the least service relative to
 * its weight is served first. */
#pragma once

#include <algorithm>
#include <limits>
#include <map>

#include "core/id_type.h"

namespace Chestnuthook
{

/** Counters of the service that each customer received.
 *
 * Invariant: the counters of customers that always have work differ by at most the largest call divided by the weight.
 * The counter of a customer that was idle is raised to the lowest counter of the active customers, so a customer gains
 * no credit while idle. */
class FairCounters
{
public:
    void setWeight(const CustomerId &customer, double weight)
    {
        this->rows[customer].weight = std::max(weight, MinWeight);
    }

    /** Registers a call of @p customer that waits or runs. */
    void enter(const CustomerId &customer)
    {
        Row &row = this->rows[customer];
        if (row.activeCalls++ == 0) {
            double least = std::numeric_limits<double>::infinity();
            for (const auto &[id, other] : this->rows) {
                if (other.activeCalls > 0 && id != customer) {
                    least = std::min(least, other.counter);
                }
            }
            if (least != std::numeric_limits<double>::infinity()) {
                row.counter = std::max(row.counter, least);
            }
        }
    }

    /** Unregisters a call of @p customer that ended or left the queue. */
    void leave(const CustomerId &customer)
    {
        Row &row = this->rows[customer];
        row.activeCalls = std::max(0, row.activeCalls - 1);
    }

    /** Adds served tokens; a negative value corrects an estimate that was too high. */
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
        double weight = 1; ///< Declared weight.
        double counter = 0; ///< Served tokens divided by the weight.
        int activeCalls = 0; ///< Calls that wait or run.
    };
    std::map<CustomerId, Row> rows; ///< By customer; bounded, as only declared customers are added.
};

} // namespace Chestnuthook
