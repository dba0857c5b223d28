/** @file configuration_fetcher_base.cpp  Asks control members for the newest configuration. */
#include "deployment/configuration_fetcher_base.h"

#include <algorithm>
#include <utility>

#include "core/hash_func.h"
#include "deployment/document_compression_func.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

std::vector<std::string> configurationSources(
    const std::vector<InstanceInfo> &instances, const std::string &leader, const std::string &instance)
{
    std::vector<std::string> addresses;
    for (const InstanceInfo &other : instances) {
        if (other.role == Wire::InstanceRole::CONTROL && other.rpcAddress != leader) {
            addresses.push_back(other.rpcAddress);
        }
    }
    const std::uint64_t seed = hash64(instance);
    std::sort(addresses.begin(), addresses.end(), [seed](const std::string &a, const std::string &b) {
        return hash64(a, seed) < hash64(b, seed);
    });
    if (!leader.empty()) {
        addresses.push_back(leader);
    }
    return addresses;
}

void ConfigurationFetcher::fetch(std::uint64_t version)
{
    this->wanted = std::max(this->wanted, version);
    if (!this->isFetching && this->wanted > this->fetched) {
        this->isFetching = true;
        this->nextSource = 0;
        this->loop.detach(this->fetchLoop());
    }
}

void ConfigurationFetcher::poll()
{
    if (!this->isFetching) {
        this->isFetching = true;
        this->loop.detach(this->askNext(this->fetched + 1)
                              .catch_([](kj::Exception && /*exception*/) {
                                  // Another member is asked next time.
                              })
                              .then([this]() {
                                  this->isFetching = false;
                                  this->fetch(this->wanted);
                              }));
    }
}

kj::Promise<void> ConfigurationFetcher::fetchLoop()
{
    return this->askNext(this->wanted)
        .catch_([](kj::Exception &&exception) {
            logEvent(
                EventKind::FreshnessLost, {{"what", "configuration"}, {"error", exception.getDescription().cStr()}});
        })
        .then([this]() -> kj::Promise<void> {
            if (this->fetched >= this->wanted) {
                this->isFetching = false;
                return kj::READY_NOW;
            }
            return this->loop.kjTimer().afterDelay(RetryDelay).then([this]() {
                return this->fetchLoop();
            });
        });
}

kj::Promise<void> ConfigurationFetcher::askNext(std::uint64_t version)
{
    const std::vector<std::string> addresses = this->sources();
    if (addresses.empty()) {
        return kj::READY_NOW;
    }
    const std::string &address = addresses[this->nextSource++ % addresses.size()];
    auto answered = this->links.services(address).then([version](OfferedServices &&services) {
        auto request = services.deployment.castAs<Wire::Deployment>().configurationRequest();
        request.setAtLeast(version);
        return request.send();
    });
    return this->loop.kjTimer()
        .timeoutAfter(AnswerTimeout, kj::mv(answered))
        .then(
            [this, address](auto &&response) {
                this->links.recordAnswer(address);
                if (response.getVersion() <= this->fetched) {
                    return; // The member doesn't have the version yet.
                }
                Result<std::string> document = decompressDocument(bytesOf(response.getCompressed()));
                if (!document) {
                    logEvent(
                        EventKind::FreshnessLost, {{"what", "configuration"}, {"error", errorText(document.error())}});
                    return;
                }
                this->fetched = response.getVersion();
                this->nextSource = 0;
                this->onFetched(this->fetched, std::move(*document));
            },
            [this, address](kj::Exception &&exception) {
                this->links.recordFailure(address, exception, SilenceTimeout);
                kj::throwRecoverableException(kj::mv(exception));
            });
}

} // namespace Chestnuthook
