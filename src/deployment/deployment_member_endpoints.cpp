/** @file deployment_member_endpoints.cpp  The leader's endpoint list: reads it from the platform, records software
 * versions before gateways get them, and forgets versions that are no longer in use. */
#include <algorithm>
#include <utility>

#include "deployment/deployment_member_base.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

void logVersions(std::string_view what, const ServiceVersions &versions, std::string_view outcome)
{
    for (const ServiceVersion &version : versions) {
        logEvent(EventKind::EndpointVersion,
            {{"what", std::string(what)}, {"service", version.service}, {"version", version.version},
                {"outcome", std::string(outcome)}});
    }
}

} // namespace

void DeploymentMember::beginVersionTerm(Instant now)
{
    this->versionExpiry.beginTerm(now);
    this->isVersionRecordRead = false;
    this->isVersionRecordPartial = false;
    this->readVersionRecord();
}

void DeploymentMember::readVersionRecord()
{
    if (this->versionReadTerm == this->leaderTerm) {
        return;
    }
    this->versionReadTerm = this->leaderTerm;
    this->loop.detach(this->group.confirmRead().then([this, term = this->leaderTerm](Result<void> &&confirmed) {
        this->versionReadTerm = this->versionReadTerm == term ? 0 : this->versionReadTerm;
        if (confirmed && this->isLeader() && term == this->leaderTerm) {
            const DeploymentState &state = this->group.machine;
            // Leaders of earlier builds record no versions.
            this->isVersionRecordPartial = state.endpointVersions.empty() && state.configurationVersion != 0;
            this->isVersionRecordRead = true;
            this->pollEndpoints();
        }
    }));
}

void DeploymentMember::pollEndpoints()
{
    if (!this->isLeader() || this->isPollingEndpoints) {
        return;
    }
    if (!this->isVersionRecordRead) {
        this->readVersionRecord();
        return;
    }
    this->isPollingEndpoints = true;
    this->loop.detach(this->endpointSource.read().then([this](EndpointListResult &&list) -> kj::Promise<void> {
        if (!*list) {
            this->isPollingEndpoints = false;
            logEvent(EventKind::FreshnessLost, {{"what", "endpoint list"}, {"error", errorText(list->error())}});
            return kj::READY_NOW;
        }
        // The configuration says which endpoints may be cold.
        return this->awaitConfiguration().then([this, list = std::move(list)]() {
            this->isPollingEndpoints = false;
            this->takeEndpoints(std::move(**list));
        });
    }));
}

void DeploymentMember::takeEndpoints(std::vector<DeployedEndpoint> list)
{
    if (!this->isLeader() || !this->isVersionRecordRead) {
        return;
    }
    const Instant now = this->loop.timers().now();
    this->versionExpiry.recordListed(now, list);
    this->refreshConfiguration();
    this->coldEndpoints.recordListed(now, list);
    static_cast<void>(this->coldEndpoints.mark(now, this->configuration.get(), list));
    const ServiceVersions unrecorded = unrecordedVersions(list, this->group.machine.endpointVersions);
    if (unrecorded.empty()) {
        this->publishEndpoints(std::move(list));
        return;
    }
    if (this->isChangingVersions) { // Other changes of the list must not wait for a slow or missing quorum.
        this->publishEndpoints(endpointsOfVersions(list, this->group.machine.endpointVersions));
        return;
    }
    this->isChangingVersions = true;
    auto recorded = this->group.propose(addVersionsCommand(unrecorded));
    this->loop.detach(recorded.then([this, unrecorded, list = std::move(list)](Result<std::string> &&done) mutable {
        this->isChangingVersions = false;
        logVersions("recorded", unrecorded, done ? "committed" : errorText(done.error()));
        if (done && this->isLeader()) {
            this->publishEndpoints(endpointsOfVersions(list, this->group.machine.endpointVersions));
        }
    }));
}

void DeploymentMember::publishEndpoints(std::vector<DeployedEndpoint> list)
{
    this->markEvacuated(list);
    this->publishedEvacuations = this->group.machine.evacuated;
    if (this->endpointsVersion != 0 && this->endpoints == list) {
        return;
    }
    this->endpoints = std::move(list);
    this->logColdChanges();
    std::set<std::string> listed;
    for (const DeployedEndpoint &endpoint : this->endpoints) {
        listed.insert(endpoint.id);
    }
    this->endpointLimits.retain(listed);
    ++this->endpointsVersion;
    this->notifyWatchers();
}

void DeploymentMember::updateColdEndpoints()
{
    const bool hasChanged =
        this->coldEndpoints.mark(this->loop.timers().now(), this->configuration.get(), this->endpoints);
    if (hasChanged && this->endpointsVersion != 0) {
        this->logColdChanges();
        ++this->endpointsVersion;
        this->notifyWatchers();
    }
}

void DeploymentMember::logColdChanges()
{
    for (const ColdEndpoints::Change &change : this->coldEndpoints.takeChanges(this->loop.timers().now())) {
        logEvent(EventKind::EndpointColdChanged,
            {{"endpoint", change.endpoint}, {"service", change.service},
                {"left_ms", std::to_string(change.left.count() / 1000)}, {"cause", "list"}});
    }
    metrics().set(MetricKind::EndpointsCold, std::ranges::count_if(this->endpoints, [](const auto &endpoint) {
        return endpoint.coldPerSecond > 0;
    }));
}

std::uint32_t DeploymentMember::grantEndpointCredit(const EndpointCreditRequest &known)
{
    this->recordLimit(known.limit);
    EndpointRates rates{this->endpointLimits.limitOf(known.limit.endpoint), std::max(known.coldPerSecond, 0.0)};
    // A gateway may know less than this leader, or more: a response has told it, or this leader has no list yet.
    const auto listed = std::ranges::find(this->endpoints, known.limit.endpoint, &DeployedEndpoint::id);
    if (listed != this->endpoints.end() && listed->coldPerSecond > 0) {
        rates.coldPerSecond = listed->coldPerSecond;
    }
    const EndpointAccount account = endpointAccount(known.limit.endpoint, rates, this->settings.coldTolerance);
    return this->endpointCredits.grant(this->loop.timers().now(), account.limit, account.tolerance, known.wanted);
}

void DeploymentMember::removeExpiredVersions()
{
    if (!this->isVersionRecordRead || this->isChangingVersions) {
        return;
    }
    const Instant now = this->loop.timers().now();
    const ServiceVersions expired = this->versionExpiry.expired(now, this->group.machine.endpointVersions);
    if (expired.empty()) {
        return;
    }
    this->isChangingVersions = true;
    this->loop.detach(
        this->group.propose(removeVersionsCommand(expired)).then([this, expired](Result<std::string> &&done) {
            this->isChangingVersions = false;
            logVersions("forgotten", expired, done ? "committed" : errorText(done.error()));
        }));
}

bool DeploymentMember::knowsEndpointVersions() const
{
    const Duration led = this->loop.timers().now() - this->leaderSince;
    return this->isVersionRecordRead && (!this->isVersionRecordPartial || led > EndpointVersionExpiry::StreamMemory);
}

std::set<std::string> DeploymentMember::endpointVersions(const std::string &service) const
{
    std::set<std::string> versions;
    for (const ServiceVersion &recorded : this->group.machine.endpointVersions) {
        if (recorded.service == service) {
            versions.insert(recorded.version);
        }
    }
    return versions;
}

} // namespace Chestnuthook
