/** @file small_deployment.cpp  Starts the processes of a small deployment and sends requests to it. */
#include "support/small_deployment.h"

#include <Poco/Exception.h>

namespace Chestnuthook::Testing
{

namespace
{

constexpr int ControlHost = 1; ///< Last number of the address of the control member.
constexpr int FirstHistoryHost = 11; ///< Last number of the address of the first history member.
constexpr int FirstGatewayHost = 21; ///< Last number of the address of the first gateway.

} // namespace

SmallDeployment::SmallDeployment(int network, std::size_t gateways, const std::string &configuration,
    const std::vector<std::string> &gatewayFlags, std::size_t historyMembers)
    : list(R"({"instances":[],"nextToken":null})")
    , platform("127.0.0.1", [this](const std::string & /*head*/, const std::string & /*body*/) {
        const std::lock_guard lock(this->mutex);
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(this->list.size()) + "\r\n\r\n" + this->list;
    })
{
    const auto ipOf = [network](int host) {
        return "127.0." + std::to_string(network) + "." + std::to_string(host);
    };
    std::vector<std::string> ips = {ipOf(ControlHost)};
    for (int i = 0; i < static_cast<int>(historyMembers); ++i) {
        ips.push_back(ipOf(FirstHistoryHost + i));
    }
    for (int i = 0; i < static_cast<int>(gateways); ++i) {
        ips.push_back(ipOf(FirstGatewayHost + i));
    }
    const unsigned short rpcPort = reserveCommonPort(ips);
    const auto add = [&](const std::string &program, int host, const std::string &listen) {
        PlatformInstance instance;
        instance.program = program;
        instance.name = program + "-" + std::to_string(host);
        instance.ip = ipOf(host);
        instance.listen = listen;
        instance.rpcPort = rpcPort;
        instance.seeds = {ipOf(ControlHost) + ":1"};
        instance.platformAddress = this->platform.address;
        instance.toleratedFailures = static_cast<unsigned>(historyMembers - 1) / 2;
        this->instances.push_back(instance);
    };
    this->operatorAddress = reserveAddress(ipOf(ControlHost));
    this->directoryAddress = reserveAddress(ipOf(ControlHost));
    add("deployment", ControlHost,
        R"("control":")" + this->operatorAddress + R"(","directory":")" + this->directoryAddress + "\"");
    for (int i = 0; i < static_cast<int>(historyMembers); ++i) {
        add("history", FirstHistoryHost + i, "");
    }
    for (int i = 0; i < static_cast<int>(gateways); ++i) {
        const std::string ip = ipOf(FirstGatewayHost + i);
        this->clientAddresses.push_back(reserveAddress(ip));
        add("gateway", FirstGatewayHost + i,
            R"("front":")" + this->clientAddresses.back() + R"(","ready":")" + reserveAddress(ip) + "\"");
        this->instances.back().endpointSource = ip;
        this->instances.back().flags = gatewayFlags;
    }
    this->processes.resize(this->instances.size());
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->start(i, true);
    }
    const bool isAcknowledged = waitUntil([&]() {
        return this->putConfiguration(configuration);
    });
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        const bool isReady = isAcknowledged && waitUntil([&]() {
            return this->send(gateway, {"/none/x", "ready"}).status == 404;
        });
        if (!isReady) {
            this->folder.isKept = true;
            throw std::runtime_error("the deployment doesn't start: "
                + (isAcknowledged ? "gateway " + std::to_string(gateway) + " isn't ready"
                                  : std::string("no configuration is acknowledged"))
                + describeLogs(this->folder.path));
        }
    }
}

void SmallDeployment::start(std::size_t process, bool isBootstrap)
{
    this->instances[process].isBootstrap = isBootstrap;
    this->processes[process] = startInstance(this->instances[process], this->folder.path);
}

std::vector<std::string> SmallDeployment::sourcesOf(const std::vector<std::size_t> &gateways) const
{
    std::vector<std::string> sources;
    sources.reserve(gateways.size());
    for (const std::size_t gateway : gateways) {
        sources.push_back(this->instances[this->processOfGateway(gateway)].endpointSource);
    }
    return sources;
}

void SmallDeployment::setEndpoints(const std::vector<ListedEndpoint> &endpoints)
{
    std::string entries;
    for (const ListedEndpoint &endpoint : endpoints) {
        entries += (entries.empty() ? R"({"id":")" : R"(,{"id":")") + endpoint.id + R"(","service":")"
            + endpoint.service + R"(","addr":")" + endpoint.address
            + R"(","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":)"
            + std::to_string(endpoint.coldLeftMs) + "}";
    }
    const std::lock_guard lock(this->mutex);
    this->list = R"({"instances":[)" + entries + R"(],"nextToken":null})";
}

Response SmallDeployment::send(
    std::size_t gateway, const ClientRequest &request, std::chrono::milliseconds idleTimeout) const
{
    std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + Host + "\r\nX-Request-Id: "
        + request.id + "\r\nX-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\nAuthorization: Bearer "
        + request.key + "\r\nConnection: close\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
    for (const auto &[name, value] : request.fields) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    try {
        return parseResponse(
            sendRawRequest(this->clientAddresses[gateway], bytes + "\r\n" + request.body, idleTimeout));
    } catch (const Poco::Exception &) {
        return {}; // The gateway is down.
    }
}

bool SmallDeployment::putConfiguration(const std::string &configuration) const
{
    return http(this->operatorAddress, "POST", "/-/config/put", configuration).status == 200;
}

} // namespace Chestnuthook::Testing
