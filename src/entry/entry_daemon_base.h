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
    ClientPortSettings clientPort; ///< Limits and certificate of the callers' port.
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
    /** The supervisor's table, in start order: each row leans on those above it. */
    std::vector<ChildSpecification> children();
    Result<void> startListPoll();
    void stopListPoll();
    Result<void> startFleet();
    void stopFleet();
    Result<void> startPrograms();
    void stopPrograms();
    [[nodiscard]] Result<void> programsReady() const;
    Result<void> startPeerServer();
    Result<void> startClientPort();
    void beginDrain();
    void drain();
    void releaseCache(const ProgramId &program, const EndpointId &endpoint);

    EntrySettings settings; ///< As checked.
    ControlLoop loop; ///< The control thread's.
    ControlClient client; ///< To the control members.
    FleetFollower follower; ///< The copy of the fleet state.
    PeerLinks peers; ///< Other entries.
    ProgramRuntime programs; ///< Owned programs.
    Quarantine quarantine; ///< Requests that crash endpoints.
    EntryContext context; ///< Shared with traffic threads.
    EntryServer server; ///< Callers.
    std::optional<Error> fatalError; ///< Why the daemon ends by itself.
    TimerSubscription deadlineTimer; ///< Ends attempts whose time has run out.
    std::atomic<bool> polling = false; ///< The list is polled.
    std::thread listPollThread; ///< Polls the platform's list.
    std::thread drainThread; ///< Ends the server while the control thread goes on.
};

} // namespace Chestnuthook
