/** @file permit_broker_base.cpp  Acquires permits from the dispatchers of endpoints. */
#include "entry/permit_broker_base.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "policy/dispatcher_choice_func.h"

namespace Chestnuthook
{

namespace
{

/** Maximum wait for a permit if the request has no deadline. */
constexpr std::int64_t DefaultMaxWaitMs = 30'000;

/** How often permits are checked for deadlines, lost endpoints and changed dispatchers. */
constexpr Duration TickInterval = std::chrono::milliseconds(200);

/** Expected output of a call, unless its limit is lower. */
constexpr double DefaultOutputTokens = 120;

/** Retry-After for a client whose wait for a permit failed, in milliseconds. */
constexpr std::int64_t OverloadedRetryAfterMs = 2000;

/** Weight of an uncached prompt token against a queued token. High, so that programs stay where their cache is. */
constexpr double CacheWeight = 16;

ConnectionOutcome healthSignalOf(const AttemptOutcome &outcome)
{
    if (outcome.complete) {
        return ConnectionOutcome::Answered;
    }
    return outcome.sent ? ConnectionOutcome::Broken : ConnectionOutcome::Unreachable;
}

} // namespace

PermitBroker::PermitBroker(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers)
    : loop(loop)
    , follower(follower)
    , peers(peers)
    , platformList(std::make_shared<const EndpointList>())
    , endpointList(std::make_shared<const EndpointList>())
{
}

const ListedEndpoint *PermitBroker::findListed(const EndpointId &endpoint) const
{
    const auto found =
        std::find_if(this->endpointList->begin(), this->endpointList->end(), [&](const ListedEndpoint &one) {
            return one.id == endpoint && !one.leaving;
        });
    return found == this->endpointList->end() ? nullptr : &*found;
}

EntryId PermitBroker::dispatcherFor(const EndpointId &endpoint) const
{
    const auto view = this->follower.views.get();
    const auto found =
        std::find_if(this->endpointList->begin(), this->endpointList->end(), [&](const ListedEndpoint &one) {
            return one.id == endpoint;
        });
    const DataCentreId dataCentre = found == this->endpointList->end() ? DataCentreId{} : found->dataCentre;
    return view == nullptr ? EntryId{} : dispatcherOf(endpoint, dataCentre, view->entries);
}

std::size_t PermitBroker::liveEntryCount() const
{
    const auto view = this->follower.views.get();
    return view == nullptr ? 1 : std::max<std::size_t>(1, view->entries.size());
}

std::vector<const ListedEndpoint *> PermitBroker::eligibleEndpoints(const DispatchRequest &request, Instant now) const
{
    std::vector<const ListedEndpoint *> all;
    for (const ListedEndpoint &endpoint : *this->endpointList) {
        const bool avoided =
            std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) != request.excluded.end();
        if (endpoint.kind == request.kind && endpoint.name == request.name && !endpoint.leaving && !avoided) {
            all.push_back(&endpoint);
        }
    }
    std::vector<const ListedEndpoint *> usable;
    std::copy_if(all.begin(), all.end(), std::back_inserter(usable), [&](const ListedEndpoint *endpoint) {
        return this->health.usable(endpoint->id, now);
    });
    return usable.empty() ? all : usable; // If all look unhealthy, one of them is tried anyway.
}

EndpointEstimate PermitBroker::estimate(const EndpointId &endpoint, const ProgramId &program) const
{
    EndpointEstimate estimate;
    estimate.cachedTokens = this->prefixes.cached(endpoint, program);
    if (this->dispatcherFor(endpoint) == this->follower.self.id) {
        estimate.inFlight = this->ledger.load(endpoint);
        estimate.backlogTokens = this->ledger.backlog(endpoint);
        return estimate;
    }
    const auto known = this->remoteLoads.find(endpoint);
    if (known != this->remoteLoads.end()) {
        estimate.inFlight = static_cast<std::size_t>(known->second.inFlight);
        estimate.backlogTokens = known->second.backlog;
    }
    return estimate;
}

QueuedCall PermitBroker::waitingCallFor(const LocalPermit &localPermit) const
{
    QueuedCall call;
    call.customer = localPermit.request.customer;
    call.attainedTokens = static_cast<double>(localPermit.request.attainedTokens);
    const double output = std::min(DefaultOutputTokens,
        localPermit.request.maxTokens == 0 ? DefaultOutputTokens : static_cast<double>(localPermit.request.maxTokens));
    call.expectedTokens = localPermit.uncachedTokens * PrefillCost + output;
    call.arrived = localPermit.requestedAt;
    call.isolated = localPermit.request.isolated;
    return call;
}

