/** @file configuration_fetcher_base.cpp  Asks control members for the newest configuration. */
#include "deployment/configuration_fetcher_base.h"

#include <algorithm>
#include <utility>

#include "core/compression_func.h"
#include "core/hash_func.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

/** Logs that @p address didn't deliver a configuration that could be taken. */
void logLost(const std::string &address, const std::string &error)
{
    logEvent(EventKind::FreshnessLost, {{"what", "configuration"}, {"peer", address}, {"error", error}});
}

} // namespace

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
    if (!this->isSearching && !this->isComplete()) {
        this->isSearching = true;
        this->searchStart = this->loop.timers().now();
        this->reportLateAt = this->searchStart + LateReportInterval;
        this->choice.beginSearch();
        this->loop.detach(this->search());
    }
}

void ConfigurationFetcher::poll()
{
    if (!this->isSearching) {
        this->askNext(this->inForce + 1);
    }
}

kj::Promise<void> ConfigurationFetcher::search()
{
    if (this->isComplete()) {
        this->isSearching = false;
        return kj::READY_NOW;
    }
    this->reportIfLate();
    this->askNext(this->wanted);
    auto ended = kj::newPromiseAndFulfiller<void>();
    this->callEnded = kj::mv(ended.fulfiller);
    const Duration untilNext = std::max(this->choice.nextAskAt() - this->loop.timers().now(), Duration(0));
    const Duration pause = this->taking != 0 ? LateReportInterval : untilNext;
    return this->loop.kjTimer().afterDelay(kjDuration(pause)).exclusiveJoin(kj::mv(ended.promise)).then([this]() {
        return this->search();
    });
}

void ConfigurationFetcher::reportIfLate()
{
    const Instant now = this->loop.timers().now();
    if (now < this->reportLateAt) {
        return;
    }
    this->reportLateAt = now + LateReportInterval;
    logEvent(EventKind::FreshnessLost,
        {{"what", "configuration"}, {"version", std::to_string(this->wanted)},
            {"in_force", std::to_string(this->inForce)}, {"search_ms", this->searchMs()},
            {"asked", this->choice.describeAsks()}});
}

std::string ConfigurationFetcher::searchMs() const
{
    return std::to_string((this->loop.timers().now() - this->searchStart).count() / 1000);
}

void ConfigurationFetcher::askNext(std::uint64_t version)
{
    if (this->taking != 0) {
        return;
    }
    if (auto address = this->choice.choose(this->loop.timers().now(), this->sources())) {
        this->loop.detach(this->ask(std::move(*address), version));
    }
}

kj::Promise<void> ConfigurationFetcher::ask(std::string address, std::uint64_t version)
{
    using Answer = capnp::Response<Wire::Deployment::ConfigurationResults>;
    auto answered = kj::evalNow([&]() -> kj::Promise<Answer> {
        return this->links.services(address).then([version](OfferedServices &&services) {
            auto request = services.deployment.castAs<Wire::Deployment>().configurationRequest();
            request.setAtLeast(version);
            return request.send();
        });
    });
    return this->loop.kjTimer()
        .timeoutAfter(AnswerTimeout, kj::mv(answered))
        .then(
            [this, address](Answer &&response) {
                this->links.recordAnswer(address);
                return this->take(address, response.getVersion(), response.getCompressed());
            },
            [this, address](kj::Exception &&exception) -> kj::Promise<void> {
                this->links.recordFailure(address, exception, SilenceTimeout);
                this->choice.recordFailure(this->loop.timers().now(), address);
                logLost(address, exception.getDescription().cStr());
                return kj::READY_NOW;
            })
        .catch_([this, address](kj::Exception &&exception) {
            this->choice.recordUnusable(this->loop.timers().now(), address);
            logLost(address, exception.getDescription().cStr());
        })
        .then([this]() {
            if (this->callEnded.get() != nullptr) {
                this->callEnded->fulfill();
            }
        });
}

kj::Promise<void> ConfigurationFetcher::take(std::string address, std::uint64_t version, capnp::Data::Reader compressed)
{
    if (version <= std::max(this->inForce, this->taking)) {
        this->choice.recordAnswer(this->loop.timers().now(), address); // The member doesn't have a newer one yet.
        return kj::READY_NOW;
    }
    Result<std::string> document = decompress(bytesOf(compressed));
    if (!document) {
        logLost(address, errorText(document.error()));
        this->choice.recordUnusable(this->loop.timers().now(), address);
        return kj::READY_NOW;
    }
    logEvent(EventKind::ConfigurationFetched,
        {{"version", std::to_string(version)}, {"peer", address}, {"bytes", std::to_string(compressed.size())},
            {"search_ms", this->isSearching ? this->searchMs() : "none"}, {"asked", this->choice.describeAsks()}});
    this->taking = version;
    auto taken = kj::evalNow([&]() {
        return this->onFetched(version, std::move(*document));
    });
    return taken.then(
        [this, address, version](bool isInForce) {
            this->taking = 0;
            if (isInForce) {
                this->inForce = std::max(this->inForce, version);
                this->choice.recordAnswer(this->loop.timers().now(), address);
            } else {
                this->choice.recordUnusable(this->loop.timers().now(), address);
            }
        },
        [this, address](kj::Exception &&exception) {
            this->taking = 0;
            this->choice.recordUnusable(this->loop.timers().now(), address);
            logLost(address, exception.getDescription().cStr());
        });
}

} // namespace Chestnuthook
