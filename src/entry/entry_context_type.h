/** @file entry_context_type.h  What an entry's traffic threads share. */
#pragma once

#include <atomic>

#include "core/id_type.h"
#include "endpoint/attempt_deadline_base.h"
#include "endpoint/instance_list_base.h"
#include "entry/admission_gate_base.h"
#include "entry/dispatch_base.h"
#include "entry/fleet_follower_base.h"
#include "entry/peer_links_base.h"
#include "entry/program_runtime_base.h"
#include "entry/quarantine_base.h"
#include "entry/worker_pool_base.h"
#include "rpc/control_loop_base.h"
#include "supervisor/supervisor_base.h"

namespace Chestnuthook
{

/** Outlives all traffic threads. */
struct EntryContext
{
    EntryContext(
        ControlLoop &loop, FleetFollower &follower, ProgramRuntime &programs, PeerLinks &peers, Quarantine &quarantine)
        : loop(loop)
        , follower(follower)
        , programs(programs)
        , quarantine(quarantine)
        , peers(peers)
        , admission(loop, follower, this->peers)
        , dispatch(loop, follower, this->peers)
    {
    }

    ControlLoop &loop; ///< Way to the control thread.
    FleetFollower &follower; ///< Its views may be read by traffic threads; all else by the control thread only.
    ProgramRuntime &programs; ///< For the control thread only.
    Quarantine &quarantine; ///< For the control thread only.
    Supervisor *root = nullptr; ///< For /readyz; control thread only.
    PeerLinks &peers; ///< Other entries; control thread only.
    AdmissionGate admission; ///< Customers' rates.
    Dispatch dispatch; ///< Endpoints.
    AttemptDeadlines deadlines; ///< Ends attempts whose time has run out.
    WorkerPool workers; ///< Run calls.
    EntryId self; ///< Of this process.
    DataCentreId dataCentre; ///< Of this instance.
    std::atomic<bool> draining = false; ///< A planned stop has begun.
    std::atomic<int> openRequests = 0; ///< Requests being served, forwarded ones too.
};

} // namespace Chestnuthook
