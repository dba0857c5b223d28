/** @file leader_load_base.cpp  Counts of a leader's work. */
#include "deployment/leader_load_base.h"

#include <algorithm>
#include <string>

namespace Chestnuthook
{

namespace
{

std::string msText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void LeaderLoad::recordWatch(bool hasInstances, bool hasEndpoints)
{
    ++this->watches;
    this->instanceLists += hasInstances ? 1 : 0;
    this->endpointLists += hasEndpoints ? 1 : 0;
}

void LeaderLoad::recordCredit(Duration waited)
{
    ++this->credits;
    this->creditWait += waited;
    this->longestCreditWait = std::max(this->longestCreditWait, waited);
}

void LeaderLoad::recordRenewal(Duration duration)
{
    ++this->renewals;
    this->longestRenewal = std::max(this->longestRenewal, duration);
}

void LeaderLoad::recordDelay(Duration delay)
{
    this->longestDelay = std::max(this->longestDelay, delay);
}

std::vector<Field> LeaderLoad::takeFields(Duration cpuTime)
{
    const Duration meanWait = this->creditWait / static_cast<std::int64_t>(std::max<std::uint64_t>(this->credits, 1));
    std::vector<Field> fields = {{"watches", std::to_string(this->watches)}, {"credits", std::to_string(this->credits)},
        {"credit_wait_us", std::to_string(meanWait.count())}, {"credit_wait_max_ms", msText(this->longestCreditWait)},
        {"renewals", std::to_string(this->renewals)}, {"renewal_max_ms", msText(this->longestRenewal)},
        {"instance_lists", std::to_string(this->instanceLists)},
        {"endpoint_lists", std::to_string(this->endpointLists)},
        {"configurations", std::to_string(this->configurations)}, {"delay_max_ms", msText(this->longestDelay)},
        {"cpu_ms", msText(cpuTime - this->cpuTimeBefore)}};
    *this = LeaderLoad();
    this->cpuTimeBefore = cpuTime;
    return fields;
}

} // namespace Chestnuthook
