/** @file entry_daemon_base.h  The parts of an entry and the tree that supervises them. */
#pragma once

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "entry/entry_context_type.h"
#include "entry/http_server_base.h"

namespace Chestnuthook
{

/** Checked settings of an entry. */
struct EntrySettings
{
    std::string address; ///< For callers, ip:port.
    std::string rpcAddress; ///< For other entries, ip:port.
    std::vector<std::string> controls; ///< Control members, ip:port.
    std::string platform; ///< Instance list, ip:port.
    EntryId id; ///< Of this process.
    DataCentreId dataCentre; ///< Of this instance.
    std::string secret; ///< The fleet's secret.
    CallerSettings callers; ///< Limits and certificate of the callers' port.
};

class EntryDaemon
{
public:
    explicit EntryDaemon(EntrySettings settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    /** Runs until SIGTERM or SIGINT, then stops gracefully. Errors: AddressInUse. */
    Result<void> run();

private:
    std::vector<ChildSpecification> children();
    void startListPoll();
    void stopListPoll();
    void beginDrain();

    EntrySettings settings; ///< As checked.
    ControlLoop loop; ///< The control thread's.
    ControlClient client; ///< To the control members.
    FleetFollower follower; ///< The copy of the fleet state.
    ProgramRuntime programs; ///< Owned programs.
    EntryContext context; ///< Shared with traffic threads.
    EntryServer server; ///< Callers.
    std::optional<Error> fault; ///< Why the daemon ends by itself.
    std::atomic<bool> polling = false; ///< The list is polled.
    std::thread listThread; ///< Polls the platform's list.
    std::thread stopThread; ///< Ends the server while the control thread goes on.
};

} // namespace Chestnuthook
