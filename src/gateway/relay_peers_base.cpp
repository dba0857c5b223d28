/** @file relay_peers_base.cpp  Selects gateways that relay connections. */
#include "gateway/relay_peers_base.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/hash_func.h"

namespace Chestnuthook
{

RelayPeers::RelayPeers(std::string ownName, std::string dataCentre)
    : ownName(std::move(ownName))
    , dataCentre(std::move(dataCentre))
{
}

void RelayPeers::setInstances(const std::vector<InstanceInfo> &instances)
{
    std::map<std::string, Peer> current;
    for (const InstanceInfo &instance : instances) {
        if (instance.role == Wire::InstanceRole::GATEWAY && instance.ready && instance.name != this->ownName) {
            Peer peer;
            if (const auto known = this->peers.find(instance.name); known != this->peers.end()) {
                peer = known->second;
            }
            peer.info = instance;
            current.emplace(instance.name, std::move(peer));
        }
    }
    this->peers = std::move(current);
}

const InstanceInfo *RelayPeers::choose(Instant now, const std::set<std::string> &tried) const
{
    const Peer *best = nullptr;
    const auto isAvoided = [&](const std::string &peerDataCentre) {
        const auto found = this->dataCentreBackoff.find(peerDataCentre);
        return found != this->dataCentreBackoff.end() && found->second > now;
    };
    const auto rank = [&](const Peer &peer) {
        // The hash spreads the gateways that ask over those that are asked.
        return std::tuple(peer.backoffUntil > now, peer.info.isCutOff, isAvoided(peer.info.dataCentre),
            peer.connections / ConnectionsPerStep, peer.info.dataCentre != this->dataCentre,
            hash64(peer.info.name, hash64(this->ownName)));
    };
    for (const auto &[name, peer] : this->peers) {
        if (!tried.contains(name) && (best == nullptr || rank(peer) < rank(*best))) {
            best = &peer;
        }
    }
    return best == nullptr ? nullptr : &best->info;
}

bool RelayPeers::isUsable(const std::string &name) const
{
    const auto found = this->peers.find(name);
    return found != this->peers.end() && !found->second.info.isCutOff;
}

void RelayPeers::recordOpened(const std::string &name)
{
    if (const auto found = this->peers.find(name); found != this->peers.end()) {
        ++found->second.connections;
    }
}

void RelayPeers::recordClosed(const std::string &name)
{
    if (const auto found = this->peers.find(name); found != this->peers.end()) {
        found->second.connections -= std::min<std::size_t>(found->second.connections, 1);
    }
}

void RelayPeers::recordSuccess(const std::string &name)
{
    if (const auto found = this->peers.find(name); found != this->peers.end()) {
        found->second.failures = 0;
        found->second.backoffUntil = Instant(0);
    }
}

void RelayPeers::recordRefusal(Instant now, const std::string &name)
{
    if (const auto found = this->peers.find(name); found != this->peers.end()) {
        found->second.backoffUntil = std::max(found->second.backoffUntil, now + RefusalBackoff);
    }
}

void RelayPeers::recordUnreachable(Instant now, const std::string &name)
{
    this->recordRefusal(now, name);
    if (const auto found = this->peers.find(name); found != this->peers.end()) {
        this->dataCentreBackoff[found->second.info.dataCentre] = now + DataCentreBackoff;
    }
}

void RelayPeers::recordFailure(Instant now, const std::string &name)
{
    if (const auto found = this->peers.find(name); found != this->peers.end()) {
        Peer &peer = found->second;
        peer.backoffUntil = now + InitialBackoff * (1U << std::min(peer.failures, MaxBackoffDoublings));
        ++peer.failures;
    }
}

} // namespace Chestnuthook
