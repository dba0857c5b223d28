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

    /** Leaves the current member for the next one. */
    void turnToNext();

private:
    kj::Promise<Result<std::string>> submit(Wire::Group group, std::string command, unsigned triesLeft);
    kj::Promise<Wire::Control::Client> control();
    void follow(const std::string &leader);

    RpcContext &context; ///< Outlives this.
    std::vector<std::unique_ptr<RpcLink>> links; ///< One per control member.
    std::size_t current = 0; ///< Index of the member in use.
};

} // namespace Chestnuthook
