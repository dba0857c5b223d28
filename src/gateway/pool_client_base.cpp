/** @file pool_client_base.cpp  Calls the owners of pools, with time-outs after which the gateway chooses by itself. */
#include "gateway/pool_client_base.h"

#include <algorithm>
#include <utility>

#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr unsigned TicketTimeBits = 20; ///< Tickets of one millisecond.

std::string millisecondsOf(Duration duration)
{
    return std::to_string(duration.count() / 1000);
}

Wire::EndpointDispatch::Client dispatchOf(const RpcLink::ConnectionPtr &connection)
{
    return RpcLink::servicesOf(connection).peer.castAs<Wire::EndpointDispatch>();
}

} // namespace

PoolGrant::~PoolGrant()
{
    if (!this->isReleased) {
        this->client.finish(this->ticket, PoolClient::Report::Kind::Cancel, {});
    }
}

void PoolGrant::release(TurnOutcome outcome)
{
    if (!std::exchange(this->isReleased, true)) {
        this->client.finish(this->ticket, PoolClient::Report::Kind::Release, std::move(outcome));
    }
}

PoolClient::PoolClient(ControlLoop &loop, std::string ownName, EndpointPools &pools, PoolOwner &owner)
    : loop(loop)
    , ownName(std::move(ownName))
    , pools(pools)
    , owner(owner)
    , lastTicket(static_cast<std::uint64_t>(wallMsNow()) << TicketTimeBits)
{
}

PoolPlacement PoolClient::place(kj::WaitScope &scope, const PoolQuery &query)
{
    std::vector<std::string> order; // Copied: the lists may change while a call is under way.
    for (const PoolInfo *pool : this->pools.order(query.service, query.dataCentre, query.affinity)) {
        order.push_back(pool->id);
    }
    if (order.empty()) {
        return this->conclude(query, {}, PoolPlacement::Kind::Unplaced, "no pool");
    }
    Asked first = this->ask(scope, order.front(), query);
    if (first.grant == nullptr) {
        const std::string_view reason = first.failure;
        return this->conclude(query, std::move(first), PoolPlacement::Kind::Unplaced, reason);
    }
    const bool isLongWait = first.is(TurnVerdict::Waiting) && first.answer.predictedWait > MaxFirstWait;
    if (order.size() > 1 && (isLongWait || first.is(TurnVerdict::Refused) || !first.answer.verdict)) {
        Asked second = this->ask(scope, order[1], query);
        const bool isBetter = second.is(TurnVerdict::Granted)
            || (second.is(TurnVerdict::Waiting)
                && (!first.is(TurnVerdict::Waiting) || second.predictedEnd() < first.predictedEnd()));
        if (isBetter) {
            std::swap(first, second);
        }
    }
    if (first.is(TurnVerdict::Granted)) {
        return this->conclude(query, std::move(first), PoolPlacement::Kind::Granted, {});
    }
    if (first.is(TurnVerdict::Refused)) {
        return this->conclude(query, std::move(first), PoolPlacement::Kind::Refused, {});
    }
    if (!first.answer.verdict) {
        return this->conclude(query, std::move(first), PoolPlacement::Kind::Unplaced, {});
    }
    return this->awaitGrant(scope, query, std::move(first));
}

PoolPlacement PoolClient::awaitGrant(kj::WaitScope &scope, const PoolQuery &query, Asked asked)
{
    metrics().add(MetricKind::PoolWaits);
    const Instant start = this->now();
    const std::uint64_t ticket = asked.grant->id();
    const Instant lastStart = query.turn.deadline - MinUsefulTime - asked.answer.predictedTime;
    PoolPlacement::Kind kind = PoolPlacement::Kind::Unplaced;
    std::string_view reason = "its wait is too long for its deadline";
    while (this->now() < lastStart) {
        const Duration wait = std::min<Duration>(AwaitTime, lastStart - this->now());
        Reply reply = this->callAwait(asked.owner, asked.poolId, ticket, wait).wait(scope);
        if (reply == nullptr) {
            this->recordFailure(asked.owner, "no answer to a turn that waits");
            reason = "the owner didn't answer";
            break;
        }
        PoolAnswer &answer = *reply;
        if (!answer.verdict) {
            reason = "the owner has forgotten the turn";
            break;
        }
        if (*answer.verdict != TurnVerdict::Waiting) {
            kind =
                *answer.verdict == TurnVerdict::Granted ? PoolPlacement::Kind::Granted : PoolPlacement::Kind::Refused;
            asked.answer = std::move(answer);
            reason = {};
            break;
        }
    }
    return this->conclude(query, std::move(asked), kind, reason, this->now() - start);
}

