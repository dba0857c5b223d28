/** @file endpoint_pools_base.h  Which pools of endpoints exist, which gateway owns each, and which pools a request
 * asks. Does no I/O and reads no clock. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/timer_type.h"
#include "deployment/endpoint_list_type.h"
#include "deployment/instance_registry_base.h"

namespace Chestnuthook
{

/** The endpoints of one service in one data centre, or a part of them. */
struct PoolInfo
{
    std::string id; ///< Equal at all gateways with the same endpoint list.
    std::string service; ///< Service of the endpoints.
    std::string dataCentre; ///< Data centre of the endpoints.
    std::vector<DeployedEndpoint> endpoints; ///< Including those that leave.
    unsigned slots = 0; ///< Sum of the endpoints' slots.
    std::string owner; ///< Name of the gateway that owns it; empty if no gateway is ready.
};

/** A pool whose owner has changed. */
struct PoolOwnerChange
{
    std::string pool; ///< Id of the pool.
    std::string before; ///< Former owner.
    std::string after; ///< Present owner; empty if there is none.
};

/** All gateways with the same lists of endpoints and instances have the same pools with the same owners. */
class EndpointPools
{
public:
    static constexpr std::size_t MaxPoolEndpoints = 8; ///< The endpoints of a data centre are split beyond these.
    /** An owner that didn't answer isn't asked for this long. */
    static constexpr Duration OwnerBackoff = std::chrono::milliseconds(500);

    /** Replaces the endpoints. Those that stay keep their pool unless their number passes a multiple of
     * MaxPoolEndpoints or another endpoint takes their place. @return pools that have another owner than before. */
    std::vector<PoolOwnerChange> setEndpoints(const std::vector<DeployedEndpoint> &list);
    /** Replaces the instances. @return pools that have another owner than before. */
    std::vector<PoolOwnerChange> setInstances(const std::vector<InstanceInfo> &list);

    /** @return null if there is no such pool. */
    [[nodiscard]] const PoolInfo *find(const std::string &pool) const;
    [[nodiscard]] const std::map<std::string, PoolInfo> &all() const
    {
        return this->pools;
    }
    /** Pools of @p service in the order in which a request asks them: those of @p dataCentre first, each group by a
     * rendezvous hash of @p affinity weighted by the slots. */
    [[nodiscard]] std::vector<const PoolInfo *> order(
        const std::string &service, const std::string &dataCentre, std::uint64_t affinity) const;
    /** The gateway with a name. @return null if it isn't ready. */
    [[nodiscard]] const InstanceInfo *gateway(const std::string &name) const;

    /** Whether the owner may be asked. After a failure only one request at a time is sent to it until it answers. */
    [[nodiscard]] bool mayAsk(Instant now, const std::string &owner) const;
    void recordAsked(const std::string &owner);
    /** A request that was recorded by recordAsked() has ended, answered or not. */
    void recordEnded(const std::string &owner);
    void recordAnswer(const std::string &owner);
    void recordFailure(Instant now, const std::string &owner);

private:
    struct OwnerState
    {
        Instant skipUntil{0}; ///< Not asked before then.
        bool hasFailed = false; ///< Its last answer was missing.
        unsigned asked = 0; ///< Requests that haven't ended.
    };

    void assign();
    std::vector<PoolOwnerChange> updateOwners();
    [[nodiscard]] std::string chooseOwner(const PoolInfo &pool) const;

    std::vector<DeployedEndpoint> endpoints; ///< As listed.
    std::map<std::string, InstanceInfo> gateways; ///< By name: gateways that are ready.
    std::map<std::string, PoolInfo> pools; ///< By id.
    std::map<std::string, OwnerState> owners; ///< By name: gateways that were asked.
};

/** Rendezvous rank of @p key with a seed, for a candidate of @p weight above 0; the highest rank is chosen. The share
 * of keys that a candidate gets is proportional to its weight. */
[[nodiscard]] double rendezvousRank(std::string_view key, std::uint64_t seed, double weight);

} // namespace Chestnuthook
