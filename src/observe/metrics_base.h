/** @file metrics_base.h  Counters, gauges and histograms of a process, in the text form of /metrics. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "table/metric_table.h"

namespace Chestnuthook
{

/** All metrics of a process. Thread-safe; recording takes atomic operations and, with a label, a shared lock. */
class Metrics
{
public:
    static constexpr std::size_t MaxLabelValues = 1024; ///< Per metric; further values count as `other`.

    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /** Adds to a counter or gauge. */
    void add(MetricKind kind, std::int64_t amount = 1, std::string_view label = {});
    /** Sets a gauge. */
    void set(MetricKind kind, std::int64_t value, std::string_view label = {});
    /** Records into a histogram, in milliseconds; below zero counts as zero. */
    void record(MetricKind kind, double milliseconds, std::string_view label = {});

    /** Value of a counter or gauge, or count of a histogram; 0 where nothing was recorded. */
    [[nodiscard]] std::int64_t value(MetricKind kind, std::string_view label = {}) const;
    /** The @p share quantile (0 to 1) in milliseconds, within a bin of 26%; empty where nothing was recorded. */
    [[nodiscard]] std::optional<double> quantile(MetricKind kind, double share, std::string_view label = {}) const;
    /** All metrics in the customary text exposition format. */
    [[nodiscard]] std::string renderText() const;

private:
    struct Series;
    struct Family;

    Family &familyOf(MetricKind kind) const;
    Series &seriesOf(MetricKind kind, std::string_view label);
    const Series *findSeries(MetricKind kind, std::string_view label) const;

    std::unique_ptr<Family[]> families; ///< One for each MetricKind, in order.
};

/** The metrics of this process. */
[[nodiscard]] Metrics &metrics();

} // namespace Chestnuthook
