/** @file pool_dispatcher_base.h  Pools of endpoints at one gateway: which services have them, the pools that it owns,
 * and the requests that it places in pools. */
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "deployment/configuration_type.h"
#include "gateway/endpoint_pools_base.h"
#include "gateway/endpoint_relay_base.h"
#include "gateway/header_codec_type.h"
#include "gateway/pool_client_base.h"
#include "gateway/pool_owner_base.h"
#include "rpc/dispatch.capnp.h"

namespace Chestnuthook
{

/** Used by the control thread only. */
class PoolDispatcher
{
public:
    /** Whether an endpoint may get requests, as this gateway sees it. */
    using IsUsable = std::function<bool(const std::string &endpoint)>;

    PoolDispatcher(ControlLoop &loop, const std::string &ownName, IsUsable isUsable);

    void setConfiguration(ConfigurationPtr current);
    void setEndpoints(const std::vector<DeployedEndpoint> &list);
    void setInstances(const std::vector<InstanceInfo> &list);
    /** An endpoint of @p service has reported its load. */
    void recordLoad(const std::string &service, const EndpointLoad &load);

    /** Whether requests to @p service are placed in pools. */
    [[nodiscard]] bool isPooled(const std::string &service) const;
    /** Asks the owners of the pools for an endpoint. */
    [[nodiscard]] PoolPlacement place(kj::WaitScope &scope, const PoolQuery &query)
    {
        return this->client.place(scope, query);
    }
    /** Capability for other gateways, together with that of @p relay, which must outlive it. */
    [[nodiscard]] Wire::GatewayPeer::Client makePeer(EndpointRelay &relay);

private:
    [[nodiscard]] PoolOwner::Description describe(const PoolInfo &pool) const;
    void prepare();
    /** Tells new owners of the turns in flight, and logs the changes of pools that are in use. */
    void applyOwnerChanges(const std::vector<PoolOwnerChange> &changes);
    static void logOwnerChange(const PoolOwnerChange &change);

    IsUsable isUsable; ///< See IsUsable.
    ConfigurationPtr configuration; ///< Configuration in force; null before the first one.
    std::set<std::string> pacedServices; ///< Services whose endpoints report their pace.
    ControlLoop &loop; ///< Must outlive this object.
    EndpointPools pools; ///< Which pools exist.
    PoolOwner owner; ///< Pools of this gateway.
    PoolClient client; ///< Asks the owners of pools.
};

} // namespace Chestnuthook
