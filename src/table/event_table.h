/** @file event_table.h  Kinds of events with their names and levels. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "core/name_table_type.h"

namespace Chestnuthook
{

/** Kinds of events; their names appear in logs and timelines. */
enum class EventKind : std::uint8_t {
    ProcessStarted,
    ProcessStopping,
    ChildStarted,
    ChildFailed,
    LeaderElected,
    LeaderResigned,
    LeaderLoad,
    TermChanged,
    ConfigurationApplied,
    ConfigurationAcknowledged,
    ConfigurationAnnounced,
    ConfigurationFetched,
    ConfigurationInForce,
    ConfigurationSent,
    CreditAccountOpened,
    CreditGranted,
    KeyIssued,
    KeyWithdrawn,
    LeaseGranted,
    LeaseExpired,
    SlotMoved,
    ProgramCreated,
    ProgramEnded,
    CallAccepted,
    CallDispatched,
    CallFirstToken,
    CallEnded,
    CallResent,
    StreamBegun,
    StreamResumed,
    TurnKept,
    CallRefused,
    RequestWaits,
    CallAborted,
    AttemptFailed,
    EndpointUp,
    EndpointDown,
    EndpointLeaving,
    EndpointLimitChanged,
    EndpointColdChanged,
    EndpointVersion,
    EndpointLinkDown,
    EndpointLinkUp,
    StrikeRecorded,
    RequestQuarantined,
    RequestAcquitted,
    CacheReleased,
    OrderIssued,
    OrderRefused,
    DrainStarted,
    DrainFinished,
    FreshnessLost,
    FreshnessRegained,
    PeerConnected,
    PeerLost,
    StorageFault,
    RequestRejected,
    MembershipChanged,
    SnapshotTaken,
    ConnectionFailed,
    ConnectionsDropped,
    StorageOpened,
    EvacuationChanged,
    SlowOperation,
    PoolDecided,
    PoolOwnerChanged,
    PoolOwnerFailed,
};

/** Severity of an event. */
enum class EventLevel : std::uint8_t {
    Debug, ///< A frequent event: always in the event ring, logged only on demand.
    Info, ///< A change of state.
    Warning, ///< A fault that was handled.
    Error, ///< A fault that needs an operator.
};

/** Severity of @p kind. */
[[nodiscard]] EventLevel eventLevel(EventKind kind);

template<>
struct NameTable<EventKind>
{
    static constexpr auto Rows = std::to_array<NameRow<EventKind>>({
        {EventKind::ProcessStarted, "process_started"},
        {EventKind::ProcessStopping, "process_stopping"},
        {EventKind::ChildStarted, "child_started"},
        {EventKind::ChildFailed, "child_failed"},
        {EventKind::LeaderElected, "leader_elected"},
        {EventKind::LeaderResigned, "leader_resigned"},
        {EventKind::LeaderLoad, "leader_load"},
        {EventKind::TermChanged, "term_changed"},
        {EventKind::ConfigurationApplied, "configuration_applied"},
        {EventKind::ConfigurationAcknowledged, "configuration_acknowledged"},
        {EventKind::ConfigurationAnnounced, "configuration_announced"},
        {EventKind::ConfigurationFetched, "configuration_fetched"},
        {EventKind::ConfigurationInForce, "configuration_in_force"},
        {EventKind::ConfigurationSent, "configuration_sent"},
        {EventKind::CreditAccountOpened, "credit_account_opened"},
        {EventKind::CreditGranted, "credit_granted"},
        {EventKind::KeyIssued, "key_issued"},
        {EventKind::KeyWithdrawn, "key_withdrawn"},
        {EventKind::LeaseGranted, "lease_granted"},
        {EventKind::LeaseExpired, "lease_expired"},
        {EventKind::SlotMoved, "slot_moved"},
        {EventKind::ProgramCreated, "program_created"},
        {EventKind::ProgramEnded, "program_ended"},
        {EventKind::CallAccepted, "call_accepted"},
        {EventKind::CallDispatched, "call_dispatched"},
        {EventKind::CallFirstToken, "call_first_token"},
        {EventKind::CallEnded, "call_ended"},
        {EventKind::CallResent, "call_resent"},
        {EventKind::StreamBegun, "stream_begun"},
        {EventKind::StreamResumed, "stream_resumed"},
        {EventKind::TurnKept, "turn_kept"},
        {EventKind::CallRefused, "call_refused"},
        {EventKind::RequestWaits, "request_waits"},
        {EventKind::CallAborted, "call_aborted"},
        {EventKind::AttemptFailed, "attempt_failed"},
        {EventKind::EndpointUp, "endpoint_up"},
        {EventKind::EndpointDown, "endpoint_down"},
        {EventKind::EndpointLeaving, "endpoint_leaving"},
        {EventKind::EndpointLimitChanged, "endpoint_limit_changed"},
        {EventKind::EndpointColdChanged, "endpoint_cold_changed"},
        {EventKind::EndpointVersion, "endpoint_version"},
        {EventKind::EndpointLinkDown, "endpoint_link_down"},
        {EventKind::EndpointLinkUp, "endpoint_link_up"},
        {EventKind::StrikeRecorded, "strike_recorded"},
        {EventKind::RequestQuarantined, "request_quarantined"},
        {EventKind::RequestAcquitted, "request_acquitted"},
        {EventKind::CacheReleased, "cache_released"},
        {EventKind::OrderIssued, "order_issued"},
        {EventKind::OrderRefused, "order_refused"},
        {EventKind::DrainStarted, "drain_started"},
        {EventKind::DrainFinished, "drain_finished"},
        {EventKind::FreshnessLost, "freshness_lost"},
        {EventKind::FreshnessRegained, "freshness_regained"},
        {EventKind::PeerConnected, "peer_connected"},
        {EventKind::PeerLost, "peer_lost"},
        {EventKind::StorageFault, "storage_fault"},
        {EventKind::RequestRejected, "request_rejected"},
        {EventKind::MembershipChanged, "membership_changed"},
        {EventKind::SnapshotTaken, "snapshot_taken"},
        {EventKind::ConnectionFailed, "connection_failed"},
        {EventKind::ConnectionsDropped, "connections_dropped"},
        {EventKind::StorageOpened, "storage_opened"},
        {EventKind::EvacuationChanged, "evacuation_changed"},
        {EventKind::SlowOperation, "slow_operation"},
        {EventKind::PoolDecided, "pool_decided"},
        {EventKind::PoolOwnerChanged, "pool_owner_changed"},
        {EventKind::PoolOwnerFailed, "pool_owner_failed"},
    });
};
static_assert(isNameTableWhole(EventKind::PoolOwnerFailed));

template<>
struct NameTable<EventLevel>
{
    static constexpr auto Rows = std::to_array<NameRow<EventLevel>>({{EventLevel::Debug, "debug"},
        {EventLevel::Info, "info"}, {EventLevel::Warning, "warning"}, {EventLevel::Error, "error"}});
};
static_assert(isNameTableWhole(EventLevel::Error));

} // namespace Chestnuthook
