/** @file admission_client_base.h  Admission on the control thread: decides for the customers whose slots this entry
 * owns, asks the owners of the others in batches, and takes buckets over when slots move. */
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

/** For the control thread only. */
class AdmissionClient
{
public:
    AdmissionClient(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Asks the owner of @p customer's slot for one request. NotOwner means that there is none, or that it can't be
     * reached. */
    [[nodiscard]] kj::Promise<AdmissionDecision> ask(const CustomerId &customer);

    /** Decides as the owner of @p customer's slot. */
    [[nodiscard]] AdmissionDecision decide(const CustomerId &customer, std::uint32_t count);

    /** Stops for slots that another entry has gained, and tells what their buckets hold. */
    void giveUp(capnp::List<Wire::GivenUpSlot>::Reader slots, capnp::List<Wire::GivenUpSlot>::Builder replies);

    /** The follower's copy has changed. */
    void onViewChange();

private:
    struct Waiter
    {
        CustomerId customer; ///< Whose request it is.
        kj::Own<kj::PromiseFulfiller<AdmissionDecision>> fulfiller; ///< Gets the verdict.
    };
    struct Batch
    {
        std::vector<Waiter> waiting; ///< Not sent yet.
        bool busy = false; ///< A batch is under way; the next goes when it is back.
    };

    [[nodiscard]] SlotSnapshot facts(const FleetView &view) const;
    void send(const std::string &address);
    void takeReplies(
        capnp::List<Wire::AdmitReply>::Reader replies, std::vector<Waiter> &waiters, const std::vector<unsigned> &rows);
    void requestHandovers();
    kj::Promise<void> requestHandover(const std::string &address, std::vector<HandoverRequest> wanted);
    [[nodiscard]] std::string addressOf(const EntryId &entry) const;

    ControlLoop &loop; ///< Outlives this.
    FleetFollower &follower; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    CustomerRateLimiter owner; ///< Buckets of the owned slots.
    std::map<std::string, Batch> batches; ///< By the owner's address.
    TimerSubscription handovers; ///< Runs while a handover is wanted.
};

} // namespace Chestnuthook