kj::Promise<kj::Own<PermitResult>> PermitBroker::acquire(const DispatchRequest &request)
{
    const Instant now = this->loop.timers().now();
    this->endpointList = this->platformList.load();
    if (!this->tickTimer.active()) {
        this->tickTimer = this->loop.timers().every(TickInterval, [this]() {
            this->tick();
        });
    }
    auto paf = kj::newPromiseAndFulfiller<kj::Own<PermitResult>>();
    const std::uint64_t id = ++this->lastPermit;
    LocalPermit &localPermit = this->localPermits[id];
    localPermit.request = request;
    localPermit.requestedAt = now;
    localPermit.deadline =
        now + std::chrono::milliseconds(request.deadlineMs > 0 ? request.deadlineMs : DefaultMaxWaitMs);
    localPermit.fulfiller = kj::mv(paf.fulfiller);
    if (!this->selectEndpoint(id, localPermit, now)
        && !this->endpointList->empty()) { // Until the first list is received, calls wait.
        this->reject(id, ErrorKind::NoEndpoint, request.name);
    }
    return kj::mv(paf.promise);
}

bool PermitBroker::selectEndpoint(std::uint64_t id, LocalPermit &localPermit, Instant now)
{
    const auto candidates = this->eligibleEndpoints(localPermit.request, now);
    if (candidates.empty()) {
        return false;
    }
    std::vector<EndpointEstimate> estimates;
    estimates.reserve(candidates.size());
    for (const ListedEndpoint *candidate : candidates) {
        estimates.push_back(this->estimate(candidate->id, localPermit.request.program));
    }
    const auto prompt = static_cast<double>(localPermit.request.promptTokens);
    const PredictedCompletion rule{CacheWeight};
    const std::size_t chosen = rule.choose(estimates, {prompt, DefaultOutputTokens}, this->selectionState);
    localPermit.endpoint = candidates[chosen]->id;
    localPermit.uncachedTokens = std::max(0.0, prompt - estimates[chosen].cachedTokens);
    this->health.onSelected(localPermit.endpoint, now);
    this->requestPermit(id, localPermit);
    return true;
}

void PermitBroker::requestPermit(std::uint64_t id, LocalPermit &localPermit)
{
    const EntryId entry = this->dispatcherFor(localPermit.endpoint);
    localPermit.requestedFrom = entry;
    localPermit.acknowledged = false;
    if (entry == this->follower.self.id) {
        this->requestLocally(id, localPermit);
        return;
    }
    RemoteLoad &load = this->remoteLoads[localPermit.endpoint];
    load.inFlight += 1;
    load.backlog += this->waitingCallFor(localPermit).expectedTokens;
    this->outboxes[entry].requests.push_back(id);
    this->scheduleSend(entry);
}

void PermitBroker::requestLocally(std::uint64_t id, LocalPermit &localPermit)
{
    const PermitKey key{this->follower.self.id, id};
    localPermit.acknowledged = true;
    const ListedEndpoint *endpoint = this->findListed(localPermit.endpoint);
    this->ledger.setMaxInFlight(
        localPermit.endpoint, maxInFlight(endpoint == nullptr ? localPermit.request.kind : endpoint->kind));
    if (localPermit.running) {
        this->ledger.adopt(localPermit.endpoint, key, this->waitingCallFor(localPermit));
        return;
    }
    const PermitState state = this->ledger.ask(localPermit.endpoint, key, this->waitingCallFor(localPermit));
    if (state == PermitState::Running) {
        this->grant(id, false);
    } else if (state == PermitState::Shed) {
        this->reject(id, ErrorKind::Overloaded, "the queue of the endpoint is full");
    }
    this->deliverGrants();
}

void PermitBroker::grant(std::uint64_t id, bool fallback)
{
    const auto found = this->localPermits.find(id);
    if (found == this->localPermits.end() || found->second.running) {
        return;
    }
    LocalPermit &localPermit = found->second;
    localPermit.running = true;
    localPermit.fallback = fallback;
    constexpr std::uint64_t MaxPriority = std::numeric_limits<std::int32_t>::max();
    // As in the queue, the program that has used the most tokens goes first.
    const auto priority = -static_cast<std::int32_t>(std::min(localPermit.request.attainedTokens, MaxPriority));
    localPermit.fulfiller->fulfill(
        kj::heap<PermitResult>(PermitResult{DispatchPermit{id, localPermit.endpoint, priority}, std::nullopt}));
}

void PermitBroker::reject(std::uint64_t id, ErrorKind kind, const std::string &what)
{
    const auto found = this->localPermits.find(id);
    if (found == this->localPermits.end() || found->second.running) {
        return;
    }
    auto fulfiller = kj::mv(found->second.fulfiller);
    this->localPermits.erase(found);
    const std::int64_t retryMs = kind == ErrorKind::DeadlineExceeded ? 0 : OverloadedRetryAfterMs;
    fulfiller->fulfill(kj::heap<PermitResult>(PermitResult{{}, Error{kind, what, Ran::No, retryMs}}));
}

void PermitBroker::releaseAtDispatcher(std::uint64_t id, const LocalPermit &localPermit)
{
    if (localPermit.requestedFrom.empty()) {
        return;
    }
    if (localPermit.requestedFrom == this->follower.self.id) {
        this->ledger.release(PermitKey{this->follower.self.id, id});
        this->deliverGrants();
        return;
    }
    Outbox &outbox = this->outboxes[localPermit.requestedFrom];
    std::erase(outbox.requests, id);
    outbox.releases[localPermit.endpoint].push_back(id);
    this->scheduleSend(localPermit.requestedFrom);
}