PoolPlacement PoolClient::conclude(
    const PoolQuery &query, Asked asked, PoolPlacement::Kind kind, std::string_view reason, Duration waited)
{
    PoolPlacement placement;
    placement.kind = kind;
    std::string_view verdict = "none";
    switch (kind) {
    case PoolPlacement::Kind::Granted:
        metrics().add(MetricKind::PoolGrants);
        verdict = "granted";
        placement.endpoint = asked.answer.endpoint;
        if (const auto found = this->held.find(asked.grant->id()); found != this->held.end()) {
            found->second.endpoint = placement.endpoint;
        }
        placement.grant = std::move(asked.grant);
        break;
    case PoolPlacement::Kind::Refused:
        metrics().add(MetricKind::PoolRefusals);
        verdict = "refused";
        placement.retryAfter = asked.answer.predictedWait;
        break;
    case PoolPlacement::Kind::Unplaced:
        break;
    }
    logEvent(EventKind::PoolDecided,
        {{"request", query.requestId}, {"pool", asked.poolId}, {"owner", asked.owner},
            {"verdict", std::string(verdict)}, {"endpoint", placement.endpoint},
            {"wait_ms", millisecondsOf(asked.answer.predictedWait)},
            {"time_ms", millisecondsOf(asked.answer.predictedTime)}, {"waited_ms", millisecondsOf(waited)},
            {"reason", reason.empty() ? asked.answer.reason : std::string(reason)}});
    return placement;
}

PoolClient::Asked PoolClient::ask(kj::WaitScope &scope, const std::string &poolId, const PoolQuery &query)
{
    Asked asked;
    asked.poolId = poolId;
    const PoolInfo *pool = this->pools.find(poolId);
    if (pool == nullptr || pool->owner.empty()) {
        asked.failure = "the pool has no owner";
        return asked;
    }
    asked.owner = pool->owner;
    Held turn;
    turn.pool = poolId;
    turn.owner = asked.owner;
    turn.request = query.turn;
    turn.request.ticket = ++this->lastTicket;
    turn.request.holder = this->ownName;
    if (asked.owner == this->ownName) {
        const std::optional<PoolAnswer> answer = this->owner.acquire(poolId, turn.request);
        if (!answer) {
            asked.failure = "the owner doesn't know the pool";
            return asked;
        }
        asked.answer = *answer;
        asked.grant = std::make_unique<PoolGrant>(*this, turn.request.ticket);
        this->held.emplace(turn.request.ticket, std::move(turn));
        return asked;
    }
    if (!this->pools.mayAsk(this->now(), asked.owner)) {
        asked.failure = "the owner doesn't answer at present";
        return asked;
    }
    const TurnRequest request = turn.request;
    this->held.emplace(request.ticket, std::move(turn));
    auto grant = std::make_unique<PoolGrant>(*this, request.ticket);
    const std::string name = asked.owner; // `asked` may be moved before the deferred call.
    this->pools.recordAsked(name);
    KJ_DEFER(this->pools.recordEnded(name));
    Reply reply = this->callAcquire(asked.owner, poolId, request).wait(scope);
    if (reply != nullptr) {
        this->pools.recordAnswer(asked.owner);
        asked.answer = std::move(*reply);
        asked.grant = std::move(grant);
    } else {
        this->recordFailure(asked.owner, "no answer to a turn");
        asked.failure = "the owner didn't answer";
    }
    return asked;
}

void PoolClient::recordFailure(const std::string &name, std::string_view reason)
{
    this->pools.recordFailure(this->now(), name);
    logEvent(EventKind::PoolOwnerFailed, {{"owner", name}, {"reason", std::string(reason)}});
    const auto peer = this->peers.find(name);
    if (peer != this->peers.end() && this->now() - peer->second.lastAnswer >= LinkTimeout) {
        peer->second.link->reset();
        peer->second.lastAnswer = this->now();
    }
}

std::shared_ptr<RpcLink> PoolClient::linkTo(const std::string &name)
{
    const InstanceInfo *gateway = this->pools.gateway(name);
    Peer &peer = this->peers[name];
    if (gateway != nullptr && (peer.link == nullptr || peer.link->peerAddress() != gateway->rpcAddress)) {
        peer.link = std::make_shared<RpcLink>(this->loop.rpc(), gateway->rpcAddress);
        peer.lastAnswer = this->now();
    }
    return peer.link;
}

