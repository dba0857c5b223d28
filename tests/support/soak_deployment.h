/** @file soak_deployment.h  The platform's programs as processes, with fake endpoints and a fake endpoint list. */
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "support/faulty_link.h"
#include "support/platform_process.h"
#include "support/process_fleet.h"
#include "support/raw_server.h"

namespace Chestnuthook::Testing
{

/** A fake endpoint that records the requests that it ran and echoes their ids. */
class SoakEndpoint
{
public:
    using Clock = std::chrono::steady_clock;

    /** One execution of a request. */
    struct Run
    {
        std::string body; ///< Request body.
        Clock::time_point start; ///< When the endpoint began to work on it.
        Clock::time_point end; ///< When the endpoint has sent the last byte, unless the connection closes before.
        bool isResponseLost = false; ///< The endpoint closes the connection instead of responding.
    };

    SoakEndpoint(std::string id, std::string version);

    /** All runs of the request @p id. */
    std::vector<Run> runsOf(const std::string &id);

    /** Names a limit of @p perSecond requests per second in each response; 0 to name none. */
    void nameLimit(unsigned perSecond)
    {
        this->limitPerSecond = perSecond;
    }
    /** Largest number of requests that began to run in one @p window between @p start and @p end. */
    [[nodiscard]] std::size_t mostInWindow(Clock::time_point start, Clock::time_point end, Clock::duration window);

    /** Body of the response to the request @p id with path @p path, which contains pauses. */
    static std::string responseBody(const std::string &path, const std::string &id);

    /** Number of events of the resumable stream @p stream. */
    static std::size_t resumableEvents(const std::string &stream);

    static constexpr auto ExecutionTime = std::chrono::milliseconds(20); ///< Time until a request is answered.

private:
    std::string answer(const std::string &head, const std::string &body);
    /** Response with header @p fields to a request on a resumable route, whose body names the stream. It begins after
     * the event that the request names and may break off in the middle. */
    [[nodiscard]] std::string resumableResponse(
        const std::string &head, const std::string &stream, const std::string &fields) const;

    std::atomic<unsigned> limitPerSecond = 0; ///< See `nameLimit`.
    std::mutex mutex; ///< Guards `runs`.
    std::map<std::string, std::vector<Run>> runs; ///< All runs, by request id.

public:
    const std::string id; ///< Id in the endpoint list; requests for another one aren't run.
    const std::string version; ///< Software version.

private:
    RawServer server; ///< Accepts the requests. Declared after the members that its threads use.

public:
    const std::string address; ///< ip:port.
};

/** Number of endpoints of each version at the start, by version. */
using EndpointVersions = std::map<std::string, std::size_t>;

/** How the daemons of a deployment reach each other. */
enum class InnerLinks : std::uint8_t {
    Direct, ///< At the addresses at which they listen.
    Proxied, ///< Through a proxy before each daemon.
};

/** Three control members, three history members and a number of gateways, with endpoints and an endpoint list. */
class SoakDeployment
{
public:
    SoakDeployment(std::size_t gateways, const EndpointVersions &versions, InnerLinks links = InnerLinks::Direct);

    void start(std::size_t process, bool isBootstrap = false);
    void startEnded();

    /** Kills the process and removes its data folder. */
    void loseDisk(std::size_t process);
    /** Makes all writes to files of the process fail, those to its log included, or succeed again. */
    void setDiskFull(std::size_t process, bool isFull);

    /** Sends configuration @p version, in which @p key is a valid API key and turns are kept for @p retention.
     * @return whether it was acknowledged. */
    [[nodiscard]] bool putConfiguration(
        unsigned version, const std::string &key, std::chrono::seconds retention = std::chrono::seconds(60)) const;

    /** Starts to replace an endpoint by one of @p version: lists a ready endpoint of another version as draining and,
     * unless its address is used again, the new one beside it. @return the id of the draining endpoint; empty if there
     * is none. */
    std::string beginRelease(const std::string &version, bool reusesAddress);
    /** Ends the draining endpoint @p id, and lists the new one at the same address if that is used again. */
    void endRelease(const std::string &id, const std::string &version, bool reusesAddress);
    /** Number of endpoints of @p version that are listed as ready. */
    std::size_t readyEndpoints(const std::string &version);

    /** Cuts @p gateways, and no others, off from all endpoints. */
    void cutOff(const std::set<std::size_t> &gateways);

    /** Index in `processes` of @p gateway. */
    [[nodiscard]] std::size_t processOfGateway(std::size_t gateway) const
    {
        return this->processes.size() - this->clientAddresses.size() + gateway;
    }

    static constexpr auto GracePeriod = std::chrono::seconds(4); ///< From SIGTERM to SIGKILL of a planned stop.

private:
    /** An entry of the endpoint list. */
    struct ListedEndpoint
    {
        SoakEndpoint *endpoint = nullptr; ///< Points into `endpoints`.
        FaultyLink *link = nullptr; ///< Proxy at the listed address; points into `endpointLinks`.
        bool isDraining = false; ///< Listed as draining instead of ready.
    };

    /** Index of the process that has a connection from @p callerAddress to @p address; FaultyLink::AnyCaller if there
     * is none. */
    [[nodiscard]] std::size_t findCaller(const std::string &callerAddress, const std::string &address) const;
    SoakEndpoint &addEndpoint(const std::string &version);
    std::string endpointList();

public:
    TemporaryFolder folder; ///< Settings, logs and data; kept if the test fails.
    std::deque<SoakEndpoint> endpoints; ///< Including those that have ended; all belong to one service.
    std::deque<FaultyLink> endpointLinks; ///< Proxies through which gateways reach endpoints, one per address.

private:
    std::mutex listMutex; ///< Guards `listed`.
    std::vector<ListedEndpoint> listed; ///< The endpoint list.

public:
    RawServer platform; ///< Serves the platform's endpoint list.
    std::vector<PlatformInstance> instances; ///< Settings of each process.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< In the order of `instances`; gateways come last.
    std::vector<std::string> operatorAddresses; ///< Operator addresses of the control members.
    std::vector<std::string> clientAddresses; ///< Client addresses of the gateways.
    std::deque<FaultyLink> clientLinks; ///< Proxies from the clients to each of `clientAddresses`.

private:
    std::vector<std::atomic<pid_t>> processIds; ///< Ids of `processes`, for the threads of `innerLinks`.

public:
    std::deque<FaultyLink> innerLinks; ///< Proxies before each of `processes`; empty if the links are direct.
};

} // namespace Chestnuthook::Testing
