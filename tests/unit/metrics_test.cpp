/** @file metrics_test.cpp  Counters, gauges, histograms and their text format. */
#define BOOST_TEST_MODULE metrics
#include <boost/test/unit_test.hpp>

#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "observe/metrics_base.h"

using namespace Chestnuthook;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(countersAndGaugesReportTheirValues)
{
    Metrics metrics;
    metrics.add(MetricKind::RequestsTotal, 2, "t1");
    metrics.add(MetricKind::RequestsTotal, 3, "t1");
    metrics.add(MetricKind::LogSyncs);
    metrics.set(MetricKind::FreshnessAgeMs, 250);
    BOOST_TEST(metrics.value(MetricKind::RequestsTotal, "t1") == 5);
    BOOST_TEST(metrics.value(MetricKind::RequestsTotal, "t2") == 0);
    BOOST_TEST(metrics.value(MetricKind::FreshnessAgeMs) == 250);
    const std::string text = metrics.renderText();
    BOOST_TEST(
        contains(text, "# TYPE chestnuthook_requests_total counter\nchestnuthook_requests_total{tenant=\"t1\"} 5\n"));
    BOOST_TEST(contains(text, "\nchestnuthook_log_syncs_total 1\n"));
    BOOST_TEST(contains(text, "# TYPE chestnuthook_freshness_age_ms gauge\nchestnuthook_freshness_age_ms 250\n"));
}

BOOST_AUTO_TEST_CASE(quantilesAreAccurateToABin)
{
    Metrics metrics;
    BOOST_TEST(!metrics.quantile(MetricKind::CallDurationMs, 0.5).has_value());
    for (int i = 1; i <= 1000; ++i) {
        metrics.record(MetricKind::CallDurationMs, i);
    }
    constexpr double BinRatio = 1.26;
    for (const double share : {0.5, 0.95, 0.99}) {
        const double quantile = metrics.quantile(MetricKind::CallDurationMs, share).value();
        BOOST_TEST(quantile <= share * 1000 * BinRatio);
        BOOST_TEST(quantile >= share * 1000 / BinRatio);
    }
    BOOST_TEST(metrics.value(MetricKind::CallDurationMs) == 1000);
}

BOOST_AUTO_TEST_CASE(histogramTextIsCumulativeAndComplete)
{
    Metrics metrics;
    metrics.record(MetricKind::JournalWriteMs, 0);
    metrics.record(MetricKind::JournalWriteMs, -1);
    metrics.record(MetricKind::JournalWriteMs, std::numeric_limits<double>::quiet_NaN());
    metrics.record(MetricKind::JournalWriteMs, 2.5);
    metrics.record(MetricKind::JournalWriteMs, 1e9);
    const std::string text = metrics.renderText();
    BOOST_TEST(contains(text, "chestnuthook_journal_write_ms_bucket{le=\"0.01\"} 3\n"));
    BOOST_TEST(contains(text, "chestnuthook_journal_write_ms_bucket{le=\"1\"} 3\n"));
    BOOST_TEST(contains(text, "chestnuthook_journal_write_ms_bucket{le=\"10\"} 4\n"));
    BOOST_TEST(contains(text, "chestnuthook_journal_write_ms_bucket{le=\"+Inf\"} 5\n"));
    BOOST_TEST(contains(text, "chestnuthook_journal_write_ms_sum 1000000002.500\n"));
    BOOST_TEST(contains(text, "chestnuthook_journal_write_ms_count 5\n"));
}

BOOST_AUTO_TEST_CASE(labelValuesAreBoundedAndEscaped)
{
    Metrics metrics;
    metrics.add(MetricKind::StrikesTotal, 1, "a\"b\\c\nd");
    BOOST_TEST(contains(metrics.renderText(), "chestnuthook_strikes_total{tenant=\"a\\\"b\\\\c\\nd\"} 1\n"));
    const int total = static_cast<int>(Metrics::MaxLabelValues) + 10;
    for (int i = 0; i < total; ++i) {
        metrics.add(MetricKind::RequestsTotal, 1, "t" + std::to_string(i));
    }
    BOOST_TEST(metrics.value(MetricKind::RequestsTotal, "other") == 10);
}

BOOST_AUTO_TEST_CASE(concurrentRecordingLosesNoValues)
{
    constexpr int RoundsPerThread = 2000;
    Metrics metrics;
    constexpr int ThreadCount = 4;
    std::vector<std::thread> threads;
    threads.reserve(ThreadCount);
    for (int t = 0; t < ThreadCount; ++t) {
        threads.emplace_back([&metrics] {
            for (int i = 0; i < RoundsPerThread; ++i) {
                metrics.add(MetricKind::RequestsTotal, 1, "t" + std::to_string(i % 7));
                metrics.record(MetricKind::CallDurationMs, i, "e1");
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::int64_t sum = 0;
    for (int i = 0; i < 7; ++i) {
        sum += metrics.value(MetricKind::RequestsTotal, "t" + std::to_string(i));
    }
    BOOST_TEST(sum == 8000);
    BOOST_TEST(metrics.value(MetricKind::CallDurationMs, "e1") == 8000);
}
