/** @file admission_client_base.h  Admission on the control thread: decides for the tenants whose slots this entry owns,
 * asks the owners of the others in batches, and takes buckets over when slots move. */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "admission/bucket_owner_base.h"
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

    /** Asks the owner of @p tenant's slot for one request. NotOwner means that there is none, or that it can't be
     * reached. */
    [[nodiscard]] kj::Promise<AdmitVerdict> requestAdmission(const TenantId &tenant);

    /** Decides as the owner of @p tenant's slot. */
    [[nodiscard]] AdmitVerdict admitAsOwner(const TenantId &tenant, std::uint32_t count);

    /** Stops for slots that another entry has gained, and tells what their buckets hold. */
    void releaseSlots(capnp::List<Wire::GivenUpSlot>::Reader slots, capnp::List<Wire::GivenUpSlot>::Builder replies);

    /** The follower's copy has changed. */
    void onViewChange();

private:
    struct Waiter
    {
        TenantId tenant; ///< Whose request it is.
        kj::Own<kj::PromiseFulfiller<AdmitVerdict>> fulfiller; ///< Gets the verdict.
    };
    struct Batch
    {
        std::vector<Waiter> waiting; ///< Not sent yet.
        bool busy = false; ///< A batch is under way; the next goes when it is back.
    };

    [[nodiscard]] SlotFacts facts(const FleetView &view) const;
    void send(const std::string &address);
    void handleReplies(capnp::List<Wire::AdmitReply>::Reader replies, std::vector<Waiter> &waiters,
        const std::vector<unsigned> &requestIndexes);
    void requestHandovers();
    kj::Promise<void> requestHandover(const std::string &address, std::vector<WantedHandover> wanted);
    [[nodiscard]] std::string rpcAddressOf(const EntryId &entry) const;

    ControlLoop &loop; ///< Outlives this.
    FleetFollower &follower; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    BucketOwner owner; ///< Buckets of the owned slots.
    std::map<std::string, Batch> batches; ///< By the owner's address.
    TimerSubscription handoverTimer; ///< Runs while a handover is wanted.
};

} // namespace Chestnuthook
