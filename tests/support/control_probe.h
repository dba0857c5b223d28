/** @file control_probe.h  Calls individual control members, for tests that must know which one answers. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rpc/control_loop_base.h"
#include "support/process_fleet.h"

namespace Chestnuthook::Testing
{

/** Status reported by one member. */
struct ProbedStatus
{
    std::string leader; ///< Address of the leader known to it; may be empty.
    std::uint64_t term = 0; ///< Current term.
    std::uint64_t revision = 0; ///< Revision of the declarations.
    bool confirmed = false; ///< Whether a quorum confirmed this status.
};

class ControlProbe
{
public:
    /** @p fleet must outlive this. */
    explicit ControlProbe(const ProcessFleet &fleet);

    /** Status of a member; empty if it doesn't answer. */
    std::optional<ProbedStatus> status(std::size_t index);

    /** Waits for a leader other than @p except that a quorum confirms. @return its index. @throws std::runtime_error if
     * there is none in time. */
    std::size_t leader(std::optional<std::size_t> except = std::nullopt);

    void setFault(std::size_t index, bool dropMembers, bool dropEntries);

    /** Sends a fleet command to one member. @return its reply; empty if it rejected the command or didn't answer. */
    std::optional<std::string> submit(std::size_t index, const std::string &command, const std::string &requestId = "");

    /** Sends all commands concurrently to one member. @return the replies; a missing reply is empty. */
    std::vector<std::string> submitTogether(std::size_t index, const std::vector<std::string> &commands);

    ControlLoop loop; ///< Event loop of this thread; runs only during calls.

private:
    /** Updates the time of the event loop, which is from the end of the last call; timeouts are counted from it. */
    void updateLoopTime();
    kj::Promise<std::string> send(RpcLink &link, const std::string &command, const std::string &requestId);

    const ProcessFleet &fleet; ///< Fleet of the called members.
};

/** Flat apply command that sets the service `probe` to @p json, based on @p expectedRevision. */
std::string applyCommand(std::uint64_t expectedRevision, const std::string &requestId, const std::string &json);

} // namespace Chestnuthook::Testing
