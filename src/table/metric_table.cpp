/** @file metric_table.cpp  Table of the kinds of metrics. */
#include "table/metric_table.h"

#include <array>

namespace Chestnuthook
{

namespace
{

constexpr auto MetricRows = std::to_array<MetricRow>({
    {MetricKind::RequestsTotal, "chestnuthook_requests_total", MetricType::Counter, "tenant", "Requests received."},
    {MetricKind::RequestsRefused, "chestnuthook_requests_refused_total", MetricType::Counter, "tenant",
        "Requests refused."},
    {MetricKind::CallsStarted, "chestnuthook_calls_started_total", MetricType::Counter, "endpoint",
        "Attempts of calls started."},
    {MetricKind::CallsEnded, "chestnuthook_calls_ended_total", MetricType::Counter, "endpoint",
        "Attempts of calls ended."},
    {MetricKind::CallDurationMs, "chestnuthook_call_duration_ms", MetricType::Histogram, "endpoint",
        "Time of a call, in milliseconds."},
    {MetricKind::FirstTokenMs, "chestnuthook_first_token_ms", MetricType::Histogram, "endpoint",
        "Time to the first token, in milliseconds."},
    {MetricKind::JournalWriteMs, "chestnuthook_journal_write_ms", MetricType::Histogram, "",
        "Time of a journal write to its commit, in milliseconds."},
    {MetricKind::JournalBytes, "chestnuthook_journal_bytes_total", MetricType::Counter, "",
        "Bytes written to journals."},
    {MetricKind::ControlBytesSent, "chestnuthook_control_bytes_sent_total", MetricType::Counter, "",
        "Bytes sent for control."},
    {MetricKind::ControlBytesReceived, "chestnuthook_control_bytes_received_total", MetricType::Counter, "",
        "Bytes received for control."},
    {MetricKind::PermitsGranted, "chestnuthook_permits_granted_total", MetricType::Counter, "endpoint",
        "Permits granted."},
    {MetricKind::PermitWaitMs, "chestnuthook_permit_wait_ms", MetricType::Histogram, "endpoint",
        "Wait for a permit, in milliseconds."},
    {MetricKind::RetriesTotal, "chestnuthook_retries_total", MetricType::Counter, "endpoint",
        "Attempts after the first."},
    {MetricKind::FreshnessAgeMs, "chestnuthook_freshness_age_ms", MetricType::Gauge, "",
        "Age of the last confirmed read, in milliseconds."},
    {MetricKind::OpenStreams, "chestnuthook_open_streams", MetricType::Gauge, "endpoint", "Streams open now."},
    {MetricKind::OpenPrograms, "chestnuthook_open_programs", MetricType::Gauge, "tenant", "Programs under way now."},
    {MetricKind::TokensRecomputed, "chestnuthook_tokens_recomputed_total", MetricType::Counter, "endpoint",
        "Prompt tokens computed though cached once."},
    {MetricKind::TokensCached, "chestnuthook_tokens_cached_total", MetricType::Counter, "endpoint",
        "Prompt tokens taken from caches."},
    {MetricKind::AdmissionHoldMs, "chestnuthook_admission_hold_ms", MetricType::Histogram, "tenant",
        "Time held at admission, in milliseconds."},
    {MetricKind::LogAppends, "chestnuthook_log_appends_total", MetricType::Counter, "",
        "Records appended to replicated logs."},
    {MetricKind::LogSyncs, "chestnuthook_log_syncs_total", MetricType::Counter, "", "Syncs of replicated logs."},
    {MetricKind::StrikesTotal, "chestnuthook_strikes_total", MetricType::Counter, "tenant",
        "Strikes against requests that crash endpoints."},
    {MetricKind::EndpointsLeaving, "chestnuthook_endpoints_leaving_total", MetricType::Counter, "",
        "Endpoints that stated in a response that they leave."},
    {MetricKind::ResponsesEndedByClose, "chestnuthook_responses_ended_by_close_total", MetricType::Counter, "",
        "Responses of endpoints that had neither a length nor chunks."},
    {MetricKind::ConnectionsDropped, "chestnuthook_connections_dropped_total", MetricType::Counter, "",
        "Client connections that were closed for lack of memory or to make room for others."},
    {MetricKind::ConnectionsRelayed, "chestnuthook_connections_relayed_total", MetricType::Counter, "",
        "Connections to endpoints that were opened for other gateways."},
    {MetricKind::LinksDown, "chestnuthook_endpoint_links_down", MetricType::Gauge, "",
        "Endpoints that this gateway reaches only through other gateways."},
    {MetricKind::RequestsAdmittedIsolated, "chestnuthook_requests_admitted_isolated_total", MetricType::Counter,
        "tenant", "Requests that a gateway admitted without credit of the leader."},
    {MetricKind::ConfigurationBytesSent, "chestnuthook_configuration_bytes_sent_total", MetricType::Counter, "",
        "Bytes of configurations sent to other daemons."},
    {MetricKind::EndpointsLimited, "chestnuthook_endpoints_limited", MetricType::Gauge, "",
        "Endpoints that name a limit of their requests per second."},
    {MetricKind::EndpointLimitRefusals, "chestnuthook_endpoint_limit_refusals_total", MetricType::Counter, "",
        "Times that a request went to another endpoint, waited or was refused because of an endpoint's limit."},
    {MetricKind::EvacuationsInForce, "chestnuthook_evacuations_in_force", MetricType::Gauge, "",
        "Data centres that are evacuated, as a control member has applied it."},
    {MetricKind::EndpointsEvacuated, "chestnuthook_endpoints_evacuated", MetricType::Gauge, "",
        "Endpoints that get no request from this gateway because their data centre is evacuated."},
    {MetricKind::EndpointsCold, "chestnuthook_endpoints_cold", MetricType::Gauge, "",
        "Endpoints that are cold and get few requests."},
    {MetricKind::PoolGrants, "chestnuthook_pool_grants_total", MetricType::Counter, "",
        "Requests of this gateway for which the owner of a pool named an endpoint."},
    {MetricKind::PoolWaits, "chestnuthook_pool_waits_total", MetricType::Counter, "",
        "Requests of this gateway that waited for an endpoint of a pool."},
    {MetricKind::PoolRefusals, "chestnuthook_pool_refusals_total", MetricType::Counter, "",
        "Requests of this gateway that the owner of a pool refused."},
    {MetricKind::PoolFallbacks, "chestnuthook_pool_fallbacks_total", MetricType::Counter, "",
        "Requests to pooled services for which this gateway chose an endpoint by itself."},
    {MetricKind::PoolOwnerChanges, "chestnuthook_pool_owner_changes_total", MetricType::Counter, "",
        "Changes of the owner of a pool, as this gateway sees it."},
    {MetricKind::RequestWaitMs, "chestnuthook_request_wait_ms", MetricType::Histogram, "cause",
        "What a request of a gateway waited for before an attempt at an endpoint, in milliseconds."},
});

constexpr bool isTableComplete()
{
    for (std::size_t i = 0; i < MetricRows.size(); ++i) {
        if (static_cast<std::size_t>(MetricRows[i].kind) != i) {
            return false;
        }
    }
    return MetricRows.size() == MetricCount;
}
static_assert(isTableComplete(), "each MetricKind needs one row, in enumerator order");

} // namespace

const MetricRow &metricRow(MetricKind kind)
{
    return MetricRows.at(static_cast<std::size_t>(kind));
}

} // namespace Chestnuthook
