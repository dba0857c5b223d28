/** @file endpoint_connector_base.h  Connects to endpoints: over kept connections, directly, or through another gateway
 * where this gateway's own link is down. Requests stay with this gateway in each case; the other one forwards bytes. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/connection_pool_base.h"
#include "gateway/endpoint_links_base.h"
#include "gateway/endpoint_relay_base.h"
#include "gateway/relay_peers_base.h"

namespace Chestnuthook
{

/** How a connection was obtained. */
struct OpenedConnection
{
    std::unique_ptr<EndpointConnection> connection; ///< Null if it failed.
    ConnectFailure failure = ConnectFailure::None; ///< Why it failed.
    bool isKept = false; ///< Was used for an earlier request.
};

/** Identity of a gateway and its network. */
struct ConnectorSettings
{
    std::string name; ///< Name of this gateway.
    std::string dataCentre; ///< Data centre of this gateway.
    std::string source; ///< IP address from which direct connections leave; empty for the system's choice.
};

/** Must be used on the control thread only. */
class EndpointConnector
{
public:
    EndpointConnector(ControlLoop &loop, const ConnectorSettings &settings);
    EndpointConnector(const EndpointConnector &) = delete;
    EndpointConnector &operator=(const EndpointConnector &) = delete;

    void setEndpoints(const std::vector<DeployedEndpoint> &list);
    void setInstances(const std::vector<InstanceInfo> &instances);

    /** Takes a kept connection to @p endpoint or opens one within @p timeout. */
    [[nodiscard]] OpenedConnection connect(kj::WaitScope &scope, const DeployedEndpoint &endpoint, Duration timeout);
    /** Opens a new connection within @p timeout. */
    [[nodiscard]] ConnectResult open(kj::WaitScope &scope, const DeployedEndpoint &endpoint, Duration timeout);
    /** Whether @p endpoint, to which no connection could be opened, is down: another endpoint can be reached, so the
     * cause isn't the network of this gateway. Without another endpoint it is taken to be down. */
    [[nodiscard]] bool isDown(kj::WaitScope &scope, const DeployedEndpoint &endpoint);
    /** Keeps a connection whose last response was read completely for at most @p idleTimeout. */
    void keep(const DeployedEndpoint &endpoint, std::unique_ptr<EndpointConnection> connection, Duration idleTimeout);

    /** A request is sent on @p connection. It is interrupted if the link to @p address turns out to hang and
     * @p isRepeatable. */
    void beginRequest(const std::string &address, EndpointConnection &connection, bool isRepeatable);
    void endRequest(const std::string &address, EndpointConnection &connection);
    /** Bytes of a response arrived on @p connection. */
    void recordReceived(const std::string &address, EndpointConnection &connection);

    /** Whether most endpoints of a service are reached only through other gateways. */
    [[nodiscard]] bool isCutOff() const
    {
        return this->links.isCutOff();
    }

    EndpointRelay relay; ///< Opens connections for other gateways. Its requests have no part in the state of the links.
    std::function<void()> onLinksChanged; ///< Called when a link went down or up. May be empty.

private:
    struct DirectAttempt;
    /** What became of a request to another gateway to open a connection. */
    enum class RelayOutcome : std::uint8_t {
        Connected, ///< It has opened a connection.
        Unreachable, ///< It doesn't reach the endpoint either, or doesn't know it.
        Busy, ///< It relays no more connections.
        NoAnswer, ///< It didn't answer in time, or the connection to it broke.
    };
    /** Answer of another gateway that was asked for a connection. */
    struct RelayAnswer
    {
        RelayOutcome outcome = RelayOutcome::NoAnswer;
        std::unique_ptr<EndpointConnection> connection; ///< Null unless connected.
    };

    /** Opens a direct connection. It goes on when the caller has got another one, to learn the state of the link. */
    std::shared_ptr<DirectAttempt> startDirect(const DeployedEndpoint &endpoint, Duration timeout);
    /** Asks other gateways one after another until one opens a connection, or until @p direct, which may be null, has
     * connected. @return null if none did. */
    std::unique_ptr<EndpointConnection> openRelayed(
        kj::WaitScope &scope, const DeployedEndpoint &endpoint, DirectAttempt *direct, Duration timeout);
    kj::Promise<RelayAnswer> askPeer(const InstanceInfo &peer, const std::string &endpointId);
    std::shared_ptr<RpcLink> linkTo(const std::string &address);
    void recordConnected(const std::string &address);
    void recordDown(const std::string &address, ConnectFailure failure);
    void probeLinks();
    void probe(const DeployedEndpoint &endpoint);
    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    ControlLoop &loop; ///< Must outlive this object.
    ConnectionPool pool; ///< Direct connections by address, relayed ones by relayedKey().
    EndpointLinks links; ///< Which endpoints are reached directly.
    RelayPeers peers; ///< Gateways that may be asked.
    std::map<std::string, DeployedEndpoint> endpoints; ///< Listed endpoints by address.
    /** Connections to other gateways by address. A link lives on while a call is made over it. */
    std::map<std::string, std::shared_ptr<RpcLink>> peerLinks;
    std::map<std::string, std::set<EndpointConnection *>> repeatable; ///< In use for requests that may be repeated.
    TimerSubscription probeTimer; ///< Calls `probeLinks`.
};

} // namespace Chestnuthook
