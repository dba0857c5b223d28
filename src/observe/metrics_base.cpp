/** @file metrics_base.cpp  Metrics by atomics and Boost.Histogram. */
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

constexpr unsigned int BinCount = 80; ///< Ten bins for each power of ten.
constexpr unsigned int BinsPerLine = 5; ///< Bins that one line of /metrics covers.
constexpr double LeastMs = 0.01;
constexpr double MostMs = 1e6;
constexpr double UsPerMs = 1000;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Cell>>;

/** Counts of all bins: below the axis, its bins, above it. */
std::array<std::uint64_t, BinCount + 2> countsOf(const Histogram &histogram)
{
    std::array<std::uint64_t, BinCount + 2> counts{};
    for (unsigned int i = 0; i < counts.size(); ++i) {
        counts[i] = histogram.at(static_cast<int>(i) - 1).load();
    }
    return counts;
}

std::string numberText(double number)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.6g", number);
    return buffer.data();
}

std::string labelValueText(std::string_view value)
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

/** One metric under one label value. */
struct Metrics::Series
{
    explicit Series(bool isHistogram)
    {
        if (isHistogram) {
            this->histogram = std::make_unique<Histogram>(std::make_tuple(Axis(BinCount, LeastMs, MostMs, "ms")));
        }
    }

    std::atomic<std::int64_t> value{0}; ///< Value of a counter or gauge; sum in microseconds of a histogram.
    std::unique_ptr<Histogram> histogram; ///< Set for histograms only.
    std::atomic<bool> used{false}; ///< Something was recorded.
};

/** One metric with all its label values. */
struct Metrics::Family
{
    const MetricRow *row = nullptr; ///< Its row of the table; set once.
    std::unique_ptr<Series> bare; ///< Without a label.
    mutable std::shared_mutex mutex; ///< Guards the map, not the series in it.
    std::map<std::string, std::unique_ptr<Series>, std::less<>> labelled; ///< By label value; never shrinks.
};

Metrics::Metrics()
    : families(std::make_unique<Family[]>(MetricCount))
{
    for (std::size_t i = 0; i < MetricCount; ++i) {
        this->families[i].row = &metricRow(static_cast<MetricKind>(i));
        this->families[i].bare = std::make_unique<Series>(this->families[i].row->type == MetricType::Histogram);
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
        return *family.bare;
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
        return family.bare.get();
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
        // A bound keeps the sum whole; a NaN counts as zero.
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
    for (const std::uint64_t bin : countsOf(*series->histogram)) {
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
    const auto counts = countsOf(*series->histogram);
    std::uint64_t total = 0;
    for (const std::uint64_t count : counts) {
        total += count;
    }
    if (total == 0) {
        return std::nullopt;
    }
    const double wanted = std::clamp(share, 0.0, 1.0) * static_cast<double>(total);
    const Axis &axis = series->histogram->axis();
    std::uint64_t below = 0;
    for (unsigned int i = 0; i < counts.size(); ++i) {
        const std::uint64_t count = counts[i];
        if (count > 0 && static_cast<double>(below + count) >= wanted) {
            if (i == 0) {
                return LeastMs;
            }
            if (i == BinCount + 1) {
                return MostMs;
            }
            const double inside = (wanted - static_cast<double>(below)) / static_cast<double>(count);
            return axis.value(static_cast<double>(i - 1) + std::clamp(inside, 0.0, 1.0));
        }
        below += count;
    }
    return MostMs;
}

std::string Metrics::renderText() const
{
    std::string text;
    const auto renderSeries = [&text](const MetricRow &row, const std::string &label, const Series &series) {
        const std::string name(row.name);
        const std::string braced = label.empty() ? std::string() : "{" + label + "}";
        if (!series.histogram) {
            text += name + braced + " " + std::to_string(series.value.load(std::memory_order_relaxed)) + "\n";
            return;
        }
        const auto counts = countsOf(*series.histogram);
        const std::string lead = name + "_bucket{" + (label.empty() ? std::string() : label + ",") + "le=\"";
        std::uint64_t running = 0;
        for (unsigned int i = 0; i <= BinCount; ++i) {
            running += counts[i];
            if (i % BinsPerLine == 0) {
                const double edge = series.histogram->axis().value(static_cast<double>(i));
                text += lead + numberText(edge) + "\"} " + std::to_string(running) + "\n";
            }
        }
        running += counts[BinCount + 1];
        text += lead + "+Inf\"} " + std::to_string(running) + "\n";
        const double sumMs = static_cast<double>(series.value.load(std::memory_order_relaxed)) / UsPerMs;
        std::array<char, 64> sumText{};
        std::snprintf(sumText.data(), sumText.size(), "%.3f", sumMs);
        text += name + "_sum" + braced + " " + sumText.data() + "\n";
        text += name + "_count" + braced + " " + std::to_string(running) + "\n";
    };
    for (std::size_t i = 0; i < MetricCount; ++i) {
        const Family &family = this->families[i];
        const MetricRow &row = *family.row;
        static constexpr std::array<std::string_view, 3> TypeNames{"counter", "gauge", "histogram"};
        text += "# HELP " + std::string(row.name) + " " + std::string(row.help) + "\n";
        text += "# TYPE " + std::string(row.name) + " " + std::string(TypeNames.at(static_cast<std::size_t>(row.type)))
            + "\n";
        const std::shared_lock lock(family.mutex);
        if (family.labelled.empty() || family.bare->used) {
            renderSeries(row, {}, *family.bare);
        }
        for (const auto &[value, series] : family.labelled) {
            renderSeries(row, std::string(row.label) + "=\"" + labelValueText(value) + "\"", *series);
        }
    }
    return text;
}

Metrics &metrics()
{
    // Never destroyed, as threads may record until the end.
    static Metrics *const Instance = new Metrics;
    return *Instance;
}

} // namespace Chestnuthook
