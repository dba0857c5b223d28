/** @file control_client_base.h  The entry's way to the control members: finds the leader, retries elsewhere. */
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

/** A reply of a control member in a message of its own. */
using SyncResponse = capnp::Response<Wire::Control::SyncResults>;

using ReadFleetResponse = capnp::Response<Wire::Control::ReadFleetResults>;

/** Talks to one control member at a time, and turns to the next when that one fails. For the control thread. */
class ControlClient
{
public:
    ControlClient(RpcContext &context, const std::vector<std::string> &addresses);

    /** Commits a journal command. Errors: those of the journal; NoQuorum where no member answered, in which case the
     * command may have been committed. */
    [[nodiscard]] kj::Promise<Result<void>> submitJournal(std::string command);

    /** Commits a fleet command. @return the flat reply. */
    [[nodiscard]] kj::Promise<Result<std::string>> submitFleet(std::string command);

    /** Renews the lease and reads the changes. The promise fails where the member can't confirm. */
    [[nodiscard]] kj::Promise<SyncResponse> sync(
        const EntryRecord &entry, std::uint64_t haveIndex, std::uint64_t inForce);

    /** Programs of slots that were opened before. */
    [[nodiscard]] kj::Promise<Result<std::vector<ProgramRecord>>> loadSlots(
        std::vector<std::pair<SlotId, Epoch>> slots);

    /** The whole fleet state, confirmed by a quorum; null where this member can't, after which the next is in use. */
    [[nodiscard]] kj::Promise<std::optional<kj::Own<ReadFleetResponse>>> readFleet();

    /** Adds or removes a control member; may take as long as a new member needs to catch up. */
    [[nodiscard]] kj::Promise<Result<void>> changeMember(std::string id, std::string address, bool remove);

    /** Leaves the current member for the next one. */
    void switchToNextMember();

private:
    /** A command under way; the same through all tries, so that it takes effect once. */
    struct Submission
    {
        Wire::Group group; ///< Which machine.
        std::string command; ///< Flat.
        std::string requestId; ///< A resend under it gets the first reply.
        kj::TimePoint deadline; ///< After this there are no more tries.
    };

    kj::Promise<Result<std::string>> submit(Wire::Group group, std::string command);
    kj::Promise<Result<std::string>> trySubmit(std::shared_ptr<Submission> submission);
    kj::Promise<SyncResponse> trySync(
        std::shared_ptr<EntryRecord> entry, std::uint64_t haveIndex, std::uint64_t inForce, unsigned redirectsLeft);
    kj::Promise<Result<void>> tryChange(std::string id, std::string address, bool remove, unsigned triesLeft);
    kj::Promise<Wire::Control::Client> control(std::size_t member);
    void leave(std::size_t member);
    bool follow(std::size_t member, const std::string &leader);

    RpcContext &context; ///< Outlives this.
    std::vector<std::unique_ptr<RpcLink>> links; ///< One per control member known; grows by leaders that are named.
    std::size_t current = 0; ///< Index of the member in use.
};

} // namespace Chestnuthook
