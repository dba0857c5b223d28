/** @file entry_daemon_base.h  The components of an entry and their supervision tree. */
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

/** Validated settings of an entry. */
struct EntrySettings
{
    std::string address; ///< Listen address for clients, ip:port.
    std::string rpcAddress; ///< Listen address for other entries, ip:port.
    std::vector<std::string> controls; ///< Addresses of the control members, ip:port.
    std::string platform; ///< Address of the platform's instance list, ip:port.
    EntryId id; ///< Id of this process.
    DataCentreId dataCentre; ///< Data centre of this instance.
    std::string secret; ///< Shared secret of the fleet.
    ClientPortSettings clientPort; ///< Limits and certificate of the port for clients.
};

class EntryDaemon
{
public:
    explicit EntryDaemon(EntrySettings settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    /** Runs until SIGTERM or SIGINT, then shuts down gracefully. Errors: AddressInUse. */
    Result<void> run();

private:
    /** The child specifications of the supervisor in start order; each child depends on those before it. */
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

    EntrySettings settings; ///< Validated settings.
    ControlLoop loop; ///< Event loop of the control thread.
    ControlClient client; ///< Client of the control members.
    FleetFollower follower; ///< Maintains the copy of the fleet state.
    PeerLinks peers; ///< Connections to other entries.
    ProgramRuntime programs; ///< Programs that this entry owns.
    Quarantine quarantine; ///< Requests that crash endpoints.
    EntryContext context; ///< State shared with the traffic threads.
    EntryServer server; ///< HTTP server for clients.
    std::optional<Error> fatalError; ///< Error that ends the daemon.
    TimerSubscription deadlineTimer; ///< Cancels attempts at their deadline.
    std::atomic<bool> polling = false; ///< False to stop listPollThread.
    std::thread listPollThread; ///< Polls the platform's instance list.
    std::thread drainThread; ///< Waits for open requests and stops the server while the control thread keeps running.
};

} // namespace Chestnuthook
