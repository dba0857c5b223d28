/** @file configuration_source_choice_base.cpp  Order and pace in which control members are asked for a configuration.
 */
#include "deployment/configuration_source_choice_base.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Chestnuthook
{

std::optional<std::string> ConfigurationSourceChoice::choose(Instant now, const std::vector<std::string> &sources)
{
    if (now < this->mayAskAt) {
        return std::nullopt;
    }
    for (auto &[address, member] : this->members) {
        if (member.isAsked && now - member.askedAt >= SilenceLimit) {
            member.avoidUntil = now + AvoidTime;
        }
    }
    this->mayAskAt = now + SilenceLimit;
    std::vector<std::string> free;
    std::ranges::copy_if(sources, std::back_inserter(free), [this](const std::string &address) {
        return !this->members[address].isAsked;
    });
    if (free.empty()) {
        return std::nullopt;
    }
    const auto chosen = std::ranges::min_element(free, {}, [this, now](const std::string &address) {
        const Member &member = this->members[address];
        return std::pair(member.avoidUntil > now, member.asks);
    });
    Member &member = this->members[*chosen];
    member.isAsked = true;
    member.askedAt = now;
    ++member.asks;
    this->latest = *chosen;
    return *chosen;
}

void ConfigurationSourceChoice::beginSearch()
{
    for (auto &[address, member] : this->members) {
        member.asks = 0;
    }
}

std::string ConfigurationSourceChoice::describeAsks() const
{
    std::string text;
    for (const auto &[address, member] : this->members) {
        if (member.asks != 0) {
            text += (text.empty() ? "" : ", ") + address + " " + std::to_string(member.asks);
        }
    }
    return text;
}

void ConfigurationSourceChoice::recordAnswer(Instant now, const std::string &address)
{
    this->endCall(address, now + RetryDelay).avoidUntil = Instant(0);
}

void ConfigurationSourceChoice::recordFailure(Instant now, const std::string &address)
{
    this->endCall(address, now + RetryDelay).avoidUntil = now + AvoidTime;
}

void ConfigurationSourceChoice::recordUnusable(Instant now, const std::string &address)
{
    this->endCall(address, now + UnusableDelay).avoidUntil = now + AvoidTime;
}

ConfigurationSourceChoice::Member &ConfigurationSourceChoice::endCall(const std::string &address, Instant next)
{
    Member &member = this->members[address];
    member.isAsked = false;
    if (address == this->latest) {
        this->mayAskAt = next;
    }
    return member;
}

} // namespace Chestnuthook
