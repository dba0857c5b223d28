/** @file gateway_configuration.cpp  Takes new configurations, and rejects what the one in force doesn't allow. */
#include <string>
#include <utility>

#include "core/boot_clock_func.h"
#include "gateway/gateway_base.h"
#include "gateway/gateway_call_internal.h"
#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

void Gateway::startReading()
{
    const Instant start = this->now();
    auto reading = this->worker
                       .run([read = this->configurationReader, document = this->watcher.view.document]() {
                           return read(document);
                       })
                       .then([this, start](std::shared_ptr<Result<ConfigurationPtr>> &&read) {
                           this->putInForce(*read, this->now() - start);
                       })
                       .fork();
    this->loop.detach(reading.addBranch());
    this->reading = kj::mv(reading);
}

void Gateway::putInForce(const Result<ConfigurationPtr> &read, Duration readTime)
{
    if (!read) {
        logEvent(EventKind::ChildFailed, {{"child", "configuration"}, {"error", errorText(read.error())}});
        return;
    }
    if ((*read)->version <= this->configurationVersion()) {
        return;
    }
    this->configuration = *read;
    this->dispatcher.setConfiguration(this->configuration);
    this->freshness.recordInForce(this->configuration->version);
    logEvent(EventKind::ConfigurationInForce,
        {{"version", std::to_string(this->configuration->version)},
            {"routes", std::to_string(this->configuration->routes.size())},
            {"parse_ms", std::to_string(readTime.count() / 1000)}});
    this->watcher.reportNow();
}

kj::Promise<void> Gateway::whenConfigurationRead()
{
    KJ_IF_MAYBE (reading, this->reading) {
        return reading->addBranch();
    }
    return kj::READY_NOW;
}

bool Gateway::isConfigurationCurrent() const
{
    return this->watcher.hasLeaderContact() && this->configuration != nullptr
        && this->configuration->version >= this->watcher.view.newestConfiguration;
}

bool Gateway::isConfigurationOutdated() const
{
    const Duration limit = this->settings.configurationLimit;
    return limit.count() != 0 && this->freshness.outdatedFor(bootClockNow()) > limit;
}

void Gateway::rejectDisallowed(kj::WaitScope &scope, Call &call, unsigned status, std::string_view reason)
{
    if (this->isConfigurationCurrent()) {
        this->reject(scope, call, status, reason, 0);
    } else {
        this->reject(scope, call, HttpStatus::Unavailable,
            std::string(reason) + ", in a configuration that may be outdated", ShortRetryAfterSeconds);
    }
}

} // namespace Chestnuthook
