/** @file soak_deployment.h  The platform's programs as processes, with fake endpoints and a fake endpoint list. */
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
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

    SoakEndpoint();

    /** All runs of the request @p id. */
    std::vector<Run> runsOf(const std::string &id);

    /** Body of the response to the request @p id with path @p path, which contains pauses. */
    static std::string responseBody(const std::string &path, const std::string &id);

    static constexpr auto ExecutionTime = std::chrono::milliseconds(20); ///< Time until a request is answered.

private:
    std::string answer(const std::string &head, const std::string &body);

    std::mutex mutex; ///< Guards `runs`.
    std::map<std::string, std::vector<Run>> runs; ///< All runs, by request id.
    RawServer server; ///< Accepts the requests.

public:
    FaultyLink link; ///< Proxy through which gateways reach the endpoint.
};

/** Three control members, three history members and a number of gateways, with endpoints and an endpoint list. */
class SoakDeployment
{
public:
    explicit SoakDeployment(std::size_t gateways);

    void start(std::size_t process, bool isBootstrap = false);
    void startEnded();

    /** Sends configuration @p version, in which @p key is a valid API key. @return whether it was acknowledged. */
    [[nodiscard]] bool putConfiguration(unsigned version, const std::string &key) const;

    /** Index in `processes` of @p gateway. */
    [[nodiscard]] std::size_t processOfGateway(std::size_t gateway) const
    {
        return this->processes.size() - this->clientAddresses.size() + gateway;
    }

    static constexpr auto GracePeriod = std::chrono::seconds(4); ///< From SIGTERM to SIGKILL of a planned stop.

    TemporaryFolder folder; ///< Settings, logs and data; kept if the test fails.
    std::deque<SoakEndpoint> endpoints{3}; ///< All belong to one service.
    RawServer platform; ///< Serves the platform's endpoint list.
    std::vector<PlatformInstance> instances; ///< Settings of each process.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< In the order of `instances`; gateways come last.
    std::vector<std::string> operatorAddresses; ///< Operator addresses of the control members.
    std::vector<std::string> clientAddresses; ///< Client addresses of the gateways.
    std::deque<FaultyLink> clientLinks; ///< Proxies from the clients to each of `clientAddresses`.
};

} // namespace Chestnuthook::Testing
