/** @file metric_table.h  Kinds of metrics with their names, types, labels and help texts. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Chestnuthook
{

/** Metrics of all daemons; durations are histograms in milliseconds. */
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
    EndpointsLeaving,
    ResponsesEndedByClose,
    ConnectionsDropped,
    ConnectionsRelayed,
    LinksDown,
    RequestsAdmittedIsolated,
    ConfigurationBytesSent,
    EndpointsLimited,
    EndpointLimitRefusals,
    EvacuationsInForce,
    EndpointsEvacuated,
    EndpointsCold,
    PoolGrants,
    PoolWaits,
    PoolRefusals,
    PoolFallbacks,
    PoolOwnerChanges,
    RequestWaitMs,
};
inline constexpr std::size_t MetricCount = static_cast<std::size_t>(MetricKind::RequestWaitMs) + 1;

/** Type of a metric, as in the Prometheus text format. */
enum class MetricType : std::uint8_t { Counter, Gauge, Histogram };

/** Definition of a metric. */
struct MetricRow
{
    MetricKind kind; ///< The kind; rows are in the order of the enumerators.
    std::string_view name; ///< Name in /metrics.
    MetricType type; ///< Type of the metric.
    std::string_view label; ///< Name of the only label; empty if the metric has no label.
    std::string_view help; ///< Help text of one line.
};

[[nodiscard]] const MetricRow &metricRow(MetricKind kind);

} // namespace Chestnuthook
