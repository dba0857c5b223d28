/** @file deployment_member_in_force.cpp  Waits until a change that was committed is in force at the gateways. */
#include <string>
#include <vector>

#include "deployment/deployment_member_base.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxLoggedNames = 8; ///< Names of gateways in one field of a log line.

std::string formatNames(const std::vector<std::string> &names)
{
    std::string text;
    for (std::size_t i = 0; i < names.size() && i < MaxLoggedNames; ++i) {
        text += (i == 0 ? "" : ",") + names[i];
    }
    return names.size() > MaxLoggedNames ? text + ",..." : text;
}

} // namespace

kj::Promise<void> DeploymentMember::awaitInForce(std::uint64_t version)
{
    const Instant start = this->loop.timers().now();
    if (this->registry.isInForce(version)) {
        this->logAcknowledged(version, Duration(0));
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->pendingChanges.push_back({version, kj::mv(pair.fulfiller), 0});
    return pair.promise.exclusiveJoin(this->loop.kjTimer().afterDelay(MaxInForceWait)).then([this, version, start]() {
        this->logAcknowledged(version, this->loop.timers().now() - start);
    });
}

void DeploymentMember::logAcknowledged(std::uint64_t version, Duration waited) const
{
    const InstanceRegistry::ConfigurationReach reach = this->registry.configurationReach(version);
    logEvent(EventKind::ConfigurationAcknowledged,
        {{"version", std::to_string(version)}, {"term", std::to_string(this->leaderTerm)},
            {"waited_ms", std::to_string(waited.count() / 1000)}, {"gateways", std::to_string(reach.alive)},
            {"behind", std::to_string(reach.behind.size())}, {"behind_names", formatNames(reach.behind)},
            {"silent", std::to_string(reach.silent.size())}, {"silent_names", formatNames(reach.silent)}});
}

void DeploymentMember::notifyInForce()
{
    std::erase_if(this->pendingChanges, [this](PendingChange &change) {
        const bool isDone = !change.fulfiller->isWaiting()
            || (this->registry.isInForce(change.version) && this->registry.isEndpointListHeld(change.endpoints));
        if (isDone) {
            change.fulfiller->fulfill();
        }
        return isDone;
    });
}

} // namespace Chestnuthook
