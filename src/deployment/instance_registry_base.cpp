/** @file instance_registry_base.cpp  Reports of daemons, and their silence. */
#include "deployment/instance_registry_base.h"

#include <algorithm>
#include <optional>

namespace Chestnuthook
{

std::vector<InstanceInfo> selectGateways(std::vector<InstanceInfo> instances, const std::string &dataCentre)
{
    std::erase_if(instances, [](const InstanceInfo &one) {
        return one.role != Wire::InstanceRole::GATEWAY || !one.ready;
    });
    std::stable_partition(instances.begin(), instances.end(), [&dataCentre](const InstanceInfo &one) {
        return one.dataCentre == dataCentre;
    });
    instances.resize(std::min(instances.size(), MostGateways));
    return instances;
}

Duration gatewayListTtl(Duration stopGrace)
{
    constexpr Duration Most = std::chrono::seconds(2); // A new gateway should not wait longer for its callers.
    constexpr int StopParts = 4; // MaxTtlOverrunFactor of them for callers, one to finish in.
    return std::min(Most, Duration(stopGrace / StopParts));
}

bool InstanceRegistry::note(Instant now, const InstanceInfo &facts, std::uint64_t copiedView)
{
    Known &entry = this->known[facts.name];
    const bool changed = !entry.alive || entry.facts != facts;
    entry = Known{facts, now, copiedView, true};
    return changed;
}

void InstanceRegistry::adopt(Instant now, const std::vector<InstanceInfo> &facts)
{
    for (const InstanceInfo &one : facts) {
        this->known.try_emplace(one.name, Known{one, now, 0, true});
    }
}

bool InstanceRegistry::expire(Instant now)
{
    bool changed = false;
    for (auto &[name, entry] : this->known) {
        if (entry.alive && now - entry.heard > SilentAfter) {
            entry.alive = false;
            changed = true;
        }
    }
    std::erase_if(this->known, [now](const auto &row) {
        return now - row.second.heard > ForgetAfter;
    });
    return changed;
}

std::vector<InstanceInfo> InstanceRegistry::alive() const
{
    std::vector<InstanceInfo> list;
    for (const auto &[name, entry] : this->known) {
        if (entry.alive) {
            list.push_back(entry.facts);
        }
    }
    return list;
}

std::pair<std::size_t, std::size_t> InstanceRegistry::gatewaysAndSilent() const
{
    std::size_t all = 0;
    std::size_t silent = 0;
    for (const auto &[name, entry] : this->known) {
        if (entry.facts.role == Wire::InstanceRole::GATEWAY) {
            ++all;
            silent += entry.alive ? 0 : 1;
        }
    }
    return {all, silent};
}

std::vector<HistoryCandidate> InstanceRegistry::historyCandidates(
    Instant now, const HistoryView &view, const std::set<std::string> &retiring, Instant leadingSince) const
{
    std::vector<HistoryCandidate> list;
    for (const auto &[name, entry] : this->known) {
        if (entry.facts.role != Wire::InstanceRole::HISTORY || entry.facts.identity.empty()) {
            continue; // Without an identity it can't be told from a member whose folder is lost.
        }
        HistoryCandidate one;
        one.member = {entry.facts.identity, name, entry.facts.rpcAddress};
        one.dataCentre = entry.facts.dataCentre;
        one.alive = entry.alive;
        one.lost = now - entry.heard > LostAfter;
        one.retiring = retiring.contains(name);
        one.copiedView = entry.copiedView;
        list.push_back(std::move(one));
    }
    for (const HistoryMember &member : view.members()) {
        const bool isKnown = std::any_of(list.begin(), list.end(), [&member](const HistoryCandidate &one) {
            return one.member.identity == member.identity;
        });
        if (!isKnown) {
            HistoryCandidate one;
            one.member = member;
            one.lost = now - leadingSince > LostAfter;
            one.retiring = retiring.contains(member.name);
            list.push_back(std::move(one));
        }
    }
    return list;
}

std::optional<Instant> InstanceRegistry::heardControl(const std::string &identity) const
{
    for (const auto &[name, entry] : this->known) {
        if (entry.facts.role == Wire::InstanceRole::CONTROL && entry.facts.identity == identity) {
            return entry.heard;
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook
