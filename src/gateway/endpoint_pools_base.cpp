/** @file endpoint_pools_base.cpp  Splits endpoints into pools and selects owners by rendezvous hashing. */
#include "gateway/endpoint_pools_base.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

constexpr double HashRange = 18446744073709551616.0; ///< 2 to the power of 64.

/** Owner of each pool before a change. */
std::map<std::string, std::string> ownersOf(const std::map<std::string, PoolInfo> &pools)
{
    std::map<std::string, std::string> owners;
    for (const auto &[id, pool] : pools) {
        owners[id] = pool.owner;
    }
    return owners;
}

/** Part of the largest processor share that the owner of a pool needs. In a burst, owners with 0.09 of a core beside
 * ones with 0.3 used all of it, and gateways that got no answer in time placed turns by themselves. */
constexpr double MinShareOfLargest = 0.5;

/** Processor shares by gateway; those that state none get the mean of the others, and those that are too small to own
 * a pool get 0. */
std::map<std::string, double> weightsOf(const std::vector<const InstanceInfo *> &candidates)
{
    double sum = 0;
    double stated = 0;
    double largest = 0;
    for (const InstanceInfo *candidate : candidates) {
        sum += std::max(candidate->processorShare, 0.0);
        largest = std::max(largest, candidate->processorShare);
        stated += candidate->processorShare > 0 ? 1 : 0;
    }
    const double mean = stated > 0 ? sum / stated : 1;
    std::map<std::string, double> weights;
    for (const InstanceInfo *candidate : candidates) {
        const double share = candidate->processorShare > 0 ? candidate->processorShare : mean;
        weights[candidate->name] = share < MinShareOfLargest * largest ? 0 : share;
    }
    return weights;
}

} // namespace

double rendezvousRank(std::string_view key, std::uint64_t seed, double weight)
{
    const double uniform = (static_cast<double>(hash64(key, seed)) + 0.5) / HashRange;
    return -weight / std::log(std::min(uniform, 1 - 1e-16));
}

std::vector<PoolOwnerChange> EndpointPools::setEndpoints(const std::vector<DeployedEndpoint> &list)
{
    this->endpoints = list;
    const auto before = ownersOf(this->pools);
    this->assign();
    for (const auto &[id, owner] : before) {
        if (const auto found = this->pools.find(id); found != this->pools.end()) {
            found->second.owner = owner;
        }
    }
    return this->updateOwners();
}

std::vector<PoolOwnerChange> EndpointPools::setInstances(const std::vector<InstanceInfo> &list)
{
    this->gateways.clear();
    for (const InstanceInfo &instance : list) {
        if (instance.role == Wire::InstanceRole::GATEWAY && instance.ready) {
            this->gateways.emplace(instance.name, instance);
        }
    }
    std::erase_if(this->owners, [this](const auto &entry) {
        return entry.second.asked == 0 && !this->gateways.contains(entry.first);
    });
    return this->updateOwners();
}

void EndpointPools::assign()
{
    this->pools.clear();
    std::map<std::pair<std::string, std::string>, std::vector<const DeployedEndpoint *>> groups;
    for (const DeployedEndpoint &endpoint : this->endpoints) {
        groups[{endpoint.service, endpoint.dataCentre}].push_back(&endpoint);
    }
    for (auto &[key, members] : groups) {
        const std::size_t poolCount = (members.size() + MaxPoolEndpoints - 1) / MaxPoolEndpoints;
        const std::size_t capacity = (members.size() + poolCount - 1) / poolCount;
        // An endpoint that is restarted keeps its address and thereby its pool.
        std::ranges::sort(members, {}, [](const DeployedEndpoint *endpoint) {
            return std::pair(hash64(endpoint->address), endpoint->id);
        });
        std::vector<PoolInfo> groupPools(poolCount);
        for (std::size_t i = 0; i < poolCount; ++i) {
            groupPools[i].id = key.first + "/" + key.second + "/" + std::to_string(i);
            groupPools[i].service = key.first;
            groupPools[i].dataCentre = key.second;
        }
        for (const DeployedEndpoint *endpoint : members) {
            PoolInfo *best = nullptr;
            std::uint64_t bestHash = 0;
            for (std::size_t i = 0; i < poolCount; ++i) {
                const std::uint64_t hash = hash64(endpoint->address, i + 1);
                if (groupPools[i].endpoints.size() < capacity && (best == nullptr || hash > bestHash)) {
                    best = &groupPools[i];
                    bestHash = hash;
                }
            }
            best->endpoints.push_back(*endpoint);
            best->slots += endpoint->slots;
        }
        for (PoolInfo &pool : groupPools) {
            std::string id = pool.id;
            this->pools.emplace(std::move(id), std::move(pool));
        }
    }
}

