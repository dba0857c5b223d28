/** @file event_table.h  Kinds of events with their names and levels. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "core/name_table_type.h"

namespace Chestnuthook
{

/** What an event says; its name stands in logs and time lines. */
enum class EventKind : std::uint8_t {
    ProcessStarted,
    ProcessStopping,
    ChildStarted,
    ChildFailed,
    LeaderElected,
    TermChanged,
    ConfigurationApplied,
    ConfigurationInForce,
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
    CallRefused,
    AttemptFailed,
    EndpointUp,
    EndpointDown,
    EndpointLeaving,
    StrikeRecorded,
    RequestQuarantined,
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
};

/** How much an event matters. */
enum class EventLevel : std::uint8_t {
    Debug, ///< One of many; in the ring always, in the log only on demand.
    Info, ///< A change of state.
    Warning, ///< A fault that was dealt with.
    Error, ///< A fault that needs a person.
};

/** The level of @p kind. */
[[nodiscard]] EventLevel eventLevel(EventKind kind);
/** The name of @p kind in snake_case. */
[[nodiscard]] std::string_view eventName(EventKind kind);

template<>
struct NameTable<EventLevel>
{
    static constexpr auto Rows = std::to_array<NameRow<EventLevel>>({{EventLevel::Debug, "debug"},
        {EventLevel::Info, "info"}, {EventLevel::Warning, "warning"}, {EventLevel::Error, "error"}});
};
static_assert(isNameTableWhole(EventLevel::Error));

} // namespace Chestnuthook
