/** @file instance_board_base.cpp  Reports of daemons, and their silence. */
#include "deployment/instance_board_base.h"

#include <algorithm>
#include <optional>

namespace Chestnuthook
{

std::vector<InstanceFacts> gatewaysFor(std::vector<InstanceFacts> instances, const std::string &dataCentre)
{
    std::erase_if(instances, [](const InstanceFacts &one) {
        return one.role != Wire::InstanceRole::GATEWAY || !one.ready;
    });
    std::stable_partition(instances.begin(), instances.end(), [&dataCentre](const InstanceFacts &one) {
        return one.dataCentre == dataCentre;
    });
    instances.resize(std::min(instances.size(), MostGateways));
    return instances;
}

Duration gatewayListLife(Duration stopGrace)
{
    constexpr Duration Most = std::chrono::seconds(2); // A new gateway should not wait longer for its callers.
    constexpr int StopParts = 4; // ListLifeOverrun of them for callers, one to finish in.
    return std::min(Most, Duration(stopGrace / StopParts));
}

bool InstanceBoard::note(Instant now, const InstanceFacts &facts, std::uint64_t copiedView)
{
    Known &entry = this->known[facts.name];
    const bool changed = !entry.alive || entry.facts != facts;
    entry = Known{facts, now, copiedView, true};
    return changed;
}

void InstanceBoard::adopt(Instant now, const std::vector<InstanceFacts> &facts)
{
    for (const InstanceFacts &one : facts) {
        this->known.try_emplace(one.name, Known{one, now, 0, true});
    }
}

bool InstanceBoard::expire(Instant now)
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

std::vector<InstanceFacts> InstanceBoard::alive() const
{
    std::vector<InstanceFacts> list;
    for (const auto &[name, entry] : this->known) {
        if (entry.alive) {
            list.push_back(entry.facts);
        }
    }
    return list;
}

std::pair<std::size_t, std::size_t> InstanceBoard::gatewaysAndSilent() const
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

std::vector<HistoryCandidate> InstanceBoard::historyCandidates(
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

std::optional<Instant> InstanceBoard::heardControl(const std::string &identity) const
{
    for (const auto &[name, entry] : this->known) {
        if (entry.facts.role == Wire::InstanceRole::CONTROL && entry.facts.identity == identity) {
            return entry.heard;
        }
    }
    return std::nullopt;
}

} // namespace Chestnuthook
