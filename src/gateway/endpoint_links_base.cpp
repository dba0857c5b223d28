/** @file endpoint_links_base.cpp  State of the links to endpoints. */
#include "gateway/endpoint_links_base.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Chestnuthook
{

void EndpointLinks::setEndpoints(const std::vector<DeployedEndpoint> &list)
{
    std::set<std::string> listed;
    for (const DeployedEndpoint &endpoint : list) {
        listed.insert(endpoint.address);
        this->links[endpoint.address].service = endpoint.service;
    }
    std::erase_if(this->links, [&listed](const auto &entry) {
        return !listed.contains(entry.first);
    });
}

bool EndpointLinks::isInDoubt(const Link &link) const
{
    return this->doubtSince && link.confirmed < *this->doubtSince;
}

void EndpointLinks::recordConnected(Instant now, const std::string &address)
{
    const auto found = this->links.find(address);
    if (found == this->links.end()) {
        return;
    }
    Link &link = found->second;
    link.confirmed = now;
    link.relayBackoffUntil = Instant(0);
    if (link.silentSince) {
        link.silentSince = now;
    }
    if (std::exchange(link.isDown, false)) {
        for (auto &[other, otherLink] : this->links) {
            otherLink.probed = otherLink.isDown ? Instant(0) : otherLink.probed; // The others may be up again, too.
        }
    }
    if (this->downCount() == 0) {
        this->doubtSince.reset();
    }
}

bool EndpointLinks::recordDown(Instant now, const std::string &address, bool hangs)
{
    const auto found = this->links.find(address);
    if (found == this->links.end()) {
        return false;
    }
    Link &link = found->second;
    link.relayBackoffUntil = Instant(0);
    link.hangs = hangs;
    if (std::exchange(link.isDown, true)) {
        return false;
    }
    link.wentDown = now;
    link.probed = now;
    const auto recent = std::ranges::count_if(this->links, [now](const auto &entry) {
        return entry.second.isDown && entry.second.hangs && now - entry.second.wentDown < DoubtPeriod;
    });
    if (static_cast<std::size_t>(recent) >= MinDownForDoubt) {
        this->doubtSince = now;
    }
    return true;
}

void EndpointLinks::recordUnreachable(Instant now, const std::string &address)
{
    if (const auto found = this->links.find(address); found != this->links.end()) {
        found->second.relayBackoffUntil = now + RelayBackoff;
        found->second.failed = now;
    }
}

void EndpointLinks::recordSent(Instant now, const std::string &address)
{
    if (const auto found = this->links.find(address); found != this->links.end()) {
        Link &link = found->second;
        ++link.inFlight;
        link.silentSince = link.silentSince.value_or(now);
    }
}

void EndpointLinks::recordReceived(Instant now, const std::string &address)
{
    this->lastReceived = now;
    if (const auto found = this->links.find(address); found != this->links.end()) {
        Link &link = found->second;
        link.confirmed = now;
        if (link.silentSince) {
            link.silentSince = now;
        }
    }
}

void EndpointLinks::recordEnded(const std::string &address)
{
    if (const auto found = this->links.find(address); found != this->links.end()) {
        Link &link = found->second;
        link.inFlight -= std::min(link.inFlight, 1U);
        if (link.inFlight == 0) {
            link.silentSince.reset();
        }
    }
}

ConnectPlan EndpointLinks::plan(const std::string &address) const
{
    const auto found = this->links.find(address);
    if (found == this->links.end()) {
        return ConnectPlan::Direct;
    }
    if (found->second.isDown) {
        return ConnectPlan::Relayed;
    }
    return this->isInDoubt(found->second) ? ConnectPlan::Both : ConnectPlan::Direct;
}

bool EndpointLinks::mayReuse(const std::string &address) const
{
    const auto found = this->links.find(address);
    return found == this->links.end() || !(found->second.isDown ? found->second.hangs : this->isInDoubt(found->second));
}

bool EndpointLinks::mayRelay(Instant now, const std::string &address) const
{
    const auto found = this->links.find(address);
    return found != this->links.end() && now >= found->second.relayBackoffUntil;
}

std::size_t EndpointLinks::downCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->links, [](const auto &entry) {
        return entry.second.isDown;
    }));
}

bool EndpointLinks::isCutOff() const
{
    struct Count
    {
        std::size_t all = 0;
        std::size_t down = 0;
    };
    std::map<std::string, Count> counts; // By service.
    for (const auto &[address, link] : this->links) {
        Count &count = counts[link.service];
        ++count.all;
        count.down += link.isDown ? 1 : 0;
    }
    return std::ranges::any_of(counts, [](const auto &entry) {
        return 2 * entry.second.down > entry.second.all;
    });
}

std::vector<std::string> EndpointLinks::latestConfirmed(const std::string &address, std::size_t count) const
{
    std::vector<std::string> addresses;
    for (const auto &[other, link] : this->links) {
        if (other != address) {
            addresses.push_back(other);
        }
    }
    std::ranges::stable_sort(addresses, {}, [this](const std::string &other) {
        const Link &link = this->links.at(other);
        return std::pair(link.failed > link.confirmed, -link.confirmed.us);
    });
    addresses.resize(std::min(addresses.size(), count));
    return addresses;
}

bool EndpointLinks::isProbeDue(Instant now, const Link &link) const
{
    if (link.isDown) {
        return now - link.probed >= DownProbeInterval;
    }
    if (now - link.probed < SilenceProbeInterval) {
        return false;
    }
    if (this->isInDoubt(link)) {
        return true;
    }
    const bool allSilent = now - this->lastReceived >= CommonSilenceLimit;
    return link.silentSince && now - *link.silentSince >= (allSilent ? CommonSilenceLimit : SilenceLimit);
}

std::vector<std::string> EndpointLinks::takeDueProbes(Instant now)
{
    std::vector<std::string> due;
    if (this->links.empty()) {
        return due;
    }
    const std::size_t count = this->links.size();
    const std::size_t start = this->nextProbe % count;
    auto entry = std::next(this->links.begin(), static_cast<std::ptrdiff_t>(start));
    for (std::size_t i = 0; i < count && due.size() < MaxProbesAtOnce; ++i) {
        if (this->isProbeDue(now, entry->second)) {
            entry->second.probed = now;
            due.push_back(entry->first);
            this->nextProbe = start + i + 1;
        }
        if (++entry == this->links.end()) {
            entry = this->links.begin();
        }
    }
    return due;
}

} // namespace Chestnuthook
