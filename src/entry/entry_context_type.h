/** @file entry_context_type.h  State that the traffic threads of an entry share. */
#pragma once

#include <atomic>

#include "core/id_type.h"
#include "endpoint/attempt_deadline_base.h"
#include "endpoint/endpoint_list_base.h"
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

    ControlLoop &loop; ///< Runs functions on the control thread.
    FleetFollower &follower; ///< For the control thread only, except its views, which any thread may read.
    ProgramRuntime &programs; ///< For the control thread only.
    Quarantine &quarantine; ///< For the control thread only.
    Supervisor *root = nullptr; ///< Supervision tree, for /readyz; for the control thread only.
    PeerLinks &peers; ///< Connections to other entries; for the control thread only.
    AdmissionGate admission; ///< Rate limits of the customers.
    Dispatch dispatch; ///< Chooses endpoints and limits the work in flight at each.
    AttemptDeadlines deadlines; ///< Cancels attempts at their deadline.
    WorkerPool workers; ///< Threads that run calls.
    EntryId self; ///< Id of this process.
    DataCentreId dataCentre; ///< Data centre of this instance.
    std::atomic<bool> draining = false; ///< A graceful shutdown has started.
    std::atomic<bool> refusing = false; ///< New client requests are refused, so that a graceful shutdown can end.
    std::atomic<int> openRequests = 0; ///< Requests in progress, including those forwarded by other entries.
};

} // namespace Chestnuthook