kj::Promise<PoolClient::Reply> PoolClient::limit(const std::string &name, kj::Promise<Reply> answered, Duration timeout)
{
    const std::shared_ptr<RpcLink> link = this->linkTo(name);
    auto late = this->loop.kjTimer().afterDelay(kjDuration(timeout)).then([]() {
        return Reply();
    });
    return answered
        .then([this, name](Reply &&reply) {
            this->peers[name].lastAnswer = this->now();
            return kj::mv(reply);
        })
        .catch_([link](kj::Exception &&exception) {
            if (link != nullptr && exception.getType() == kj::Exception::Type::DISCONNECTED) {
                link->reset();
            }
            return Reply();
        })
        .exclusiveJoin(kj::mv(late));
}

kj::Promise<PoolClient::Reply> PoolClient::callAcquire(
    const std::string &name, const std::string &pool, const TurnRequest &request)
{
    const std::shared_ptr<RpcLink> link = this->linkTo(name);
    if (link == nullptr) {
        return Reply();
    }
    auto answered = link->connection().then([this, pool, request](RpcLink::ConnectionPtr &&used) -> kj::Promise<Reply> {
        auto call = dispatchOf(used).acquireRequest();
        call.setPool(wireText(pool));
        call.setSender(wireText(this->ownName));
        writeTurn(call.initTurn(), this->now(), request);
        return call.send()
            .then([](auto &&response) {
                return std::make_unique<PoolAnswer>(readAnswer(response.getDecision()));
            })
            .attach(std::move(used));
    });
    return this->limit(name, kj::mv(answered), AcquireTimeout);
}

kj::Promise<PoolClient::Reply> PoolClient::callAwait(
    const std::string &name, const std::string &pool, std::uint64_t ticket, Duration wait)
{
    if (name == this->ownName) {
        return this->owner.await(pool, name, ticket, wait).then([](PoolAnswer &&answer) {
            return std::make_unique<PoolAnswer>(std::move(answer));
        });
    }
    const std::shared_ptr<RpcLink> link = this->linkTo(name);
    if (link == nullptr) {
        return Reply();
    }
    auto answered =
        link->connection().then([this, pool, ticket, wait](RpcLink::ConnectionPtr &&used) -> kj::Promise<Reply> {
            auto call = dispatchOf(used).awaitRequest();
            call.setPool(wireText(pool));
            call.setSender(wireText(this->ownName));
            call.setTicket(ticket);
            call.setWaitMs(static_cast<std::uint32_t>(wait.count() / 1000));
            return call.send()
                .then([](auto &&response) {
                    return std::make_unique<PoolAnswer>(readAnswer(response.getDecision()));
                })
                .attach(std::move(used));
        });
    return this->limit(name, kj::mv(answered), wait + AcquireTimeout);
}

void PoolClient::finish(std::uint64_t ticket, Report::Kind kind, TurnOutcome outcome)
{
    const auto found = this->held.find(ticket);
    if (found == this->held.end()) {
        return;
    }
    const Held turn = std::move(found->second);
    this->held.erase(found);
    Report report;
    report.kind = kind;
    report.pool = turn.pool;
    report.outcome = std::move(outcome);
    report.outcome.ticket = ticket;
    report.outcome.holder = this->ownName;
    this->report(turn.owner, std::move(report));
}

void PoolClient::applyReport(const Report &report)
{
    switch (report.kind) {
    case Report::Kind::Release:
        this->owner.release(report.pool, {report.outcome});
        break;
    case Report::Kind::Cancel:
        this->owner.cancel(report.pool, this->ownName, {report.outcome.ticket});
        break;
    case Report::Kind::Adopt:
        this->owner.adopt(report.pool, {report.adopted});
        break;
    }
}

void PoolClient::report(const std::string &name, Report report)
{
    if (name == this->ownName) {
        this->applyReport(report);
        return;
    }
    Peer &peer = this->peers[name];
    if (peer.reports.size() >= MaxQueuedReports) {
        return; // What the owner isn't told of expires there.
    }
    peer.reports.push_back(std::move(report));
    if (!std::exchange(peer.isSending, true)) {
        // The reports of one turn of the event loop are sent together, and those made while a call is under way.
        this->loop.detach(kj::evalLater([this, name]() {
            this->sendReports(name);
        }));
    }
}

