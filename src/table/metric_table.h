/** @file metric_table.h  Kinds of metrics with names, types, labels and help texts. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Chestnuthook
{

/** All metrics of all daemons; durations are histograms in milliseconds. */
enum class MetricKind : std::uint8_t {
    RequestsTotal,
    RequestsRefused,
    CallsStarted,
    CallsEnded,
    CallDurationMs,
    FirstTokenMs,
    JournalWriteMs,
    JournalBytes,
    ControlBytesSent,
    ControlBytesReceived,
    PermitsGranted,
    PermitWaitMs,
    RetriesTotal,
    FreshnessAgeMs,
    OpenStreams,
    OpenPrograms,
    TokensRecomputed,
    TokensCached,
    AdmissionHoldMs,
    LogAppends,
    LogSyncs,
    StrikesTotal,
};
inline constexpr std::size_t MetricCount = static_cast<std::size_t>(MetricKind::StrikesTotal) + 1;

/** How a metric is counted. */
enum class MetricType : std::uint8_t { Counter, Gauge, Histogram };

/** One row of the table of metrics. */
struct MetricRow
{
    MetricKind kind; ///< The kind; rows stand in the order of the enumerators.
    std::string_view name; ///< Name in /metrics.
    MetricType type; ///< How it is counted.
    std::string_view label; ///< Name of the optional label; empty where it takes none.
    std::string_view help; ///< One line for people.
};

[[nodiscard]] const MetricRow &metricRow(MetricKind kind);

} // namespace Chestnuthook