std::string EndpointPools::chooseOwner(const PoolInfo &pool) const
{
    std::vector<const InstanceInfo *> near;
    std::vector<const InstanceInfo *> all;
    for (const auto &[name, gateway] : this->gateways) {
        all.push_back(&gateway);
        if (gateway.dataCentre == pool.dataCentre) {
            near.push_back(&gateway);
        }
    }
    const auto &candidates = near.empty() ? all : near;
    const std::uint64_t seed = hash64(pool.id);
    std::string best;
    double bestRank = 0;
    for (const auto &[name, weight] : weightsOf(candidates)) {
        const double rank = rendezvousRank(name, seed, weight);
        if (best.empty() || rank > bestRank) {
            best = name;
            bestRank = rank;
        }
    }
    return best;
}

std::vector<PoolOwnerChange> EndpointPools::updateOwners()
{
    std::vector<PoolOwnerChange> changes;
    for (auto &[id, pool] : this->pools) {
        std::string owner = this->chooseOwner(pool);
        if (owner != pool.owner) {
            changes.push_back({id, pool.owner, owner});
            pool.owner = std::move(owner);
        }
    }
    return changes;
}

const PoolInfo *EndpointPools::find(const std::string &pool) const
{
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? nullptr : &found->second;
}

const InstanceInfo *EndpointPools::gateway(const std::string &name) const
{
    const auto found = this->gateways.find(name);
    return found == this->gateways.end() ? nullptr : &found->second;
}

std::vector<const PoolInfo *> EndpointPools::order(
    const std::string &service, const std::string &dataCentre, std::uint64_t affinity) const
{
    struct Ranked
    {
        const PoolInfo *pool = nullptr;
        bool isRemote = false; ///< In another data centre.
        double rank = 0; ///< See rendezvousRank.
    };
    std::vector<Ranked> ranked;
    for (const auto &[id, pool] : this->pools) {
        if (pool.service == service) {
            ranked.push_back(
                {&pool, pool.dataCentre != dataCentre, rendezvousRank(id, affinity, std::max(pool.slots, 1U))});
        }
    }
    std::ranges::sort(ranked, [](const Ranked &left, const Ranked &right) {
        return std::pair(left.isRemote, -left.rank) < std::pair(right.isRemote, -right.rank);
    });
    std::vector<const PoolInfo *> result;
    result.reserve(ranked.size());
    for (const Ranked &entry : ranked) {
        result.push_back(entry.pool);
    }
    return result;
}

bool EndpointPools::mayAsk(Instant now, const std::string &owner) const
{
    const auto found = this->owners.find(owner);
    if (found == this->owners.end()) {
        return true;
    }
    const OwnerState &state = found->second;
    return now >= state.skipUntil && (!state.hasFailed || state.asked == 0);
}

void EndpointPools::recordAsked(const std::string &owner)
{
    ++this->owners[owner].asked;
}

void EndpointPools::recordEnded(const std::string &owner)
{
    OwnerState &state = this->owners[owner];
    state.asked -= std::min(state.asked, 1U);
}

void EndpointPools::recordAnswer(const std::string &owner)
{
    this->owners[owner].hasFailed = false;
}

void EndpointPools::recordFailure(Instant now, const std::string &owner)
{
    OwnerState &state = this->owners[owner];
    state.hasFailed = true;
    state.skipUntil = now + OwnerBackoff;
}

} // namespace Chestnuthook
