/** @file event_table.cpp  The table of events. */
#include "table/event_table.h"

#include <array>
#include <cstddef>

namespace Chestnuthook
{

namespace
{

/** Name and level of a kind of event. */
struct EventRow
{
    EventKind kind; ///< The kind; rows stand in the order of the enumerators.
    std::string_view name; ///< Its name in logs and time lines.
    EventLevel level; ///< How much it matters.
};

constexpr auto EventRows = std::to_array<EventRow>({
    {EventKind::ProcessStarted, "process_started", EventLevel::Info},
    {EventKind::ProcessStopping, "process_stopping", EventLevel::Info},
    {EventKind::ChildStarted, "child_started", EventLevel::Info},
    {EventKind::ChildFailed, "child_failed", EventLevel::Warning},
    {EventKind::LeaderElected, "leader_elected", EventLevel::Info},
    {EventKind::TermChanged, "term_changed", EventLevel::Info},
    {EventKind::ConfigurationApplied, "configuration_applied", EventLevel::Info},
    {EventKind::ConfigurationInForce, "configuration_in_force", EventLevel::Info},
    {EventKind::KeyIssued, "key_issued", EventLevel::Info},
    {EventKind::KeyWithdrawn, "key_withdrawn", EventLevel::Info},
    {EventKind::LeaseGranted, "lease_granted", EventLevel::Debug},
    {EventKind::LeaseExpired, "lease_expired", EventLevel::Warning},
    {EventKind::SlotMoved, "slot_moved", EventLevel::Info},
    {EventKind::ProgramCreated, "program_created", EventLevel::Debug},
    {EventKind::ProgramEnded, "program_ended", EventLevel::Debug},
    {EventKind::CallAccepted, "call_accepted", EventLevel::Debug},
    {EventKind::CallDispatched, "call_dispatched", EventLevel::Debug},
    {EventKind::CallFirstToken, "call_first_token", EventLevel::Debug},
    {EventKind::CallEnded, "call_ended", EventLevel::Debug},
    {EventKind::CallResent, "call_resent", EventLevel::Warning},
    {EventKind::CallRefused, "call_refused", EventLevel::Debug},
    {EventKind::AttemptFailed, "attempt_failed", EventLevel::Warning},
    {EventKind::EndpointUp, "endpoint_up", EventLevel::Info},
    {EventKind::EndpointDown, "endpoint_down", EventLevel::Warning},
    {EventKind::EndpointLeaving, "endpoint_leaving", EventLevel::Info},
    {EventKind::StrikeRecorded, "strike_recorded", EventLevel::Warning},
    {EventKind::RequestQuarantined, "request_quarantined", EventLevel::Warning},
    {EventKind::CacheReleased, "cache_released", EventLevel::Debug},
    {EventKind::OrderIssued, "order_issued", EventLevel::Info},
    {EventKind::OrderRefused, "order_refused", EventLevel::Warning},
    {EventKind::DrainStarted, "drain_started", EventLevel::Info},
    {EventKind::DrainFinished, "drain_finished", EventLevel::Info},
    {EventKind::FreshnessLost, "freshness_lost", EventLevel::Warning},
    {EventKind::FreshnessRegained, "freshness_regained", EventLevel::Info},
    {EventKind::PeerConnected, "peer_connected", EventLevel::Info},
    {EventKind::PeerLost, "peer_lost", EventLevel::Warning},
    {EventKind::StorageFault, "storage_fault", EventLevel::Error},
    {EventKind::RequestRejected, "request_rejected", EventLevel::Debug},
    {EventKind::MembershipChanged, "membership_changed", EventLevel::Info},
    {EventKind::SnapshotTaken, "snapshot_taken", EventLevel::Info},
});

constexpr bool isWhole()
{
    for (std::size_t i = 0; i < EventRows.size(); ++i) {
        if (static_cast<std::size_t>(EventRows[i].kind) != i) {
            return false;
        }
    }
    return EventRows.size() == static_cast<std::size_t>(EventKind::SnapshotTaken) + 1;
}
static_assert(isWhole(), "each EventKind has one row, in order");

const EventRow &rowOf(EventKind kind)
{
    return EventRows.at(static_cast<std::size_t>(kind));
}

} // namespace

EventLevel eventLevel(EventKind kind)
{
    return rowOf(kind).level;
}

std::string_view eventName(EventKind kind)
{
    return rowOf(kind).name;
}

} // namespace Chestnuthook
