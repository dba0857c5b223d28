/** @file endpoint_pool_base.cpp  Decides which endpoint of a pool serves which turn, and which turns wait. */
#include "dispatch/endpoint_pool_base.h"

#include <algorithm>

namespace Chestnuthook
{

namespace
{

Duration turnTime(const PoolParameters &parameters, const TurnRequest &request, unsigned running)
{
    const std::uint32_t tokens = request.expectedTokens > 0 ? request.expectedTokens : parameters.usualOutputTokens;
    const double ms = parameters.firstEventMs + request.promptTokens / parameters.readTokensPerMs
        + tokens * (parameters.stepMs + running * parameters.stepMsPerNeighbour);
    return Duration(static_cast<std::int64_t>(ms * 1000));
}

bool isAllowed(const PoolEndpoint &endpoint, const TurnRequest &request)
{
    return endpoint.isUsable && (request.version.empty() || request.version == endpoint.version)
        && std::find(request.excluded.begin(), request.excluded.end(), endpoint.id) == request.excluded.end();
}

} // namespace

void EndpointPool::setEndpoints(Instant /*now*/, std::span<const PoolEndpoint> list)
{
    std::map<std::string, Row> next;
    for (const PoolEndpoint &endpoint : list) {
        Row &row = next[endpoint.id];
        const auto known = this->rows.find(endpoint.id);
        if (known != this->rows.end()) {
            row = known->second;
        }
        row.endpoint = endpoint;
    }
    this->rows = std::move(next);
}

void EndpointPool::setParameters(const PoolParameters &given)
{
    this->parameters = given;
}

TurnDecision EndpointPool::decide(const TurnRequest &request)
{
    TurnDecision decision{request.ticket, request.holder, TurnVerdict::Waiting, {}, {}, {}, "no free slot"};
    Row *best = nullptr;
    for (auto &[id, row] : this->rows) {
        if (isAllowed(row.endpoint, request) && row.running < row.endpoint.slots
            && (best == nullptr || row.running * best->endpoint.slots < best->running * row.endpoint.slots)) {
            best = &row;
        }
    }
    if (best == nullptr) {
        return decision;
    }
    decision.predictedTime = turnTime(this->parameters, request, best->running);
    ++best->running;
    best->tokens += request.promptTokens + request.expectedTokens;
    decision.verdict = TurnVerdict::Granted;
    decision.endpoint = best->endpoint.id;
    decision.reason = "free slot";
    this->granted[{request.holder, request.ticket}] = Granted{request, best->endpoint.id};
    return decision;
}

TurnDecision EndpointPool::submit(Instant now, TurnRequest request)
{
    const auto known = this->granted.find({request.holder, request.ticket});
    if (known != this->granted.end()) {
        return {request.ticket, request.holder, TurnVerdict::Granted, known->second.endpoint, {}, {}, "sent again"};
    }
    if (now >= request.deadline) {
        return {request.ticket, request.holder, TurnVerdict::Refused, {}, {}, {}, "past its deadline"};
    }
    std::erase_if(this->waiting, [&](const TurnRequest &other) {
        return other.holder == request.holder && other.ticket == request.ticket;
    });
    TurnDecision decision = this->decide(request);
    if (decision.verdict == TurnVerdict::Waiting) {
        this->waiting.push_back(std::move(request));
    }
    return decision;
}

std::vector<TurnDecision> EndpointPool::takeGrants(Instant now)
{
    std::vector<TurnDecision> result;
    std::vector<TurnRequest> still;
    for (TurnRequest &request : this->waiting) {
        if (now >= request.deadline) {
            result.push_back({request.ticket, request.holder, TurnVerdict::Refused, {}, {}, {}, "past its deadline"});
            continue;
        }
        TurnDecision decision = this->decide(request);
        if (decision.verdict == TurnVerdict::Waiting) {
            still.push_back(std::move(request));
        } else {
            result.push_back(std::move(decision));
        }
    }
    this->waiting = std::move(still);
    return result;
}

void EndpointPool::release(Instant now, const TurnOutcome &outcome)
{
    this->cancel(now, outcome.holder, outcome.ticket);
}

void EndpointPool::cancel(Instant /*now*/, const std::string &holder, std::uint64_t ticket)
{
    std::erase_if(this->waiting, [&](const TurnRequest &other) {
        return other.holder == holder && other.ticket == ticket;
    });
    const auto known = this->granted.find({holder, ticket});
    if (known == this->granted.end()) {
        return;
    }
    const auto row = this->rows.find(known->second.endpoint);
    if (row != this->rows.end() && row->second.running > 0) {
        --row->second.running;
        const std::uint64_t tokens = known->second.request.promptTokens + known->second.request.expectedTokens;
        row->second.tokens -= std::min(row->second.tokens, tokens);
    }
    this->granted.erase(known);
}

void EndpointPool::adopt(Instant now, const TurnRequest &request, const std::string &endpoint)
{
    this->cancel(now, request.holder, request.ticket);
    const auto row = this->rows.find(endpoint);
    if (row != this->rows.end()) {
        ++row->second.running;
        row->second.tokens += request.promptTokens + request.expectedTokens;
    }
    this->granted[{request.holder, request.ticket}] = Granted{request, endpoint};
}

void EndpointPool::dropHolder(Instant now, const std::string &holder)
{
    std::erase_if(this->waiting, [&](const TurnRequest &other) {
        return other.holder == holder;
    });
    std::vector<std::uint64_t> tickets;
    for (const auto &[key, turn] : this->granted) {
        if (key.first == holder) {
            tickets.push_back(key.second);
        }
    }
    for (const std::uint64_t ticket : tickets) {
        this->cancel(now, holder, ticket);
    }
}

void EndpointPool::recordLoad(Instant /*now*/, const std::string & /*endpoint*/, const ReportedLoad & /*load*/)
{
}

std::vector<EndpointForecast> EndpointPool::forecast(Instant /*now*/, const TurnRequest &request) const
{
    std::vector<EndpointForecast> result;
    for (const auto &[id, row] : this->rows) {
        EndpointForecast forecast;
        forecast.endpoint = id;
        forecast.isAllowed = isAllowed(row.endpoint, request);
        forecast.running = row.running;
        forecast.usedTokens = row.tokens;
        forecast.isFree = forecast.isAllowed && row.running < row.endpoint.slots;
        forecast.predictedTime = turnTime(this->parameters, request, row.running);
        forecast.reason = forecast.isFree ? "free slot" : "no free slot";
        result.push_back(std::move(forecast));
    }
    return result;
}

std::size_t EndpointPool::waitingCount() const
{
    return this->waiting.size();
}

std::size_t EndpointPool::runningCount() const
{
    return this->granted.size();
}

} // namespace Chestnuthook
