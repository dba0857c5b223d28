/** @file event_table.cpp  Table of the severity of each kind of event. */
#include "table/event_table.h"

#include <array>
#include <cstddef>

namespace Chestnuthook
{

namespace
{

/** Severity of a kind of event. */
struct EventRow
{
    EventKind kind; ///< The kind; rows are in the order of the enumerators.
    EventLevel level; ///< Its severity.
};

constexpr auto EventRows = std::to_array<EventRow>({
    {EventKind::ProcessStarted, EventLevel::Info},
    {EventKind::ProcessStopping, EventLevel::Info},
    {EventKind::ChildStarted, EventLevel::Info},
    {EventKind::ChildFailed, EventLevel::Warning},
    {EventKind::LeaderElected, EventLevel::Info},
    {EventKind::LeaderResigned, EventLevel::Warning},
    {EventKind::LeaderLoad, EventLevel::Info},
    {EventKind::TermChanged, EventLevel::Info},
    {EventKind::ConfigurationApplied, EventLevel::Info},
    {EventKind::ConfigurationAcknowledged, EventLevel::Info},
    {EventKind::ConfigurationAnnounced, EventLevel::Info},
    {EventKind::ConfigurationFetched, EventLevel::Info},
    {EventKind::ConfigurationInForce, EventLevel::Info},
    {EventKind::ConfigurationSent, EventLevel::Info},
    {EventKind::CreditAccountOpened, EventLevel::Info},
    {EventKind::CreditGranted, EventLevel::Info},
    {EventKind::KeyIssued, EventLevel::Info},
    {EventKind::KeyWithdrawn, EventLevel::Info},
    {EventKind::LeaseGranted, EventLevel::Debug},
    {EventKind::LeaseExpired, EventLevel::Warning},
    {EventKind::SlotMoved, EventLevel::Info},
    {EventKind::ProgramCreated, EventLevel::Debug},
    {EventKind::ProgramEnded, EventLevel::Debug},
    {EventKind::CallAccepted, EventLevel::Debug},
    {EventKind::CallDispatched, EventLevel::Debug},
    {EventKind::CallFirstToken, EventLevel::Debug},
    {EventKind::CallEnded, EventLevel::Debug},
    {EventKind::CallResent, EventLevel::Warning},
    {EventKind::StreamBegun, EventLevel::Info},
    {EventKind::StreamResumed, EventLevel::Info},
    {EventKind::TurnKept, EventLevel::Info},
    {EventKind::CallRefused, EventLevel::Info},
    {EventKind::RequestWaits, EventLevel::Info},
    {EventKind::CallAborted, EventLevel::Warning},
    {EventKind::AttemptFailed, EventLevel::Warning},
    {EventKind::EndpointUp, EventLevel::Info},
    {EventKind::EndpointDown, EventLevel::Warning},
    {EventKind::EndpointLeaving, EventLevel::Info},
    {EventKind::EndpointLimitChanged, EventLevel::Info},
    {EventKind::EndpointColdChanged, EventLevel::Info},
    {EventKind::EndpointVersion, EventLevel::Info},
    {EventKind::EndpointLinkDown, EventLevel::Warning},
    {EventKind::EndpointLinkUp, EventLevel::Info},
    {EventKind::StrikeRecorded, EventLevel::Warning},
    {EventKind::RequestQuarantined, EventLevel::Warning},
    {EventKind::RequestAcquitted, EventLevel::Info},
    {EventKind::CacheReleased, EventLevel::Debug},
    {EventKind::OrderIssued, EventLevel::Info},
    {EventKind::OrderRefused, EventLevel::Warning},
    {EventKind::DrainStarted, EventLevel::Info},
    {EventKind::DrainFinished, EventLevel::Info},
    {EventKind::FreshnessLost, EventLevel::Warning},
    {EventKind::FreshnessRegained, EventLevel::Info},
    {EventKind::PeerConnected, EventLevel::Info},
    {EventKind::PeerLost, EventLevel::Warning},
    {EventKind::StorageFault, EventLevel::Error},
    {EventKind::RequestRejected, EventLevel::Debug},
    {EventKind::MembershipChanged, EventLevel::Info},
    {EventKind::SnapshotTaken, EventLevel::Info},
    {EventKind::ConnectionFailed, EventLevel::Warning},
    {EventKind::ConnectionsDropped, EventLevel::Warning},
    {EventKind::StorageOpened, EventLevel::Info},
    {EventKind::EvacuationChanged, EventLevel::Info},
    {EventKind::SlowOperation, EventLevel::Warning},
    {EventKind::PoolDecided, EventLevel::Debug},
    {EventKind::PoolOwnerChanged, EventLevel::Info},
    {EventKind::PoolOwnerFailed, EventLevel::Warning},
});

constexpr bool isTableComplete()
{
    for (std::size_t i = 0; i < EventRows.size(); ++i) {
        if (static_cast<std::size_t>(EventRows[i].kind) != i) {
            return false;
        }
    }
    return EventRows.size() == static_cast<std::size_t>(EventKind::PoolOwnerFailed) + 1;
}
static_assert(isTableComplete(), "each EventKind needs one row, in enumerator order");

const EventRow &eventRow(EventKind kind)
{
    return EventRows.at(static_cast<std::size_t>(kind));
}

} // namespace

EventLevel eventLevel(EventKind kind)
{
    return eventRow(kind).level;
}

} // namespace Chestnuthook
