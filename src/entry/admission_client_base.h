/** @file admission_client_base.h  Admission control on the control thread: decides for the customers whose slots this
 * entry owns, sends batched requests to the owners of the others, and takes over buckets when slots move. */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "admission/customer_rate_limiter_base.h"
#include "entry/fleet_follower_base.h"
#include "entry/peer_links_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** Finds the owner of a customer's token bucket and gets its decision. For the control thread only. */
class AdmissionClient
{
public:
    AdmissionClient(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Asks the owner of @p customer's slot to admit one request. The state is NotOwner if the slot has no owner or its
     * owner can't be reached. */
    [[nodiscard]] kj::Promise<AdmissionDecision> requestAdmission(const CustomerId &customer);

    /** Admits up to @p count requests as the owner of @p customer's slot. */
    [[nodiscard]] AdmissionDecision admitAsOwner(const CustomerId &customer, std::uint32_t count);

    /** Stops admitting for slots that have moved to another entry, and returns the levels of their buckets. */
    void releaseSlots(capnp::List<Wire::GivenUpSlot>::Reader slots, capnp::List<Wire::GivenUpSlot>::Builder replies);

    /** Applies a changed view of the fleet state. */
    void onViewChange();

private:
    struct Waiter
    {
        CustomerId customer; ///< Customer who made the request.
        kj::Own<kj::PromiseFulfiller<AdmissionDecision>> fulfiller; ///< Receives the decision.
    };
    struct Batch
    {
        std::vector<Waiter> waiting; ///< Requests that were not sent yet.
        bool busy = false; ///< A batch is in flight; the next is sent after its reply.
    };

    [[nodiscard]] SlotSnapshot facts(const FleetView &view) const;
    void send(const std::string &address);
    void handleReplies(capnp::List<Wire::AdmitReply>::Reader replies, std::vector<Waiter> &waiters,
        const std::vector<unsigned> &requestIndexes);
    void requestHandovers();
    kj::Promise<void> requestHandover(const std::string &address, std::vector<HandoverRequest> wanted);
    [[nodiscard]] std::string rpcAddressOf(const EntryId &entry) const;

    ControlLoop &loop; ///< Outlives this.
    FleetFollower &follower; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    CustomerRateLimiter owner; ///< Buckets of the slots that this entry owns.
    std::map<std::string, Batch> batches; ///< Batches by RPC address of the slot owner.
    TimerSubscription handoverTimer; ///< Retries handovers; active while any is pending.
};

} // namespace Chestnuthook
