/** @file small_deployment.h  One control member, one or more history members and some gateways as processes, before
 * endpoints that a test supplies. */
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "support/http_connection.h"
#include "support/platform_process.h"
#include "support/process_fleet.h"
#include "support/raw_server.h"

namespace Chestnuthook::Testing
{

/** An entry of the endpoint list. */
struct ListedEndpoint
{
    std::string id; ///< Id of the endpoint.
    std::string service; ///< Name of its service.
    std::string address; ///< Address as ip:port.
    unsigned coldLeftMs = 0; ///< How much longer it stays cold.
};

/** A client's request. */
struct ClientRequest
{
    std::string path; ///< Path, which selects the route.
    std::string id; ///< Request id.
    std::string method = "POST"; ///< HTTP method.
    Headers fields = {}; ///< Further header fields.
    std::string body = "x"; ///< Request body.
    std::string key = "key"; ///< API key.
    unsigned deadlineMs = 3000; ///< How long the client waits.
};

class SmallDeployment
{
public:
    static constexpr const char *Host = "h.example"; ///< Host of all routes.

    /** Starts the processes at addresses 127.0.@p network.* and waits until each gateway routes by @p configuration, a
     * JSON document of version 1 that has a tenant with the API key `key`. The gateways get @p gatewayFlags. The
     * history bears the loss of less than half of its @p historyMembers. */
    SmallDeployment(int network, std::size_t gateways, const std::string &configuration,
        const std::vector<std::string> &gatewayFlags = {}, std::size_t historyMembers = 1);
    ~SmallDeployment() = default;
    SmallDeployment(const SmallDeployment &) = delete;
    SmallDeployment &operator=(const SmallDeployment &) = delete;

    /** Sends a configuration to the control member. @return whether it was acknowledged. */
    [[nodiscard]] bool putConfiguration(const std::string &configuration) const;

    /** Replaces the endpoint list, which gateways get within a second. */
    void setEndpoints(const std::vector<ListedEndpoint> &endpoints);

    /** Sends @p request on a new connection and reads until that ends or stays idle for @p idleTimeout. */
    [[nodiscard]] Response send(std::size_t gateway, const ClientRequest &request,
        std::chrono::milliseconds idleTimeout = std::chrono::seconds(4)) const;

    void start(std::size_t process, bool isBootstrap = false);

    /** Addresses from which the @p gateways connect to endpoints. */
    [[nodiscard]] std::vector<std::string> sourcesOf(const std::vector<std::size_t> &gateways) const;

    /** Index in `processes` of @p gateway. */
    [[nodiscard]] std::size_t processOfGateway(std::size_t gateway) const
    {
        return this->processes.size() - this->clientAddresses.size() + gateway;
    }

    /** Index in `processes` of history member @p member. */
    [[nodiscard]] static std::size_t processOfHistory(std::size_t member)
    {
        return 1 + member;
    }

    TemporaryFolder folder; ///< Settings, logs and data.

private:
    std::mutex mutex; ///< Guards `list`.
    std::string list; ///< Endpoint list as JSON.
    RawServer platform; ///< Serves the platform's endpoint list.
    std::string operatorAddress; ///< Operator address of the control member.

public:
    std::vector<PlatformInstance> instances; ///< Settings of each process.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< In the order of `instances`: control, history, gateways.
    std::vector<std::string> clientAddresses; ///< Client addresses of the gateways.
    std::string directoryAddress; ///< Address of the control member's gateway directory.
};

} // namespace Chestnuthook::Testing
