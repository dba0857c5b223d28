/** @file pool_owner_base.cpp  Places turns in owned pools and hands out grants. */
#include "gateway/pool_owner_base.h"

#include <algorithm>

namespace Chestnuthook
{

PoolOwner::PoolOwner(ControlLoop &loop, const EndpointPools &pools, Describe describe)
    : loop(loop)
    , pools(pools)
    , describe(std::move(describe))
{
}

void PoolOwner::describePool(OwnedPool &pool, const PoolInfo &info)
{
    const Description description = this->describe(info);
    pool.pool.setParameters(description.parameters);
    pool.pool.setEndpoints(this->now(), description.endpoints);
    pool.refreshedAt = this->now();
    pool.hasUsable = std::ranges::any_of(description.endpoints, &PoolEndpoint::isUsable);
}

PoolOwner::OwnedPool *PoolOwner::findOpen(const std::string &id)
{
    const auto found = this->owned.find(id);
    if (found == this->owned.end()) {
        return nullptr;
    }
    found->second.lastUse = this->now();
    return &found->second;
}

PoolOwner::OwnedPool *PoolOwner::open(const std::string &id)
{
    const PoolInfo *info = this->pools.find(id);
    if (info == nullptr) {
        return nullptr;
    }
    const auto [entry, isNew] = this->owned.try_emplace(id);
    OwnedPool &pool = entry->second;
    pool.lastUse = this->now();
    if (isNew || this->now() - pool.refreshedAt >= RefreshInterval) {
        this->describePool(pool, *info);
    }
    return &pool;
}

std::optional<PoolAnswer> PoolOwner::acquire(const std::string &pool, TurnRequest request)
{
    OwnedPool *opened = this->open(pool);
    if (opened == nullptr) {
        return std::nullopt;
    }
    if (!opened->hasUsable) {
        PoolAnswer answer;
        answer.reason = "no endpoint of the pool is usable";
        return answer;
    }
    opened->holders.insert(request.holder);
    opened->totals.complete(this->now(), request);
    const TurnDecision decision = opened->pool.submit(this->now(), request);
    if (decision.verdict == TurnVerdict::Waiting) {
        opened->waiting.insert({request.holder, request.ticket});
        this->startTimer();
    }
    return answerOf(decision);
}

kj::Promise<PoolAnswer> PoolOwner::await(
    const std::string &pool, const std::string &holder, std::uint64_t ticket, Duration wait)
{
    OwnedPool *opened = this->findOpen(pool);
    const TurnKey key{holder, ticket};
    if (opened == nullptr) {
        return PoolAnswer{};
    }
    if (const auto found = opened->unfetched.find(key); found != opened->unfetched.end()) {
        const PoolAnswer answer = answerOf(found->second.decision);
        opened->unfetched.erase(found);
        return answer;
    }
    if (!opened->waiting.contains(key)) {
        return PoolAnswer{};
    }
    auto paf = kj::newPromiseAndFulfiller<PoolAnswer>();
    opened->calls[key] = kj::mv(paf.fulfiller);
    auto late = this->loop.kjTimer().afterDelay(kjDuration(std::clamp(wait, Duration(0), MaxAwait))).then([]() {
        PoolAnswer answer;
        answer.verdict = TurnVerdict::Waiting;
        return answer;
    });
    return paf.promise.exclusiveJoin(kj::mv(late));
}

void PoolOwner::release(const std::string &pool, const std::vector<TurnOutcome> &outcomes)
{
    if (OwnedPool *opened = this->findOpen(pool)) {
        for (const TurnOutcome &outcome : outcomes) {
            opened->pool.release(this->now(), outcome);
        }
        this->settle(*opened);
    }
}

void PoolOwner::cancel(const std::string &pool, const std::string &holder, const std::vector<std::uint64_t> &tickets)
{
    if (OwnedPool *opened = this->findOpen(pool)) {
        for (const std::uint64_t ticket : tickets) {
            const TurnKey key{holder, ticket};
            opened->pool.cancel(this->now(), holder, ticket);
            opened->waiting.erase(key);
            opened->unfetched.erase(key);
            opened->calls.erase(key);
        }
        this->settle(*opened);
    }
}

void PoolOwner::adopt(const std::string &pool, const std::vector<AdoptedTurn> &turns)
{
    if (OwnedPool *opened = this->open(pool)) {
        for (const AdoptedTurn &turn : turns) {
            opened->holders.insert(turn.request.holder);
            opened->pool.adopt(this->now(), turn.request, turn.endpoint);
        }
    }
}

std::optional<std::vector<EndpointForecast>> PoolOwner::explain(const std::string &pool, const TurnRequest &request)
{
    const OwnedPool *opened = this->open(pool);
    return opened == nullptr ? std::nullopt : std::optional(opened->pool.forecast(this->now(), request));
}

void PoolOwner::retainHolders(const std::set<std::string> &holders)
{
    for (auto &[id, pool] : this->owned) {
        std::vector<std::string> gone;
        std::ranges::copy_if(pool.holders, std::back_inserter(gone), [&holders](const std::string &holder) {
            return !holders.contains(holder);
        });
        const auto isGone = [&gone](const auto &entry) {
            return std::ranges::find(gone, entry.first.first) != gone.end();
        };
        for (const std::string &holder : gone) {
            pool.pool.dropHolder(this->now(), holder);
            pool.holders.erase(holder);
        }
        if (!gone.empty()) {
            std::erase_if(pool.waiting, [&gone](const TurnKey &key) {
                return std::ranges::find(gone, key.first) != gone.end();
            });
            std::erase_if(pool.unfetched, isGone);
            std::erase_if(pool.calls, isGone);
            this->settle(pool);
        }
    }
}

void PoolOwner::refresh()
{
    std::erase_if(this->owned, [this](const auto &entry) {
        return entry.second.waiting.empty() && this->now() - entry.second.lastUse >= IdleTtl;
    });
    for (auto &[id, pool] : this->owned) {
        if (const PoolInfo *info = this->pools.find(id)) {
            this->describePool(pool, *info);
        } else {
            pool.pool.setEndpoints(this->now(), {}); // Its endpoints are gone; what waits is refused in time.
        }
        this->settle(pool);
    }
}

void PoolOwner::settle(OwnedPool &pool)
{
    for (const TurnDecision &decision : pool.pool.takeGrants(this->now())) {
        const TurnKey key{decision.holder, decision.ticket};
        pool.waiting.erase(key);
        const auto call = pool.calls.find(key);
        if (call != pool.calls.end() && call->second->isWaiting()) {
            call->second->fulfill(answerOf(decision));
        } else {
            pool.unfetched[key] = Unfetched{decision, this->now()};
        }
        if (call != pool.calls.end()) {
            pool.calls.erase(call);
        }
    }
    std::vector<TurnKey> late;
    for (const auto &[key, entry] : pool.unfetched) {
        if (this->now() - entry.decidedAt >= UnfetchedTtl) {
            late.push_back(key);
        }
    }
    for (const TurnKey &key : late) {
        pool.unfetched.erase(key);
        pool.pool.cancel(this->now(), key.first, key.second);
    }
}

void PoolOwner::tick()
{
    bool isNeeded = false;
    for (auto &[id, pool] : this->owned) {
        if (!pool.waiting.empty() || !pool.unfetched.empty()) {
            this->settle(pool);
            isNeeded = isNeeded || !pool.waiting.empty() || !pool.unfetched.empty();
        }
    }
    if (!isNeeded) {
        this->grantTimer.cancel();
    }
}

void PoolOwner::startTimer()
{
    if (!this->grantTimer.active()) {
        this->grantTimer = this->loop.timers().every(GrantInterval, [this]() {
            this->tick();
        });
    }
}

} // namespace Chestnuthook
