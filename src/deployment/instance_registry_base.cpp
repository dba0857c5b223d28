/** @file instance_registry_base.cpp  Records reports of daemons and expires silent ones. */
#include "deployment/instance_registry_base.h"

#include <algorithm>
#include <optional>

namespace Chestnuthook
{

std::vector<InstanceInfo> selectGateways(std::vector<InstanceInfo> instances, const std::string &dataCentre)
{
    std::erase_if(instances, [](const InstanceInfo &instance) {
        return instance.role != Wire::InstanceRole::GATEWAY || !instance.ready;
    });
    const auto isCutOff = [](const InstanceInfo &instance) {
        return instance.isCutOff;
    };
    const auto cutOff = static_cast<std::size_t>(std::ranges::count_if(instances, isCutOff));
    if (2 * cutOff <= instances.size()) {
        std::erase_if(instances, isCutOff);
    }
    std::stable_partition(instances.begin(), instances.end(), [&dataCentre](const InstanceInfo &instance) {
        return instance.dataCentre == dataCentre;
    });
    instances.resize(std::min(instances.size(), MaxListedGateways));
    return instances;
}

Duration gatewayListTtl(Duration stopGrace)
{
    constexpr Duration MaxTtl = std::chrono::seconds(2); // A new gateway should not wait longer for its first clients.
    constexpr int StopGraceParts = 4; // MaxTtlOverrunFactor parts for clients to ask again, one to finish.
    return std::min(MaxTtl, Duration(stopGrace / StopGraceParts));
}

Duration gatewayWatchWait(std::size_t gateways)
{
    constexpr Duration WaitPerGateway = std::chrono::milliseconds(4);
    return std::clamp<Duration>(WaitPerGateway * gateways, MinWatchWait, MaxWatchWait);
}

bool InstanceRegistry::recordReport(Instant now, const InstanceInfo &info, std::uint64_t copiedView,
    std::uint64_t configuration, Duration extraSilence, std::uint64_t endpoints)
{
    Entry &entry = this->entries[info.name];
    const bool changed = !entry.alive || entry.info != info;
    const std::uint64_t changedIn = changed ? ++this->listVersion : entry.changedIn;
    entry = Entry{info, now, copiedView, configuration, true, false, extraSilence, changedIn, endpoints};
    return changed;
}

std::optional<InstanceRegistry::Changes> InstanceRegistry::changesSince(std::uint64_t version) const
{
    if (version < this->forgottenIn) {
        return std::nullopt;
    }
    Changes changes;
    for (const auto &[name, entry] : this->entries) {
        if (entry.changedIn <= version) {
            continue;
        }
        if (entry.alive) {
            changes.alive.push_back(entry.info);
        } else {
            changes.gone.push_back(name);
        }
    }
    return changes;
}

std::size_t InstanceRegistry::gatewayCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->entries, [](const auto &row) {
        return row.second.alive && row.second.info.role == Wire::InstanceRole::GATEWAY;
    }));
}

bool InstanceRegistry::isInForce(std::uint64_t version) const
{
    return std::ranges::none_of(this->entries, [version](const auto &row) {
        const Entry &entry = row.second;
        return entry.info.role == Wire::InstanceRole::GATEWAY && entry.alive && entry.configuration < version;
    });
}

InstanceRegistry::ConfigurationReach InstanceRegistry::configurationReach(std::uint64_t version) const
{
    ConfigurationReach reach;
    for (const auto &[name, entry] : this->entries) {
        if (entry.info.role != Wire::InstanceRole::GATEWAY) {
            continue;
        }
        if (!entry.alive) {
            reach.silent.push_back(name);
            continue;
        }
        ++reach.alive;
        if (entry.configuration < version) {
            reach.behind.push_back(name);
        }
    }
    return reach;
}

bool InstanceRegistry::isEndpointListHeld(std::uint64_t version) const
{
    return std::ranges::none_of(this->entries, [version](const auto &row) {
        const Entry &entry = row.second;
        return entry.info.role == Wire::InstanceRole::GATEWAY && entry.alive && entry.endpoints < version;
    });
}

