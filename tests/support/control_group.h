/** @file control_group.h  The control members of a deployment as processes, without other daemons. Members are added,
 * stopped, removed for good and robbed of their disks. */
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "support/platform_process.h"
#include "support/process_fleet.h"

namespace Chestnuthook::Testing
{

class ControlGroup
{
public:
    /** Starts @p members at addresses 127.0.@p network.*, the first three as seeds. */
    ControlGroup(int network, std::size_t members, unsigned toleratedFailures);

    /** Starts an empty member at a new address. The members that run are its seeds. @return its index. */
    std::size_t add();
    /** Starts @p member with what is in its data folder, and waits until its process handles signals. */
    void start(std::size_t member);
    /** Sends SIGTERM to @p leaving at the same moment and waits until they have ended. */
    void terminate(const std::vector<std::size_t> &leaving);
    void kill(std::size_t member);
    /** Stops all members that run for @p time, and lets them go on. */
    void standStill(std::chrono::milliseconds time);
    /** Kills @p member and starts it again without its data folder. */
    void loseDisk(std::size_t member);

    /** Changes the configuration to @p version. @return whether that was acknowledged within @p patience. */
    [[nodiscard]] bool putConfiguration(unsigned version, std::chrono::milliseconds patience) const;
    /** Whether a member reads back @p version, as putConfiguration() sent it, within @p patience. */
    [[nodiscard]] bool readsConfiguration(unsigned version, std::chrono::milliseconds patience) const;

    /** What @p member has logged. */
    [[nodiscard]] std::string log(std::size_t member) const;

    TemporaryFolder folder{memoryFolder()}; ///< Settings, logs and data.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< All members there have been, by index.

private:
    void describeNext();
    /** Sends @p request to the running members in turn for @p patience. @return the body of the first answer with
     * status 200, and whether there was one. */
    [[nodiscard]] std::pair<bool, std::string> ask(
        const std::string &request, std::chrono::milliseconds patience) const;

    const int network; ///< Third number of the addresses.
    const unsigned toleratedFailures; ///< Number of members whose simultaneous loss is tolerated.
    unsigned short rpcPort = 0; ///< RPC port of all members.
    std::vector<PlatformInstance> instances; ///< Settings of each member.
    std::vector<std::string> operatorAddresses; ///< Of each member.
};

} // namespace Chestnuthook::Testing
