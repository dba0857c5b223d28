/** @file fleet_follower_base.h  Keeps the entry's lease and its copy of the fleet state. */
#pragma once

#include <functional>

#include "client/control_client_base.h"
#include "core/timer_base.h"
#include "entry/fleet_view_type.h"
#include "fleet/fleet_base.h"

namespace Chestnuthook
{

/** The view of the whole of @p state; costs as much as it has tenants (docs/CAPACITY.md). */
[[nodiscard]] std::shared_ptr<const FleetView> makeView(const FleetState &state);

/** The view of @p state, made from @p old, that of the same copy at log index @p since: only changed rows are parsed.
 */
[[nodiscard]] std::shared_ptr<const FleetView> updateView(
    const FleetView &old, const FleetState &state, std::uint64_t since);

/** For the control thread; publishes views for traffic threads. */
class FleetFollower
{
public:
    FleetFollower(ControlClient &client, TimerService &timers, EntryRecord self);

    /** Starts the periodic read. */
    void start();
    void stop();

    /** From the next read on, the entry is listed as draining and gets no slots. */
    void drain();

    /** Called after each read that changed something. */
    std::function<void()> onChange;

    /** Called at a poll once an operator has set this entry to draining; it calls `drain`. May be empty. */
    std::function<void()> onDrainRequested;

    /** Whether the view is recent enough to admit requests. */
    [[nodiscard]] bool isFresh() const;

    FleetViewHolder views; ///< For traffic threads.
    FleetState state; ///< The copy; never moves to an older state.
    EntryRecord self; ///< With the epoch of the lease; 0 where there is none.

private:
    void poll();
    void handleResponse(const SyncResponse &response, Instant sentAt);
    void publish(std::uint64_t since);

    ControlClient &client; ///< Outlives this.
    TimerService &timers; ///< Outlives this.
    TimerSubscription subscription; ///< The periodic read.
    kj::Promise<void> pendingRead; ///< The read under way.
    bool busy = false; ///< A read is under way; at most one is.
    bool wasFresh = false; ///< To tell changes of freshness.
};

} // namespace Chestnuthook