void PoolClient::sendReports(const std::string &name)
{
    const std::shared_ptr<RpcLink> link = this->linkTo(name);
    Peer &peer = this->peers[name];
    std::vector<Report> reports = std::exchange(peer.reports, {});
    if (reports.empty() || link == nullptr) {
        peer.isSending = false;
        return;
    }
    auto late = this->loop.kjTimer().afterDelay(kjDuration(ReportTimeout));
    this->loop.detach(this->callReports(link, std::move(reports))
                          .catch_([link](kj::Exception &&exception) {
                              if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
                                  link->reset();
                              }
                          })
                          .exclusiveJoin(kj::mv(late))
                          .then([this, name]() {
                              this->sendReports(name);
                          }));
}

kj::Promise<void> PoolClient::callReports(const std::shared_ptr<RpcLink> &link, std::vector<Report> reports) const
{
    return link->connection().then([this, reports = std::move(reports)](RpcLink::ConnectionPtr &&used) {
        std::map<std::pair<std::string, Report::Kind>, std::vector<const Report *>> groups;
        for (const Report &report : reports) {
            groups[{report.pool, report.kind}].push_back(&report);
        }
        auto calls = kj::heapArrayBuilder<kj::Promise<void>>(groups.size());
        Wire::EndpointDispatch::Client dispatch = dispatchOf(used);
        for (const auto &[key, list] : groups) {
            const auto &[pool, kind] = key;
            const auto count = static_cast<unsigned>(list.size());
            const auto describe = [this, &pool = pool](auto &call) {
                call.setPool(wireText(pool));
                call.setSender(wireText(this->ownName));
            };
            switch (kind) {
            case Report::Kind::Release: {
                auto call = dispatch.releaseRequest();
                describe(call);
                auto outcomes = call.initOutcomes(count);
                for (unsigned i = 0; i < count; ++i) {
                    writeOutcome(outcomes[i], list[i]->outcome);
                }
                calls.add(call.send().ignoreResult());
                break;
            }
            case Report::Kind::Cancel: {
                auto call = dispatch.cancelRequest();
                describe(call);
                auto tickets = call.initTickets(count);
                for (unsigned i = 0; i < count; ++i) {
                    tickets.set(i, list[i]->outcome.ticket);
                }
                calls.add(call.send().ignoreResult());
                break;
            }
            case Report::Kind::Adopt: {
                auto call = dispatch.adoptRequest();
                describe(call);
                auto turns = call.initTurns(count);
                for (unsigned i = 0; i < count; ++i) {
                    writeTurn(turns[i].initTurn(), this->now(), list[i]->adopted.request);
                    turns[i].setEndpoint(wireText(list[i]->adopted.endpoint));
                }
                calls.add(call.send().ignoreResult());
                break;
            }
            }
        }
        return kj::joinPromises(calls.finish()).attach(std::move(used));
    });
}

void PoolClient::applyOwnerChanges(const std::vector<PoolOwnerChange> &changes)
{
    for (const PoolOwnerChange &change : changes) {
        if (change.after.empty()) {
            continue;
        }
        for (auto &[ticket, turn] : this->held) {
            if (turn.pool != change.pool || turn.endpoint.empty()) {
                continue; // A turn that waits stays with its owner, who may still grant it.
            }
            turn.owner = change.after;
            Report adoption;
            adoption.kind = Report::Kind::Adopt;
            adoption.pool = turn.pool;
            adoption.outcome.ticket = ticket;
            adoption.adopted = AdoptedTurn{turn.request, turn.endpoint};
            this->report(turn.owner, std::move(adoption));
        }
    }
}

void PoolClient::dropUnusedLinks()
{
    std::erase_if(this->peers, [this](const auto &entry) {
        return !entry.second.isSending && this->pools.gateway(entry.first) == nullptr;
    });
}

void PoolClient::prepare(const std::string &service)
{
    for (const auto &[id, pool] : this->pools.all()) {
        if (pool.service != service || pool.owner.empty() || pool.owner == this->ownName) {
            continue;
        }
        if (const std::shared_ptr<RpcLink> link = this->linkTo(pool.owner)) {
            this->loop.detach(link->connection()
                                  .ignoreResult()
                                  .catch_([](kj::Exception && /*e*/) {
                                      // The first request finds out.
                                  })
                                  .attach(link));
        }
    }
}

} // namespace Chestnuthook
