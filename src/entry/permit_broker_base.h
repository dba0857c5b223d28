/** @file permit_broker_base.h  Permits on the control thread: selects endpoints, requests permits from their
 * dispatchers in batches, and grants permits as the dispatcher of the endpoints assigned to this entry. */
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
#include "policy/permit_table_base.h"
#include "policy/prefix_index_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

constexpr std::size_t MaxEngineInFlight = 32; ///< Maximum number of calls in flight at one engine.
constexpr std::size_t MaxServiceInFlight = 64; ///< Maximum number of calls in flight at one service replica.

[[nodiscard]] constexpr std::size_t maxInFlight(EndpointKind kind)
{
    return kind == EndpointKind::Engine ? MaxEngineInFlight : MaxServiceInFlight;
}

/** Result of a wait for a permit. */
struct PermitResult
{
    DispatchPermit permit; ///< Valid if there is no error.
    std::optional<Error> error; ///< Why no permit was granted.
};

/** Requests and grants permits; for the control thread only. */
class PermitBroker
{
public:
    PermitBroker(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Waits for a permit at the endpoint with the earliest predicted completion. Errors as for Dispatch::acquire. */
    [[nodiscard]] kj::Promise<kj::Own<PermitResult>> acquire(const DispatchRequest &request);

    /** Releases @p permit after its attempt has ended. */
    void release(const DispatchPermit &permit, const DispatchRequest &request, const AttemptOutcome &outcome);

    /** Serves permit requests of other entries, as the dispatcher of the endpoints. */
    void handleRequests(
        capnp::List<Wire::PermitRequest>::Reader requests, capnp::List<Wire::PermitReply>::Builder replies);
    /** Releases permits of another entry. */
    void handleRelease(const EntryId &entry, capnp::List<std::uint64_t>::Reader permits);
    /** Handles grants by a dispatcher for permits that were queued. */
    void handleGranted(capnp::List<std::uint64_t>::Reader permits);

    /** Applies a changed view of the fleet state. */
    void onViewChange();
    /** Sets the latest endpoint list; from any thread. */
    void setEndpoints(std::shared_ptr<const EndpointList> next);

private:
    /** A permit of this entry that is waiting or in use. */
    struct LocalPermit
    {
        DispatchRequest request; ///< Requirements of the attempt.
        EndpointId endpoint; ///< The selected endpoint.
        double uncachedTokens = 0; ///< Prompt tokens that the endpoint is expected to have to prefill.
        Instant requestedAt; ///< When it was requested, for the ageing of queued calls.
        Instant deadline; ///< When the wait ends.
        bool running = false; ///< Whether it was granted.
        bool fallback = false; ///< Granted while the dispatcher was unreachable, which is informed as soon as possible.
        EntryId requestedFrom; ///< The dispatcher that it was requested from.
        bool acknowledged = false; ///< Whether that dispatcher has replied.
        kj::Own<kj::PromiseFulfiller<kj::Own<PermitResult>>> fulfiller; ///< Receives the result of the wait.
    };
    /** Load of an endpoint as last reported by its dispatcher, plus requests of this entry since. */
    struct RemoteLoad
    {
        double inFlight = 0; ///< Number of calls in flight.
        double backlog = 0; ///< Their expected tokens.
    };
    /** Messages to be sent to one dispatcher. */
    struct Outbox
    {
        std::vector<std::uint64_t> requests; ///< Permits to request, or to report as running.
        std::map<EndpointId, std::vector<std::uint64_t>> releases; ///< Releases that the dispatcher has not confirmed.
        bool busy = false; ///< A batch is in flight.
    };

    [[nodiscard]] const ListedEndpoint *findListed(const EndpointId &endpoint) const;
    [[nodiscard]] EntryId dispatcherFor(const EndpointId &endpoint) const;
    [[nodiscard]] std::vector<const ListedEndpoint *> eligibleEndpoints(
        const DispatchRequest &request, Instant now) const;
    [[nodiscard]] EndpointEstimate estimate(const EndpointId &endpoint, const ProgramId &program) const;
    [[nodiscard]] QueuedCall waitingCallFor(const LocalPermit &localPermit) const;
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
    std::atomic<std::shared_ptr<const EndpointList>> platformList; ///< The latest list of the platform; never null.
    std::shared_ptr<const EndpointList> endpointList; ///< The list in use on the control thread; never null.
    PermitTable ledger; ///< Permits at the endpoints that this entry dispatches.
    std::map<std::uint64_t, LocalPermit> localPermits; ///< Permits of this entry by id.
    std::map<EntryId, Outbox> outboxes; ///< Outboxes by dispatcher.
    std::map<EndpointId, RemoteLoad> remoteLoads; ///< Loads of the endpoints that other entries dispatch.
    std::map<EndpointId, std::size_t> fallbacks; ///< Number of fallback grants by endpoint.
    EndpointHealth health; ///< Health of the endpoints as seen by this entry.
    PrefixIndex prefixes; ///< Cached prompt prefixes of programs that ran from this entry.
    std::uint64_t selectionState = 0; ///< State of the selection policy.
    std::uint64_t lastPermit = 0; ///< Id of the most recent permit.
    TimerSubscription tickTimer; ///< Runs `tick`; started on first use.
};

} // namespace Chestnuthook
