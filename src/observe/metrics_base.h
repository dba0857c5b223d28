/** @file metrics_base.h  Counters, gauges and histograms of a process, exported as text by /metrics. */
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

/** All metrics of a process. Thread-safe; recording uses atomic operations and, with a label, a shared lock. */
class Metrics
{
public:
    static constexpr std::size_t MaxLabelValues = 1024; ///< Per metric; further values are recorded as `other`.

    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /** Adds @p amount to a counter or gauge; ignored for a histogram. */
    void add(MetricKind kind, std::int64_t amount = 1, std::string_view label = {});
    /** Sets a counter or gauge; ignored for a histogram. */
    void set(MetricKind kind, std::int64_t value, std::string_view label = {});
    /** Records a value in a histogram; negative values count as zero. Ignored for other types. */
    void record(MetricKind kind, double milliseconds, std::string_view label = {});

    /** Value of a counter or gauge, or number of values in a histogram; 0 if nothing was recorded. */
    [[nodiscard]] std::int64_t value(MetricKind kind, std::string_view label = {}) const;
    /** Quantile at @p share (0 to 1) in milliseconds, accurate to a bin width of 26%; empty if nothing was recorded. */
    [[nodiscard]] std::optional<double> quantile(MetricKind kind, double share, std::string_view label = {}) const;
    /** All metrics in the Prometheus text exposition format. */
    [[nodiscard]] std::string renderText() const;

private:
    struct Series;
    struct Family;

    Family &familyOf(MetricKind kind) const;
    Series &seriesOf(MetricKind kind, std::string_view label);
    const Series *findSeries(MetricKind kind, std::string_view label) const;

    std::unique_ptr<Family[]> families; ///< Indexed by MetricKind.
};

/** The metrics of this process. */
[[nodiscard]] Metrics &metrics();

} // namespace Chestnuthook
