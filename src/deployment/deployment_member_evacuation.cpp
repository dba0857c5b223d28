/** @file deployment_member_evacuation.cpp  Evacuation of data centres: the operator's change, its publication in the
 * endpoint list, and what is logged of it. */
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

constexpr auto ListPollInterval = 20 * kj::MILLISECONDS;
constexpr Duration MaxPublicationTime = std::chrono::milliseconds(600); ///< As MaxInForceWait.
/** A new leader that hasn't read the platform's list after this long publishes the newest list of the terms
 * before. The platform usually answers within some milliseconds. */
constexpr Duration ListAdoptionDelay = std::chrono::milliseconds(300);

void logEvacuation(const std::string &dataCentre, std::string_view state, std::size_t inForce)
{
    logEvent(EventKind::EvacuationChanged,
        {{"data_centre", dataCentre}, {"state", std::string(state)}, {"in_force", std::to_string(inForce)}});
}

} // namespace

kj::Promise<BoxedResult<void>> DeploymentMember::setEvacuation(std::string dataCentre, bool active)
{
    // Confirmed first: a new leader may not have applied an evacuation that makes the data centre known.
    return this->group.confirmRead().then(
        [this, dataCentre, active](Result<void> &&confirmed) -> kj::Promise<BoxedResult<void>> {
            if (!confirmed) {
                return boxResult(Result<void>(tl::unexpected(confirmed.error())));
            }
            if (!this->isKnownDataCentre(dataCentre)) {
                const auto kind = this->endpointsVersion == 0 ? ErrorKind::NotReady : ErrorKind::NotFound;
                return boxResult(Result<void>(fail(kind, "nothing names a data centre " + dataCentre)));
            }
            // Proposed even if it seems to be in force: an opposite change may be about to be committed.
            return this->group.propose(evacuationCommand(dataCentre, active))
                .then([this, dataCentre, active](Result<std::string> &&done) -> kj::Promise<BoxedResult<void>> {
                    logEvent(EventKind::EvacuationChanged,
                        {{"data_centre", dataCentre}, {"state", active ? "start requested" : "end requested"},
                            {"outcome", done ? "committed" : errorText(done.error())}});
                    if (!done) {
                        return boxResult(Result<void>(tl::unexpected(done.error())));
                    }
                    this->reportEvacuations();
                    return this->publishEvacuations(this->loop.timers().now() + MaxPublicationTime);
                });
        });
}

bool DeploymentMember::isKnownDataCentre(const std::string &dataCentre) const
{
    // A new leader may not have read the platform's list yet, but it has the one of the leader before.
    const auto isListed = [&dataCentre](const std::vector<DeployedEndpoint> &list) {
        return std::ranges::any_of(list, [&dataCentre](const DeployedEndpoint &endpoint) {
            return endpoint.dataCentre == dataCentre;
        });
    };
    return std::ranges::find(this->settings.dataCentres, dataCentre) != this->settings.dataCentres.end()
        || this->group.machine.evacuated.contains(dataCentre) || this->registry.hasDataCentre(dataCentre)
        || isListed(this->endpoints) || isListed(this->formerEndpoints);
}

kj::Promise<BoxedResult<void>> DeploymentMember::publishEvacuations(Instant until)
{
    if (!this->isLeader()) { // The next leader publishes it; the operator asks there.
        return boxResult(Result<void>(fail(ErrorKind::NotLeader, "member " + this->settings.self.name)));
    }
    this->refreshEvacuations();
    const Instant now = this->loop.timers().now();
    if (this->endpointsVersion == 0) {
        if (now >= until) {
            return boxResult(Result<void>(fail(ErrorKind::NotReady, "the endpoint list hasn't been read yet")));
        }
        return this->loop.kjTimer().afterDelay(ListPollInterval).then([this, until]() {
            return this->publishEvacuations(until);
        });
    }
    if (this->registry.isEndpointListHeld(this->endpointsVersion)) {
        return boxResult(Result<void>());
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->pendingChanges.push_back({0, kj::mv(pair.fulfiller), this->endpointsVersion});
    const Duration left = std::max(until - now, Duration(0));
    return pair.promise.exclusiveJoin(this->loop.kjTimer().afterDelay(kjDuration(left))).then([]() {
        return boxResult(Result<void>());
    });
}

void DeploymentMember::markEvacuated(std::vector<DeployedEndpoint> &list) const
{
    for (DeployedEndpoint &endpoint : list) {
        endpoint.evacuated = this->group.machine.evacuated.contains(endpoint.dataCentre);
    }
}

void DeploymentMember::rememberEndpoints()
{
    if (this->endpointsVersion != 0 && this->leaderTerm > this->formerTerm) {
        this->formerEndpoints = this->endpoints;
        this->formerTerm = this->leaderTerm;
    }
    const DeploymentView &view = this->watcher.view; // Not updated while this member leads.
    if (!view.endpoints.empty() && view.term > this->formerTerm) {
        this->formerEndpoints = view.endpoints;
        for (DeployedEndpoint &endpoint : this->formerEndpoints) {
            endpoint.leaving = endpoint.leaving && !endpoint.evacuated; // See `writeUpdate`.
        }
        this->formerTerm = view.term;
    }
}

void DeploymentMember::refreshEvacuations()
{
    if (!this->isLeader() || !this->isVersionRecordRead) {
        return;
    }
    const DeploymentState &state = this->group.machine;
    if (this->endpointsVersion != 0) {
        if (this->publishedEvacuations != state.evacuated) {
            this->publishEndpoints(this->endpoints);
        }
        return;
    }
    const bool hasWaited = this->loop.timers().now() - this->leaderSince >= ListAdoptionDelay;
    if (hasWaited && !state.evacuated.empty() && !this->formerEndpoints.empty()) {
        this->takeEndpoints(this->formerEndpoints);
    }
}

void DeploymentMember::reportEvacuations()
{
    const std::set<std::string> &inForce = this->group.machine.evacuated;
    if (this->reportedEvacuations == inForce) {
        return;
    }
    for (const std::string &dataCentre : inForce) {
        if (!this->reportedEvacuations.contains(dataCentre)) {
            logEvacuation(dataCentre, "started", inForce.size());
        }
    }
    for (const std::string &dataCentre : this->reportedEvacuations) {
        if (!inForce.contains(dataCentre)) {
            logEvacuation(dataCentre, "ended", inForce.size());
        }
    }
    this->reportedEvacuations = inForce;
    metrics().set(MetricKind::EvacuationsInForce, static_cast<std::int64_t>(inForce.size()));
}

} // namespace Chestnuthook
