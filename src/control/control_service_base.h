/** @file control_service_base.h  RPC service of a control member for entries and operators, over its two replicated
 * state machines. */
#pragma once

#include <string>

#include "consensus/replica_group_base.h"
#include "control/entry_lease_tracker_base.h"
#include "core/timer_base.h"
#include "fleet/fleet_base.h"
#include "program/journal_base.h"
#include "rpc/control.capnp.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** State of one control member. Used on the control thread only. */
class ControlMember
{
public:
    ControlMember(ControlLoop &loop, ReplicaSettings settings, bool testHooks);

    /** Opens the log in @p dataFolder and restores both state machines. */
    Result<void> open(const std::string &dataFolder);

    /** Starts replication and the periodic expiry check. */
    void start();

    /** Ends the leases of entries that stopped renewing them and drops expired strikes. Does nothing unless this member
     * leads and a quorum confirms it. */
    void checkExpiry();

    ReplicaNode node; ///< Replicated log of both state machines.
    ReplicaGroup<FleetState> fleet; ///< Declarations, keys, leases, slots.
    ReplicaGroup<JournalState> journal; ///< Programs.
    EntryLeaseTracker leases; ///< Valid only while this member leads.
    const std::string memberId; ///< Name of this member, shown to operators.
    const bool testHooks; ///< Whether setTestFault is served.
    bool dropEntries = false; ///< Test hook: requests of entries and tools are not answered.
    ControlLoop &loop; ///< Outlives this.

private:
    void endExpired();

    TimerSubscription expiryTimer; ///< Runs `checkExpiry` periodically.
    bool confirmingExpiry = false; ///< Whether a quorum confirmation for `checkExpiry` is in progress.
};

/** Creates the Control capability of @p member, which must outlive it. */
[[nodiscard]] Wire::Control::Client makeControlService(ControlMember &member);

} // namespace Chestnuthook
