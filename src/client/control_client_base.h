/** @file control_client_base.h  RPC client for the control members: finds the leader and retries at other members. */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <kj/async.h>

#include "core/error_type.h"
#include "fleet/fleet_type.h"
#include "program/program_type.h"
#include "rpc/control.capnp.h"
#include "rpc/rpc_link_base.h"

namespace Chestnuthook
{

/** Reply to a sync request; owns its message. */
using SyncResponse = capnp::Response<Wire::Control::SyncResults>;

using ReadFleetResponse = capnp::Response<Wire::Control::ReadFleetResults>;

/** Sends requests to one control member at a time and switches to the next one when it fails. Used on the control
 * thread only. */
class ControlClient
{
public:
    ControlClient(RpcContext &context, const std::vector<std::string> &addresses);

    /** Commits a journal command. Errors: those of the journal; NoQuorum if no member answered, in which case the
     * command may have been committed. */
    [[nodiscard]] kj::Promise<Result<void>> submitJournal(std::string command);

    /** Commits a fleet command. @return the Wire::FleetReply as a flat message. */
    [[nodiscard]] kj::Promise<Result<std::string>> submitFleet(std::string command);

    /** Renews the lease of @p entry and fetches the fleet changes after @p haveIndex. @p inForceRevision is the
     * configuration revision under which the entry serves. The promise fails if the member can't confirm the changes
     * with a quorum. */
    [[nodiscard]] kj::Promise<SyncResponse> sync(
        const EntryRecord &entry, std::uint64_t haveIndex, std::uint64_t inForceRevision);

    /** Loads the programs of @p slots, which were opened before. */
    [[nodiscard]] kj::Promise<Result<std::vector<ProgramRecord>>> loadSlots(
        std::vector<std::pair<SlotId, Epoch>> slots);

    /** Fetches the whole fleet state, confirmed by a quorum. Empty if the current member can't confirm it; the client
     * has then switched to another member. */
    [[nodiscard]] kj::Promise<std::optional<kj::Own<ReadFleetResponse>>> readFleet();

    /** Adds or removes a control member. Adding takes until the new member has caught up with the log. */
    [[nodiscard]] kj::Promise<Result<void>> changeMember(std::string id, std::string address, bool remove);

    /** Closes the connection to the current member and switches to the next one. */
    void switchToNextMember();

private:
    /** A command being submitted; shared by all attempts, so that it takes effect once. */
    struct Submission
    {
        Wire::Group group; ///< State machine that applies the command.
        std::string command; ///< Flat message.
        std::string requestId; ///< A resent command with the same id gets the first reply.
        kj::TimePoint deadline; ///< No new attempt starts after this.
    };

    kj::Promise<Result<std::string>> submit(Wire::Group group, std::string command);
    kj::Promise<Result<std::string>> trySubmit(std::shared_ptr<Submission> submission);
    kj::Promise<SyncResponse> trySync(std::shared_ptr<EntryRecord> entry, std::uint64_t haveIndex,
        std::uint64_t inForceRevision, unsigned redirectsLeft);
    kj::Promise<Result<void>> tryChangeMember(std::string id, std::string address, bool remove, unsigned attemptsLeft);
    kj::Promise<Wire::Control::Client> control(std::size_t member);
    void switchAwayFrom(std::size_t member);
    bool followRedirect(std::size_t member, const std::string &leader);

    RpcContext &context; ///< Outlives this.
    std::vector<std::unique_ptr<RpcLink>> links; ///< One per known member; a redirect to an unknown leader adds one.
    std::size_t current = 0; ///< Index in `links` of the member in use.
};

} // namespace Chestnuthook