bool InstanceRegistry::hasDataCentre(const std::string &dataCentre) const
{
    return std::ranges::any_of(this->entries, [&dataCentre](const auto &row) {
        return row.second.info.dataCentre == dataCentre;
    });
}

void InstanceRegistry::adopt(Instant now, const std::vector<InstanceInfo> &instances, Duration extraSilence)
{
    ++this->listVersion;
    for (const InstanceInfo &instance : instances) {
        this->entries.try_emplace(
            instance.name, Entry{instance, now, 0, 0, true, true, extraSilence, this->listVersion, 0});
    }
}

bool InstanceRegistry::expire(Instant now)
{
    const std::uint64_t next = this->listVersion + 1;
    for (auto &[name, entry] : this->entries) {
        if (entry.alive && now - entry.lastReport > SilenceTimeout + entry.extraSilence) {
            entry.alive = false;
            entry.changedIn = next;
            this->listVersion = next;
        }
    }
    const std::size_t forgotten = std::erase_if(this->entries, [now](const auto &row) {
        return now - row.second.lastReport > ForgetTimeout;
    });
    if (forgotten != 0) {
        this->forgottenIn = this->listVersion;
    }
    return this->listVersion == next;
}

std::vector<InstanceInfo> InstanceRegistry::alive() const
{
    std::vector<InstanceInfo> list;
    for (const auto &[name, entry] : this->entries) {
        if (entry.alive) {
            list.push_back(entry.info);
        }
    }
    return list;
}

InstanceRegistry::GatewayNames InstanceRegistry::gatewayNames() const
{
    GatewayNames names;
    for (const auto &[name, entry] : this->entries) {
        if (entry.info.role == Wire::InstanceRole::GATEWAY) {
            names.known.push_back(name);
            if (!entry.alive || entry.isAdopted) {
                names.silent.insert(name);
            }
        }
    }
    return names;
}

std::vector<HistoryCandidate> InstanceRegistry::historyCandidates(
    Instant now, const HistoryView &view, const std::set<std::string> &retiring, Instant leaderSince) const
{
    std::vector<HistoryCandidate> list;
    for (const auto &[name, entry] : this->entries) {
        if (entry.info.role != Wire::InstanceRole::HISTORY || entry.info.identity.empty()) {
            continue; // Without an identity it would look like a member that lost its data folder.
        }
        HistoryCandidate candidate;
        candidate.member = {entry.info.identity, name, entry.info.rpcAddress};
        candidate.dataCentre = entry.info.dataCentre;
        candidate.alive = entry.alive;
        candidate.lost = now - entry.lastReport > LostTimeout;
        candidate.retiring = retiring.contains(name);
        candidate.copiedView = entry.copiedView;
        list.push_back(std::move(candidate));
    }
    for (const HistoryMember &member : view.members()) {
        const bool isKnown = std::any_of(list.begin(), list.end(), [&member](const HistoryCandidate &candidate) {
            return candidate.member.identity == member.identity;
        });
        if (!isKnown) {
            HistoryCandidate candidate;
            candidate.member = member;
            candidate.lost = now - leaderSince > LostTimeout;
            candidate.retiring = retiring.contains(member.name);
            list.push_back(std::move(candidate));
        }
    }
    return list;
}

std::optional<InstanceRegistry::ControlReport> InstanceRegistry::controlReport(const std::string &identity) const
{
    for (const auto &[name, entry] : this->entries) {
        if (entry.info.role == Wire::InstanceRole::CONTROL && entry.info.identity == identity) {
            return ControlReport{entry.lastReport, entry.alive && !entry.isAdopted};
        }
    }
    return std::nullopt;
}

std::vector<InstanceInfo> InstanceRegistry::aliveControlInstances() const
{
    std::vector<InstanceInfo> list;
    for (const auto &[name, entry] : this->entries) {
        const bool isControl = entry.info.role == Wire::InstanceRole::CONTROL && !entry.info.identity.empty();
        if (isControl && entry.alive && !entry.isAdopted) {
            list.push_back(entry.info);
        }
    }
    return list;
}

} // namespace Chestnuthook
