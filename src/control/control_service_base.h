/** @file control_service_base.h  What a control member offers entries and operators, over its two replicated groups. */
#pragma once

#include <string>

#include "consensus/replica_group_base.h"
#include "control/lease_keeper_base.h"
#include "core/timer_base.h"
#include "fleet/fleet_base.h"
#include "program/journal_base.h"
#include "rpc/control.capnp.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** The state of one control member; lives on the control thread. */
class ControlMember
{
public:
    ControlMember(ControlLoop &loop, std::string memberId);

    /** Opens both groups in @p dataFolder. */
    Result<void> open(const std::string &dataFolder);

    /** Starts the periodic work of a leader. */
    void start();

    /** Ends the leases whose holders were not heard. */
    void expireLeases();

    ReplicaGroup<FleetState> fleet; ///< Declarations, keys, leases, slots.
    ReplicaGroup<JournalState> journal; ///< Programs.
    LeaseKeeper leases; ///< Meaningful while this member leads.
    const std::string memberId; ///< Shown to operators.
    ControlLoop &loop; ///< Outlives this.

private:
    TimerSubscription expiry; ///< Runs expireLeases.
};

/** Makes the Control capability over @p member, which outlives it. */
[[nodiscard]] Wire::Control::Client makeControlService(ControlMember &member);

} // namespace Chestnuthook
