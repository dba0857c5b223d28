/** @file fleet_follower_base.h  Renews the lease of the entry and keeps its copy of the fleet state up to date. */
#pragma once

#include <functional>

#include "client/control_client_base.h"
#include "core/timer_base.h"
#include "entry/fleet_view_type.h"
#include "fleet/fleet_base.h"

namespace Chestnuthook
{

/** Builds a view from scratch. The cost grows with the number of customers (docs/CAPACITY.md). */
[[nodiscard]] std::shared_ptr<const FleetView> makeView(const FleetState &state);

/** Builds the view of @p state from @p old, the view of the same copy at log index @p since. Parses only the rows that
 * changed since then. */
[[nodiscard]] std::shared_ptr<const FleetView> updateView(
    const FleetView &old, const FleetState &state, std::uint64_t since);

/** Follows the fleet state on the control thread and publishes views for the traffic threads. */
class FleetFollower
{
public:
    FleetFollower(ControlClient &client, TimerService &timers, EntryRecord self);

    /** Starts the periodic reads. */
    void start();
    void stop();

    /** Marks the entry as draining from the next read on; it is then assigned no slots. */
    void drain();

    /** Called after each read that changed the fleet state or the lease. */
    std::function<void()> onChange;

    /** Called at each poll while an operator has set this entry to draining and `drain` was not called yet; must lead
     * to a call of `drain`. May be empty. */
    std::function<void()> onDrainRequested;

    /** Whether the view is fresh enough to admit requests. */
    [[nodiscard]] bool isFresh() const;

    FleetViewHolder views; ///< Published views, for the traffic threads.
    FleetState state; ///< The local copy; never reverts to an older state.
    EntryRecord self; ///< Record of this entry; its epoch is that of the lease, or 0 without one.

private:
    void poll();
    void handleResponse(const SyncResponse &response, Instant sentAt);
    void publish(std::uint64_t since);

    ControlClient &client; ///< Outlives this.
    TimerService &timers; ///< Outlives this.
    TimerSubscription subscription; ///< Timer of the periodic reads.
    kj::Promise<void> pendingRead; ///< The read in progress.
    bool busy = false; ///< Whether a read is in progress; there is at most one.
    bool wasFresh = false; ///< Freshness at the last poll, to log changes.
};

} // namespace Chestnuthook
