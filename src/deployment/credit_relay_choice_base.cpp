/** @file credit_relay_choice_base.cpp  Order in which control members are asked for credit. */
#include "deployment/credit_relay_choice_base.h"

#include <algorithm>
#include <tuple>

#include "core/hash_func.h"

namespace Chestnuthook
{

std::string CreditRelayChoice::choose(
    Instant now, const Asker &asker, const std::vector<InstanceInfo> &instances, const std::string &leader) const
{
    const unsigned failed = now - this->failedAt < AvoidTime ? this->failures : 0;
    if (failed >= MaxFailures) {
        return {};
    }
    std::vector<const InstanceInfo *> relays;
    for (const InstanceInfo &instance : instances) {
        if (instance.relaysCredit && instance.rpcAddress != leader) {
            relays.push_back(&instance);
        }
    }
    const std::uint64_t seed = hash64(asker.name);
    std::ranges::sort(relays, {}, [&asker, seed](const InstanceInfo *relay) {
        return std::tuple(relay->dataCentre != asker.dataCentre, hash64(relay->name, seed), relay->name);
    });
    return relays.empty() ? std::string() : relays[failed % relays.size()]->rpcAddress;
}

void CreditRelayChoice::recordFailure(Instant now)
{
    this->failures = now - this->failedAt < AvoidTime ? this->failures + 1 : 1;
    this->failedAt = now;
}

} // namespace Chestnuthook
