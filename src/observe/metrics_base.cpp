/** @file metrics_base.cpp  Metrics based on atomics and Boost.Histogram. */
#include "observe/metrics_base.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>

namespace Chestnuthook
{

namespace
{

constexpr unsigned int BinCount = 80; ///< Ten bins per decade.
constexpr unsigned int BinsPerBucket = 5; ///< Number of histogram bins combined into one bucket in /metrics.
constexpr double HistogramMinMs = 0.01;
constexpr double HistogramMaxMs = 1e6;
constexpr double UsPerMs = 1000;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Cell>>;

/** Counts of the underflow bin, the regular bins and the overflow bin, in this order. */
std::array<std::uint64_t, BinCount + 2> binCounts(const Histogram &histogram)
{
    std::array<std::uint64_t, BinCount + 2> counts{};
    for (unsigned int i = 0; i < counts.size(); ++i) {
        counts[i] = histogram.at(static_cast<int>(i) - 1).load();
    }
    return counts;
}

std::string formatNumber(double number)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.6g", number);
    return buffer.data();
}

std::string escapeLabelValue(std::string_view value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

} // namespace

/** Time series of one metric for one label value. */
struct Metrics::Series
{
    explicit Series(bool isHistogram)
    {
        if (isHistogram) {
            this->histogram =
                std::make_unique<Histogram>(std::make_tuple(Axis(BinCount, HistogramMinMs, HistogramMaxMs, "ms")));
        }
    }

