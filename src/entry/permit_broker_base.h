/** @file permit_broker_base.h  Permits on the control thread: chooses endpoints, asks their dispatchers in batches, and
 * dispatches the endpoints that fall to this entry. */
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "endpoint/attempt_type.h"
#include "entry/dispatch_request_type.h"
#include "entry/fleet_follower_base.h"
#include "entry/peer_links_base.h"
#include "policy/endpoint_choice_func.h"
#include "policy/endpoint_health_base.h"
#include "policy/permit_ledger_base.h"
#include "policy/prefix_index_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

constexpr std::size_t EngineInFlight = 32; ///< Calls in flight at one engine.
constexpr std::size_t ServiceInFlight = 64; ///< Calls in flight at one service replica.

[[nodiscard]] constexpr std::size_t inFlightBound(EndpointKind kind)
{
    return kind == EndpointKind::Engine ? EngineInFlight : ServiceInFlight;
}

/** How the wait for a permit ended. */
struct PermitResult
{
    DispatchPermit permit; ///< Valid where there is no error.
    std::optional<Error> error; ///< Why there is none.
};

/** For the control thread only. */
class PermitBroker
{
public:
    PermitBroker(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Waits for a permit at the endpoint that promises the earliest completion. Errors as Dispatch::acquire. */
    [[nodiscard]] kj::Promise<kj::Own<PermitResult>> acquire(const DispatchRequest &request);

    /** The attempt under @p permit has ended. */
    void release(const DispatchPermit &permit, const DispatchRequest &request, const AttemptOutcome &outcome);

    /** Answers other entries as the dispatcher of their endpoints. */
    void handleRequests(
        capnp::List<Wire::PermitRequest>::Reader requests, capnp::List<Wire::PermitReply>::Builder replies);
    /** Another entry's permits have ended. */
    void handleRelease(const EntryId &entry, capnp::List<std::uint64_t>::Reader permits);
    /** A dispatcher grants permits that waited. */
    void handleGranted(capnp::List<std::uint64_t>::Reader permits);

    void onViewChange();
    /** From any thread. */
    void setEndpoints(std::shared_ptr<const EndpointList> next);

private:
    /** A permit that waits or is in use. */
    struct LocalPermit
    {
        DispatchRequest request; ///< As asked for.
        EndpointId endpoint; ///< Where.
        double uncachedTokens = 0; ///< Prefill expected there.
        Instant requestedAt; ///< For ageing.
        Instant deadline; ///< For the wait.
        bool running = false; ///< Granted.
        bool fallback = false; ///< Granted without a dispatcher; it is told as soon as it can be reached.
        EntryId requestedFrom; ///< The dispatcher that it was asked of.
        bool acknowledged = false; ///< That dispatcher has answered.
        kj::Own<kj::PromiseFulfiller<kj::Own<PermitResult>>> fulfiller; ///< While it waits.
    };
    /** What other dispatchers said of one endpoint. */
    struct RemoteLoad
    {
        double inFlight = 0; ///< Calls there, and own ones since.
        double backlog = 0; ///< Their tokens.
    };
    struct Outbox
    {
        std::vector<std::uint64_t> requests; ///< Permits to ask for, or to tell of.
        std::map<EndpointId, std::vector<std::uint64_t>> releases; ///< Not confirmed yet.
        bool busy = false; ///< A batch is under way.
    };

    [[nodiscard]] const ListedEndpoint *findListed(const EndpointId &endpoint) const;
    [[nodiscard]] EntryId dispatcherFor(const EndpointId &endpoint) const;
    [[nodiscard]] std::vector<const ListedEndpoint *> eligibleEndpoints(
        const DispatchRequest &request, Instant now) const;
    [[nodiscard]] EndpointEstimate estimate(const EndpointId &endpoint, const ProgramId &program) const;
    [[nodiscard]] WaitingCall waitingCallFor(const LocalPermit &localPermit) const;
    [[nodiscard]] std::size_t liveEntryCount() const;
    bool selectEndpoint(std::uint64_t id, LocalPermit &localPermit, Instant now);
    void requestPermit(std::uint64_t id, LocalPermit &localPermit);
    void requestLocally(std::uint64_t id, LocalPermit &localPermit);
    void releaseAtDispatcher(std::uint64_t id, const LocalPermit &localPermit);
    void grant(std::uint64_t id, bool fallback);
    void reject(std::uint64_t id, ErrorKind kind, const std::string &what);
    void grantFallbacks(const std::vector<std::uint64_t> &ids);
    void deliverGrants();
    kj::Promise<void> notifyGranted(const std::string &address, std::vector<std::uint64_t> permits);
    void scheduleSend(const EntryId &entry);
    void send(const EntryId &entry);
    kj::Promise<void> sendRequests(const std::string &address, const EntryId &entry, std::vector<std::uint64_t> ids);
    kj::Promise<void> sendReleases(const std::string &address, const EntryId &entry);
    void handleReplies(const std::vector<std::uint64_t> &ids, capnp::List<Wire::PermitReply>::Reader replies);
    [[nodiscard]] std::string rpcAddressOf(const EntryId &entry) const;
    void tick();

    ControlLoop &loop; ///< Outlives this.
    FleetFollower &follower; ///< Outlives this.
    PeerLinks &peers; ///< Outlives this.
    std::atomic<std::shared_ptr<const EndpointList>> platformList; ///< The platform's list; never null.
    std::shared_ptr<const EndpointList> endpointList; ///< The one in use on the control thread; never null.
    PermitLedger ledger; ///< Endpoints that fall to this entry.
    std::map<std::uint64_t, LocalPermit> localPermits; ///< By permit id.
    std::map<EntryId, Outbox> outboxes; ///< By dispatcher.
    std::map<EndpointId, RemoteLoad> remoteLoads; ///< Of endpoints dispatched elsewhere.
    std::map<EndpointId, std::size_t> fallbacks; ///< Permits in use without a dispatcher.
    EndpointHealth health; ///< As this entry saw it.
    PrefixIndex prefixes; ///< Of the programs that ran from here.
    std::uint64_t selectionState = 0; ///< Of the choice's rule.
    std::uint64_t lastPermit = 0; ///< Id of the last permit.
    TimerSubscription tickTimer; ///< Runs `tick`; made on first use.
};

} // namespace Chestnuthook
