/** @file control_probe.h  Talks to single control members, for tests that must know which one answers. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rpc/control_loop_base.h"
#include "support/process_fleet.h"

namespace Chestnuthook::Testing
{

/** What one member says of itself. */
struct ProbedStatus
{
    std::string leader; ///< Address of the leader that it knows; may be empty.
    std::uint64_t term = 0; ///< Its term.
    std::uint64_t revision = 0; ///< Of the declarations.
    bool confirmed = false; ///< A quorum confirmed the answer.
};

class ControlProbe
{
public:
    /** For the members of @p fleet, which outlives this. */
    explicit ControlProbe(const ProcessFleet &fleet);

    /** Nothing where the member doesn't answer. */
    std::optional<ProbedStatus> status(std::size_t index);

    /** Index of the member that leads and is confirmed; waits for one other than @p except. @throws where none comes.
     */
    std::size_t leader(std::optional<std::size_t> except = std::nullopt);

    void setFault(std::size_t index, bool dropMembers, bool dropEntries);

    /** Sends a fleet command to one member. @return its reply, or nothing where it refused or didn't answer. */
    std::optional<std::string> submit(std::size_t index, const std::string &command, const std::string &requestId = "");

    /** Sends all commands at once to one member. @return the replies, empty where there was none. */
    std::vector<std::string> submitTogether(std::size_t index, const std::vector<std::string> &commands);

    ControlLoop loop; ///< Runs while a call waits; the one of this thread.

private:
    /** Lets the loop see how late it is; it stood still since the last call, and timeouts count from its time. */
    void wake();
    kj::Promise<std::string> send(RpcLink &link, const std::string &command, const std::string &requestId);

    const ProcessFleet &fleet; ///< Whose members these are.
};

/** A flat apply command that sets @p json as the service `probe`, for @p expectedRevision. */
std::string applyCommand(std::uint64_t expectedRevision, const std::string &requestId, const std::string &json);

} // namespace Chestnuthook::Testing