    std::atomic<std::int64_t> value{0}; ///< Value of a counter or gauge; for a histogram, the sum in microseconds.
    std::unique_ptr<Histogram> histogram; ///< Null for counters and gauges.
    std::atomic<bool> used{false}; ///< Whether a value has been recorded.
};

/** One metric with the series of all its label values. */
struct Metrics::Family
{
    const MetricRow *row = nullptr; ///< Row of the metric table; set in the constructor of Metrics.
    std::unique_ptr<Series> unlabelled; ///< Series without a label.
    mutable std::shared_mutex mutex; ///< Guards the map of labelled series, but not the series themselves.
    std::map<std::string, std::unique_ptr<Series>, std::less<>> labelled; ///< By label value; never removed.
};

Metrics::Metrics()
    : families(std::make_unique<Family[]>(MetricCount))
{
    for (std::size_t i = 0; i < MetricCount; ++i) {
        this->families[i].row = &metricRow(static_cast<MetricKind>(i));
        this->families[i].unlabelled = std::make_unique<Series>(this->families[i].row->type == MetricType::Histogram);
    }
}

Metrics::~Metrics() = default;

Metrics::Family &Metrics::familyOf(MetricKind kind) const
{
    return this->families[static_cast<std::size_t>(kind)];
}

Metrics::Series &Metrics::seriesOf(MetricKind kind, std::string_view label)
{
    Family &family = this->familyOf(kind);
    if (label.empty() || family.row->label.empty()) {
        return *family.unlabelled;
    }
    {
        const std::shared_lock lock(family.mutex);
        const auto found = family.labelled.find(label);
        if (found != family.labelled.end()) {
            return *found->second;
        }
    }
    const std::unique_lock lock(family.mutex);
    const bool isFull = family.labelled.size() >= MaxLabelValues && !family.labelled.contains(label);
    std::unique_ptr<Series> &series = family.labelled[isFull ? std::string("other") : std::string(label)];
    if (!series) {
        series = std::make_unique<Series>(family.row->type == MetricType::Histogram);
    }
    return *series;
}

const Metrics::Series *Metrics::findSeries(MetricKind kind, std::string_view label) const
{
    const Family &family = this->familyOf(kind);
    if (label.empty() || family.row->label.empty()) {
        return family.unlabelled.get();
    }
    const std::shared_lock lock(family.mutex);
    const auto found = family.labelled.find(label);
    return found == family.labelled.end() ? nullptr : found->second.get();
}

void Metrics::add(MetricKind kind, std::int64_t amount, std::string_view label)
{
    Series &series = this->seriesOf(kind, label);
    if (!series.histogram) {
        series.value.fetch_add(amount, std::memory_order_relaxed);
        series.used.store(true, std::memory_order_relaxed);
    }
}

void Metrics::set(MetricKind kind, std::int64_t value, std::string_view label)
{
    Series &series = this->seriesOf(kind, label);
    if (!series.histogram) {
        series.value.store(value, std::memory_order_relaxed);
        series.used.store(true, std::memory_order_relaxed);
    }
}

void Metrics::record(MetricKind kind, double milliseconds, std::string_view label)
{
    Series &series = this->seriesOf(kind, label);
    if (series.histogram) {
        // The upper bound prevents an overflow of the sum in microseconds. NaN is recorded as zero.
        constexpr double MaxRecordMs = 1e12;
        const double bounded = milliseconds > 0 ? std::min(milliseconds, MaxRecordMs) : 0;
        (*series.histogram)(bounded);
        series.value.fetch_add(std::llround(bounded * UsPerMs), std::memory_order_relaxed);
        series.used.store(true, std::memory_order_relaxed);
    }
}

std::int64_t Metrics::value(MetricKind kind, std::string_view label) const
{
    const Series *const series = this->findSeries(kind, label);
    if (series == nullptr) {
        return 0;
    }
    if (!series->histogram) {
        return series->value.load(std::memory_order_relaxed);
    }
    std::int64_t count = 0;
    for (const std::uint64_t bin : binCounts(*series->histogram)) {
        count += static_cast<std::int64_t>(bin);
    }
    return count;
}

std::optional<double> Metrics::quantile(MetricKind kind, double share, std::string_view label) const
{
    const Series *const series = this->findSeries(kind, label);
    if (series == nullptr || !series->histogram) {
        return std::nullopt;
    }
    const auto counts = binCounts(*series->histogram);
    std::uint64_t total = 0;
    for (const std::uint64_t count : counts) {
        total += count;
    }
    if (total == 0) {
        return std::nullopt;
    }
    const double targetCount = std::clamp(share, 0.0, 1.0) * static_cast<double>(total);
    const Axis &axis = series->histogram->axis();
    std::uint64_t precedingCount = 0;
    for (unsigned int i = 0; i < counts.size(); ++i) {
        const std::uint64_t count = counts[i];
        if (count > 0 && static_cast<double>(precedingCount + count) >= targetCount) {
            if (i == 0) {
                return HistogramMinMs;
            }
            if (i == BinCount + 1) {
                return HistogramMaxMs;
            }
            const double fraction = (targetCount - static_cast<double>(precedingCount)) / static_cast<double>(count);
            return axis.value(static_cast<double>(i - 1) + std::clamp(fraction, 0.0, 1.0));
        }
        precedingCount += count;
    }
    return HistogramMaxMs;
}

std::string Metrics::renderText() const
{
    std::string text;
    const auto renderSeries = [&text](const MetricRow &row, const std::string &label, const Series &series) {
        const std::string name(row.name);
        const std::string labelText = label.empty() ? std::string() : "{" + label + "}";
        if (!series.histogram) {
            text += name + labelText + " " + std::to_string(series.value.load(std::memory_order_relaxed)) + "\n";
            return;
        }
        const auto counts = binCounts(*series.histogram);
        const std::string bucketPrefix = name + "_bucket{" + (label.empty() ? std::string() : label + ",") + "le=\"";
        std::uint64_t cumulativeCount = 0;
        for (unsigned int i = 0; i <= BinCount; ++i) {
            cumulativeCount += counts[i];
            if (i % BinsPerBucket == 0) {
                const double edge = series.histogram->axis().value(static_cast<double>(i));
                text += bucketPrefix + formatNumber(edge) + "\"} " + std::to_string(cumulativeCount) + "\n";
            }
        }
        cumulativeCount += counts[BinCount + 1];
        text += bucketPrefix + "+Inf\"} " + std::to_string(cumulativeCount) + "\n";
        const double sumMs = static_cast<double>(series.value.load(std::memory_order_relaxed)) / UsPerMs;
        std::array<char, 64> sumText{};
        std::snprintf(sumText.data(), sumText.size(), "%.3f", sumMs);
        text += name + "_sum" + labelText + " " + sumText.data() + "\n";
        text += name + "_count" + labelText + " " + std::to_string(cumulativeCount) + "\n";
    };
    for (std::size_t i = 0; i < MetricCount; ++i) {
        const Family &family = this->families[i];
        const MetricRow &row = *family.row;
        static constexpr std::array<std::string_view, 3> TypeNames{"counter", "gauge", "histogram"};
        text += "# HELP " + std::string(row.name) + " " + std::string(row.help) + "\n";
        text += "# TYPE " + std::string(row.name) + " " + std::string(TypeNames.at(static_cast<std::size_t>(row.type)))
            + "\n";
        const std::shared_lock lock(family.mutex);
        if (family.labelled.empty() || family.unlabelled->used) {
            renderSeries(row, {}, *family.unlabelled);
        }
        for (const auto &[value, series] : family.labelled) {
            renderSeries(row, std::string(row.label) + "=\"" + escapeLabelValue(value) + "\"", *series);
        }
    }
    return text;
}

Metrics &metrics()
{
    // Never destroyed, because threads may record metrics until the process exits.
    static Metrics *const Instance = new Metrics;
    return *Instance;
}

} // namespace Chestnuthook
