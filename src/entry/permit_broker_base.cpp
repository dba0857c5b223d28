/** @file permit_broker_base.cpp  The asker's side of permits. */
#include "entry/permit_broker_base.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "policy/dispatcher_choice_func.h"

namespace Chestnuthook
{

namespace
{

/** Bound of the wait for a permit where the demand names none. */
constexpr std::int64_t DefaultWaitMs = 30'000;

/** How often tickets are looked through for deadlines, lost endpoints and changed dispatchers. */
constexpr Duration TickPeriod = std::chrono::milliseconds(200);

/** Tokens expected of an answer whose bound is not named. */
constexpr double UsualOutputTokens = 120;

/** When a caller is told to come back after it waited in vain. */
constexpr std::int64_t OverloadedRetryMs = 2000;

/** Tokens of queue that a token of prefill outweighs, so that programs stay where their cache is. */
constexpr double CacheWeight = 16;

ConnectionOutcome signOf(const AttemptOutcome &outcome)
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
    , latest(std::make_shared<const EndpointList>())
    , list(std::make_shared<const EndpointList>())
{
}

const ListedEndpoint *PermitBroker::listed(const EndpointId &endpoint) const
{
    const auto found = std::find_if(this->list->begin(), this->list->end(), [&](const ListedEndpoint &one) {
        return one.id == endpoint && !one.leaving;
    });
    return found == this->list->end() ? nullptr : &*found;
}

EntryId PermitBroker::dispatcher(const EndpointId &endpoint) const
{
    const auto view = this->follower.views.get();
    const auto found = std::find_if(this->list->begin(), this->list->end(), [&](const ListedEndpoint &one) {
        return one.id == endpoint;
    });
    const DataCentreId dataCentre = found == this->list->end() ? DataCentreId{} : found->dataCentre;
    return view == nullptr ? EntryId{} : dispatcherOf(endpoint, dataCentre, view->entries);
}

std::size_t PermitBroker::liveEntries() const
{
    const auto view = this->follower.views.get();
    return view == nullptr ? 1 : std::max<std::size_t>(1, view->entries.size());
}

std::vector<const ListedEndpoint *> PermitBroker::fitting(const DispatchDemand &demand, Instant now) const
{
    std::vector<const ListedEndpoint *> all;
    for (const ListedEndpoint &endpoint : *this->list) {
        const bool avoided = std::find(demand.avoid.begin(), demand.avoid.end(), endpoint.id) != demand.avoid.end();
        if (endpoint.kind == demand.kind && endpoint.name == demand.name && !endpoint.leaving && !avoided) {
            all.push_back(&endpoint);
        }
    }
    std::vector<const ListedEndpoint *> usable;
    std::copy_if(all.begin(), all.end(), std::back_inserter(usable), [&](const ListedEndpoint *endpoint) {
        return this->health.usable(endpoint->id, now);
    });
    return usable.empty() ? all : usable; // Where all look lost, one of them is tried.
}

EndpointEstimate PermitBroker::estimate(const EndpointId &endpoint, const ProgramId &program) const
{
    EndpointEstimate estimate;
    estimate.cachedTokens = this->prefixes.cached(endpoint, program);
    if (this->dispatcher(endpoint) == this->follower.self.id) {
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

QueuedCall PermitBroker::callOf(const Ticket &ticket) const
{
    QueuedCall call;
    call.customer = ticket.demand.customer;
    call.attainedTokens = static_cast<double>(ticket.demand.attainedTokens);
    const double output = std::min(UsualOutputTokens,
        ticket.demand.maxTokens == 0 ? UsualOutputTokens : static_cast<double>(ticket.demand.maxTokens));
    call.expectedTokens = ticket.uncachedTokens * PrefillCost + output;
    call.arrived = ticket.askedAt;
    call.isolated = ticket.demand.isolated;
    return call;
}

kj::Promise<kj::Own<PermitVerdict>> PermitBroker::acquire(const DispatchDemand &demand)
{
    const Instant now = this->loop.timers().now();
    this->list = this->latest.load();
    if (!this->ticking.active()) {
        this->ticking = this->loop.timers().every(TickPeriod, [this]() {
            this->tick();
        });
    }
    auto paf = kj::newPromiseAndFulfiller<kj::Own<PermitVerdict>>();
    const std::uint64_t id = ++this->lastPermit;
    Ticket &ticket = this->tickets[id];
    ticket.demand = demand;
    ticket.askedAt = now;
    ticket.deadline = now + std::chrono::milliseconds(demand.deadlineMs > 0 ? demand.deadlineMs : DefaultWaitMs);
    ticket.fulfiller = kj::mv(paf.fulfiller);
    if (!this->place(id, ticket, now) && !this->list->empty()) { // Before the first list came, calls wait for it.
        this->refuse(id, ErrorKind::NoEndpoint, demand.name);
    }
    return kj::mv(paf.promise);
}

bool PermitBroker::place(std::uint64_t id, Ticket &ticket, Instant now)
{
    const auto candidates = this->fitting(ticket.demand, now);
    if (candidates.empty()) {
        return false;
    }
    std::vector<EndpointEstimate> estimates;
    estimates.reserve(candidates.size());
    for (const ListedEndpoint *candidate : candidates) {
        estimates.push_back(this->estimate(candidate->id, ticket.demand.program));
    }
    const auto prompt = static_cast<double>(ticket.demand.promptTokens);
    const PredictedCompletion rule{CacheWeight};
    const std::size_t chosen = rule.choose(estimates, {prompt, UsualOutputTokens}, this->choiceState);
    ticket.endpoint = candidates[chosen]->id;
    ticket.uncachedTokens = std::max(0.0, prompt - estimates[chosen].cachedTokens);
    this->health.onSelected(ticket.endpoint, now);
    this->ask(id, ticket);
    return true;
}

void PermitBroker::ask(std::uint64_t id, Ticket &ticket)
{
    const EntryId entry = this->dispatcher(ticket.endpoint);
    ticket.toldTo = entry;
    ticket.told = false;
    if (entry == this->follower.self.id) {
        this->askHere(id, ticket);
        return;
    }
    RemoteLoad &load = this->remoteLoads[ticket.endpoint];
    load.inFlight += 1;
    load.backlog += this->callOf(ticket).expectedTokens;
    this->outboxes[entry].asks.push_back(id);
    this->schedule(entry);
}

void PermitBroker::askHere(std::uint64_t id, Ticket &ticket)
{
    const PermitKey key{this->follower.self.id, id};
    ticket.told = true;
    const ListedEndpoint *endpoint = this->listed(ticket.endpoint);
    this->ledger.setMaxInFlight(
        ticket.endpoint, inFlightBound(endpoint == nullptr ? ticket.demand.kind : endpoint->kind));
    if (ticket.running) {
        this->ledger.adopt(ticket.endpoint, key, this->callOf(ticket));
        return;
    }
    const PermitState state = this->ledger.ask(ticket.endpoint, key, this->callOf(ticket));
    if (state == PermitState::Running) {
        this->grant(id, false);
    } else if (state == PermitState::Shed) {
        this->refuse(id, ErrorKind::Overloaded, "the queue of the endpoint is full");
    }
    this->publishGrants();
}

void PermitBroker::grant(std::uint64_t id, bool fallback)
{
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.running) {
        return;
    }
    Ticket &ticket = found->second;
    ticket.running = true;
    ticket.fallback = fallback;
    constexpr std::uint64_t Highest = std::numeric_limits<std::int32_t>::max();
    // As in the queue: the program with the most service first.
    const auto priority = -static_cast<std::int32_t>(std::min(ticket.demand.attainedTokens, Highest));
    ticket.fulfiller->fulfill(
        kj::heap<PermitVerdict>(PermitVerdict{DispatchPermit{id, ticket.endpoint, priority}, std::nullopt}));
}

void PermitBroker::refuse(std::uint64_t id, ErrorKind kind, const std::string &what)
{
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.running) {
        return;
    }
    auto fulfiller = kj::mv(found->second.fulfiller);
    this->tickets.erase(found);
    const std::int64_t retryMs = kind == ErrorKind::DeadlineExceeded ? 0 : OverloadedRetryMs;
    fulfiller->fulfill(kj::heap<PermitVerdict>(PermitVerdict{{}, Error{kind, what, Ran::No, retryMs}}));
}

void PermitBroker::withdraw(std::uint64_t id, const Ticket &ticket)
{
    if (ticket.toldTo.empty()) {
        return;
    }
    if (ticket.toldTo == this->follower.self.id) {
        this->ledger.release(PermitKey{this->follower.self.id, id});
        this->publishGrants();
        return;
    }
    Outbox &outbox = this->outboxes[ticket.toldTo];
    std::erase(outbox.asks, id);
    outbox.releases[ticket.endpoint].push_back(id);
    this->schedule(ticket.toldTo);
}

void PermitBroker::release(const DispatchPermit &permit, const DispatchDemand &demand, const AttemptOutcome &outcome)
{
    const auto found = this->tickets.find(permit.id);
    if (found == this->tickets.end()) {
        return;
    }
    const Ticket ticket = std::move(found->second);
    this->tickets.erase(found);
    this->health.record(permit.endpoint, signOf(outcome), this->loop.timers().now());
    if (outcome.complete && demand.kind == EndpointKind::Engine) {
        const double held = static_cast<double>(demand.promptTokens + outcome.completionTokens);
        this->prefixes.setCachedTokens(permit.endpoint, demand.program, held);
    }
    if (ticket.fallback) {
        --this->fallbacks[ticket.endpoint];
    }
    const auto load = this->remoteLoads.find(ticket.endpoint);
    if (load != this->remoteLoads.end()) {
        load->second.inFlight = std::max(0.0, load->second.inFlight - 1);
        load->second.backlog = std::max(0.0, load->second.backlog - this->callOf(ticket).expectedTokens);
    }
    this->withdraw(permit.id, ticket);
}

void PermitBroker::useFallback(const std::vector<std::uint64_t> &ids)
{
    for (const std::uint64_t id : ids) {
        const auto found = this->tickets.find(id);
        if (found == this->tickets.end() || found->second.running || found->second.demand.isolated) {
            continue;
        }
        const std::size_t share =
            std::max<std::size_t>(1, inFlightBound(found->second.demand.kind) / this->liveEntries());
        std::size_t &used = this->fallbacks[found->second.endpoint];
        if (used < share) {
            ++used;
            this->grant(id, true);
        }
    }
}

void PermitBroker::setEndpoints(std::shared_ptr<const EndpointList> next)
{
    this->latest.store(std::move(next));
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
        if (this->dispatcher(endpoint) != this->follower.self.id) {
            this->ledger.drop(endpoint);
        }
    }
    std::erase_if(this->outboxes, [&](const auto &row) {
        return !leased.contains(row.first) && !row.second.busy;
    });
    this->publishGrants();
    this->tick();
}

void PermitBroker::tick()
{
    const Instant now = this->loop.timers().now();
    this->list = this->latest.load();
    std::vector<std::uint64_t> ids;
    ids.reserve(this->tickets.size());
    for (const auto &[id, ticket] : this->tickets) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        const auto found = this->tickets.find(id);
        if (found == this->tickets.end()) {
            continue;
        }
        Ticket &ticket = found->second;
        const bool lost = this->listed(ticket.endpoint) == nullptr || !this->health.usable(ticket.endpoint, now);
        if (!ticket.running && now >= ticket.deadline) {
            this->withdraw(id, ticket);
            this->refuse(id, ErrorKind::Overloaded, "no endpoint was free in time");
        } else if (!ticket.running && this->list->empty()) {
            continue;
        } else if (!ticket.running && lost && this->fitting(ticket.demand, now).empty()) {
            this->withdraw(id, ticket);
            this->refuse(id, ErrorKind::NoEndpoint, ticket.demand.name);
        } else if (!ticket.running && lost) {
            // Another permit id, so that a late grant of the old one can't be taken for the new one's.
            const std::uint64_t next = ++this->lastPermit;
            Ticket moved = std::move(ticket);
            this->tickets.erase(found);
            this->withdraw(id, moved);
            Ticket &kept = this->tickets[next] = std::move(moved);
            this->place(next, kept, now);
        } else if (ticket.toldTo != this->dispatcher(ticket.endpoint)) {
            this->ask(id, ticket);
        } else if ((!ticket.running || !ticket.told) && ticket.toldTo != this->follower.self.id) {
            std::vector<std::uint64_t> &asks = this->outboxes[ticket.toldTo].asks;
            if (std::find(asks.begin(), asks.end(), id) == asks.end()) {
                asks.push_back(id);
            }
        }
    }
    for (const auto &[entry, outbox] : this->outboxes) {
        if (!outbox.asks.empty() || !outbox.releases.empty()) {
            this->schedule(entry);
        }
    }
}

} // namespace Chestnuthook