void PermitBroker::release(const DispatchPermit &permit, const DispatchRequest &request, const AttemptOutcome &outcome)
{
    const auto found = this->localPermits.find(permit.id);
    if (found == this->localPermits.end()) {
        return;
    }
    const LocalPermit localPermit = std::move(found->second);
    this->localPermits.erase(found);
    this->health.record(permit.endpoint, healthSignalOf(outcome), this->loop.timers().now());
    if (outcome.complete && request.kind == EndpointKind::Engine) {
        const double held = static_cast<double>(request.promptTokens + outcome.completionTokens);
        this->prefixes.setCachedTokens(permit.endpoint, request.program, held);
    }
    if (localPermit.fallback) {
        --this->fallbacks[localPermit.endpoint];
    }
    const auto load = this->remoteLoads.find(localPermit.endpoint);
    if (load != this->remoteLoads.end()) {
        load->second.inFlight = std::max(0.0, load->second.inFlight - 1);
        load->second.backlog = std::max(0.0, load->second.backlog - this->waitingCallFor(localPermit).expectedTokens);
    }
    this->releaseAtDispatcher(permit.id, localPermit);
}

void PermitBroker::grantFallbacks(const std::vector<std::uint64_t> &ids)
{
    for (const std::uint64_t id : ids) {
        const auto found = this->localPermits.find(id);
        if (found == this->localPermits.end() || found->second.running || found->second.request.isolated) {
            continue;
        }
        const std::size_t share =
            std::max<std::size_t>(1, maxInFlight(found->second.request.kind) / this->liveEntryCount());
        std::size_t &used = this->fallbacks[found->second.endpoint];
        if (used < share) {
            ++used;
            this->grant(id, true);
        }
    }
}

void PermitBroker::setEndpoints(std::shared_ptr<const EndpointList> next)
{
    this->platformList.store(std::move(next));
}

void PermitBroker::onViewChange()
{
    const auto view = this->follower.views.get();
    if (view == nullptr) {
        return;
    }
    std::set<EntryId> leased;
    for (const EntryRecord &entry : view->entries) {
        leased.insert(entry.id);
    }
    for (const auto &[id, customer] : view->customers) {
        this->ledger.fairness.setWeight(id, customer.weight);
    }
    this->ledger.releaseUnleased(leased);
    for (const EndpointId &endpoint : this->ledger.endpoints()) {
        if (this->dispatcherFor(endpoint) != this->follower.self.id) {
            this->ledger.drop(endpoint);
        }
    }
    std::erase_if(this->outboxes, [&](const auto &row) {
        return !leased.contains(row.first) && !row.second.busy;
    });
    this->deliverGrants();
    this->tick();
}

void PermitBroker::tick()
{
    const Instant now = this->loop.timers().now();
    this->endpointList = this->platformList.load();
    std::vector<std::uint64_t> ids;
    ids.reserve(this->localPermits.size());
    for (const auto &[id, localPermit] : this->localPermits) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        const auto found = this->localPermits.find(id);
        if (found == this->localPermits.end()) {
            continue;
        }
        LocalPermit &localPermit = found->second;
        const bool unusable =
            this->findListed(localPermit.endpoint) == nullptr || !this->health.usable(localPermit.endpoint, now);
        if (!localPermit.running && now >= localPermit.deadline) {
            this->releaseAtDispatcher(id, localPermit);
            this->reject(id, ErrorKind::Overloaded, "no endpoint was free in time");
        } else if (!localPermit.running && this->endpointList->empty()) {
            continue;
        } else if (!localPermit.running && unusable && this->eligibleEndpoints(localPermit.request, now).empty()) {
            this->releaseAtDispatcher(id, localPermit);
            this->reject(id, ErrorKind::NoEndpoint, localPermit.request.name);
        } else if (!localPermit.running && unusable) {
            // A new id, so that a late grant of the old permit can't be mistaken for a grant of the new one.
            const std::uint64_t next = ++this->lastPermit;
            LocalPermit movedPermit = std::move(localPermit);
            this->localPermits.erase(found);
            this->releaseAtDispatcher(id, movedPermit);
            LocalPermit &newPermit = this->localPermits[next] = std::move(movedPermit);
            this->selectEndpoint(next, newPermit, now);
        } else if (localPermit.requestedFrom != this->dispatcherFor(localPermit.endpoint)) {
            this->requestPermit(id, localPermit);
        } else if ((!localPermit.running || !localPermit.acknowledged)
            && localPermit.requestedFrom != this->follower.self.id) {
            std::vector<std::uint64_t> &requests = this->outboxes[localPermit.requestedFrom].requests;
            if (std::find(requests.begin(), requests.end(), id) == requests.end()) {
                requests.push_back(id);
            }
        }
    }
    for (const auto &[entry, outbox] : this->outboxes) {
        if (!outbox.requests.empty() || !outbox.releases.empty()) {
            this->scheduleSend(entry);
        }
    }
}

} // namespace Chestnuthook
