/** @file deployment_member_configuration.cpp  Configurations at a control member: changes by the operator, and the
 * documents that other daemons fetch. What takes the longer, the larger a document is, runs on the worker thread. */
#include <utility>

#include "core/compression_func.h"
#include "deployment/deployment_member_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

kj::Promise<std::shared_ptr<Result<ConfigurationPtr>>> DeploymentMember::readDocument(
    std::shared_ptr<const std::string> document)
{
    return this->worker.run([parse = this->parseDocument, document = std::move(document)]() {
        return parse(*document);
    });
}

void DeploymentMember::refreshConfiguration()
{
    const DeploymentState &state = this->group.machine;
    const bool isRead = this->configuration != nullptr && this->configuration->version == state.configurationVersion;
    if (state.configurationVersion == 0 || isRead || this->isReadingConfiguration) {
        return;
    }
    this->isReadingConfiguration = true;
    auto read =
        this->readDocument(std::make_shared<const std::string>(state.document))
            .then([this](std::shared_ptr<Result<ConfigurationPtr>> &&read) {
                if (!*read) { // Unexpected: the document was valid when it was accepted.
                    logEvent(EventKind::ChildFailed, {{"child", "configuration"}, {"error", errorText(read->error())}});
                } else if (this->configuration == nullptr || this->configuration->version < (**read)->version) {
                    this->configuration = **read;
                }
            });
    this->loop.detach(read.then(
        [this]() {
            this->endReading();
        },
        [this](kj::Exception &&exception) {
            this->endReading();
            kj::throwFatalException(kj::mv(exception));
        }));
}

void DeploymentMember::endReading()
{
    this->isReadingConfiguration = false;
    for (auto &waiter : std::exchange(this->configurationWaiters, {})) {
        waiter->fulfill();
    }
}

kj::Promise<void> DeploymentMember::awaitConfiguration()
{
    if (this->configuration != nullptr || this->group.machine.configurationVersion == 0) {
        return kj::READY_NOW;
    }
    this->refreshConfiguration();
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->configurationWaiters.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

kj::Promise<bool> DeploymentMember::prepareGrant()
{
    if (this->configuration != nullptr) {
        return this->confirmLead();
    }
    return this->awaitConfiguration().then([this]() {
        return this->confirmLead();
    });
}

kj::Promise<BoxedResult<void>> DeploymentMember::putConfiguration(std::string document)
{
    if (!this->isLeader()) { // Only the leader spends time on reading the document.
        return boxResult(Result<void>(fail(ErrorKind::NotLeader, "member " + this->settings.self.name)));
    }
    if (document == this->group.machine.document) { // Sent again.
        return this->group.confirmRead().then([this](Result<void> &&confirmed) -> kj::Promise<BoxedResult<void>> {
            if (!confirmed) {
                return boxResult(Result<void>(tl::unexpected(confirmed.error())));
            }
            return this->awaitInForce(this->group.machine.configurationVersion).then([]() {
                return boxResult(Result<void>());
            });
        });
    }
    if (Result<void> hasRoom = this->node.checkRoom(document.size()); !hasRoom) {
        return boxResult(std::move(hasRoom));
    }
    const Instant start = this->loop.timers().now();
    auto shared = std::make_shared<const std::string>(std::move(document));
    return this->readDocument(shared).then(
        [this, shared, start](std::shared_ptr<Result<ConfigurationPtr>> &&read) -> kj::Promise<BoxedResult<void>> {
            if (!*read) {
                logEvent(EventKind::RequestRejected, {{"what", "configuration"}, {"error", errorText(read->error())}});
                return boxResult(Result<void>(tl::unexpected(read->error())));
            }
            return this->commitConfiguration(shared, **read, start);
        });
}

kj::Promise<BoxedResult<void>> DeploymentMember::commitConfiguration(
    std::shared_ptr<const std::string> document, ConfigurationPtr read, Instant start)
{
    const Duration readTime = this->loop.timers().now() - start;
    return this->group.propose(configurationCommand(read->version, *document))
        .then([this, read, document, start, readTime](Result<std::string> &&done) -> kj::Promise<BoxedResult<void>> {
            if (!done) {
                return boxResult(Result<void>(tl::unexpected(done.error())));
            }
            const DeploymentState &state = this->group.machine;
            const Duration committed = this->loop.timers().now() - start;
            logEvent(EventKind::ConfigurationApplied,
                {{"version", std::to_string(read->version)}, {"in_force", std::to_string(state.configurationVersion)},
                    {"parse_ms", std::to_string(readTime.count() / 1000)},
                    {"total_ms", std::to_string(committed.count() / 1000)}});
            if (state.configurationVersion == read->version && state.document == *document) {
                this->configuration = read;
            }
            this->notifyWatchers();
            return this->awaitInForce(state.configurationVersion).then([]() {
                return boxResult(Result<void>());
            });
        });
}

kj::Promise<void> DeploymentMember::compressConfiguration()
{
    const DeploymentState &state = this->group.machine;
    if (this->compressed.version == state.configurationVersion) {
        return kj::READY_NOW;
    }
    if (this->compressing == nullptr) {
        const std::uint64_t version = state.configurationVersion;
        auto compressed = this->worker
                              .run([document = state.document]() {
                                  return compress(document, CompressionEffort::High);
                              })
                              .then(
                                  [this, version](std::shared_ptr<std::string> &&bytes) {
                                      this->compressing = nullptr;
                                      this->compressed = {version, std::move(*bytes)};
                                  },
                                  [this](kj::Exception &&exception) {
                                      this->compressing = nullptr;
                                      kj::throwFatalException(kj::mv(exception));
                                  })
                              .fork();
        this->loop.detach(compressed.addBranch()); // It goes on if all who wait give up.
        this->compressing = kj::mv(compressed);
    }
    KJ_IF_MAYBE (compressed, this->compressing) {
        return compressed->addBranch();
    }
    return kj::READY_NOW;
}

kj::Promise<BoxedResult<std::string>> DeploymentMember::readConfiguration()
{
    return this->group.confirmRead().then([this](Result<void> &&confirmed) {
        if (!confirmed) {
            return boxResult(Result<std::string>(tl::unexpected(confirmed.error())));
        }
        if (this->group.machine.configurationVersion == 0) {
            return boxResult(Result<std::string>(fail(ErrorKind::NotFound, "no configuration has been accepted yet")));
        }
        return boxResult(Result<std::string>(this->group.machine.document));
    });
}

} // namespace Chestnuthook
