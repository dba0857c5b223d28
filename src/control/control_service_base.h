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
    ControlMember(ControlLoop &loop, ReplicaSettings settings, bool testHooks);

    /** Opens the log in @p dataFolder and restores both machines. */
    Result<void> open(const std::string &dataFolder);

    /** Starts to take part, and the periodic work of a leader. */
    void start();

    /** Ends the leases whose holders were not heard, and drops strikes that have expired; does nothing but at a leader
     * that a quorum confirms. */
    void expire();

    ReplicaNode node; ///< The log that both machines stand on.
    ReplicaGroup<FleetState> fleet; ///< Declarations, keys, leases, slots.
    ReplicaGroup<JournalState> journal; ///< Programs.
    LeaseKeeper leases; ///< Meaningful while this member leads.
    const std::string memberId; ///< Shown to operators.
    const bool testHooks; ///< Whether setTestFault is served.
    bool dropEntries = false; ///< Test hook: entries and tools get no answer.
    ControlLoop &loop; ///< Outlives this.

private:
    void expireConfirmed();

    TimerSubscription expiry; ///< Runs expire.
    bool confirming = false; ///< A confirmation for expire is under way.
};

/** Makes the Control capability over @p member, which outlives it. */
[[nodiscard]] Wire::Control::Client makeControlService(ControlMember &member);

} // namespace Chestnuthook
