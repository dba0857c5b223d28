/** @file load_balancer_base.cpp  Endpoint selection: rendezvous hashing with bounded loads for requests with affinity,
 * otherwise the least loaded endpoint. */
#include "gateway/load_balancer_base.h"

#include <algorithm>

#include "core/hash_func.h"

namespace Chestnuthook
{

void LoadBalancer::setEndpoints(Instant now, const std::vector<DeployedEndpoint> &list)
{
    for (const auto &[service, ids] : this->idsByService) {
        for (const std::string &id : ids) {
            this->versions[service][this->states.at(id).endpoint.version] = now; // Listed until now.
        }
    }
    this->idsByService.clear();
    std::set<std::string> listed;
    for (const DeployedEndpoint &endpoint : list) {
        listed.insert(endpoint.id);
        State &state = this->states[endpoint.id];
        if (state.endpoint.address != endpoint.address) {
            State moved;
            moved.hasStatedLeaving = state.hasStatedLeaving;
            moved.leavingSince = state.leavingSince;
            state = moved;
        }
        state.endpoint = endpoint;
        state.wasListedReady = state.wasListedReady || !endpoint.leaving;
        if (!state.isLeaving()) {
            state.leavingSince.reset();
        } else if (!state.leavingSince) {
            state.leavingSince = now;
        }
        this->idsByService[endpoint.service].push_back(endpoint.id);
        this->versions[endpoint.service][endpoint.version] = now;
    }
    for (auto &[service, times] : this->versions) {
        std::erase_if(times, [now](const auto &entry) {
            return now - entry.second > VersionMemory;
        });
    }
    std::erase_if(this->versions, [](const auto &entry) {
        return entry.second.empty();
    });
    std::erase_if(this->states, [&listed](const auto &entry) {
        return !listed.contains(entry.first) && entry.second.inFlight == 0;
    });
}

bool LoadBalancer::recordLeaving(Instant now, const std::string &id)
{
    State &state = this->states[id];
    if (state.hasStatedLeaving) {
        return false;
    }
    state.hasStatedLeaving = true;
    state.leavingSince = state.leavingSince.value_or(now);
    return true;
}

bool LoadBalancer::isLastResort(Instant now, const State &state) const
{
    // The list is older than the drain period's start, so only half of the period is used.
    return state.wasListedReady && state.leavingSince && now - *state.leavingSince < this->drainPeriod / 2;
}

std::string LoadBalancer::commonVersion(Instant now, const std::string &service) const
{
    std::set<std::string> recent;
    if (const auto times = this->versions.find(service); times != this->versions.end()) {
        for (const auto &[version, lastListed] : times->second) {
            if (now - lastListed <= VersionMemory) {
                recent.insert(version);
            }
        }
    }
    if (const auto ids = this->idsByService.find(service); ids != this->idsByService.end()) {
        for (const std::string &id : ids->second) {
            recent.insert(this->states.at(id).endpoint.version);
        }
    }
    return recent.size() == 1 ? *recent.begin() : std::string();
}

bool LoadBalancer::isUsable(const std::string &id) const
{
    const auto state = this->states.find(id);
    if (state == this->states.end()) {
        return false;
    }
    const auto ids = this->idsByService.find(state->second.endpoint.service);
    return ids != this->idsByService.end() && !state->second.isLeaving()
        && std::find(ids->second.begin(), ids->second.end(), id) != ids->second.end();
}

double LoadBalancer::utilization(Instant now, const State &state)
{
    const double slots = std::max(1U, state.load.slots != 0 ? state.load.slots : state.endpoint.slots);
    double load = state.inFlight;
    if (state.loadReportedAt.us != 0 && now - state.loadReportedAt < LoadReportTtl) {
        const double startedSince =
            static_cast<double>(state.inFlight) - static_cast<double>(state.inFlightAtLoadReport);
        load = std::max(load, state.load.running + state.load.waiting + startedSince);
    }
    return load / slots;
}

bool LoadBalancer::hasVersion(const SelectionCriteria &criteria, const State &state)
{
    return !criteria.version || (!criteria.version->empty() && state.endpoint.version == *criteria.version);
}

void LoadBalancer::recordAtLimit(Instant now, const std::string &id)
{
    this->states[id].atLimitUntil = now + LimitBackoff;
}

bool LoadBalancer::hasAtLimit(Instant now, const SelectionCriteria &criteria, const std::set<std::string> &tried) const
{
    const auto ids = this->idsByService.find(criteria.service);
    return ids != this->idsByService.end() && std::ranges::any_of(ids->second, [&](const std::string &id) {
        const State &state = this->states.at(id);
        return state.atLimitUntil > now && hasVersion(criteria, state) && !tried.contains(id);
    });
}

const DeployedEndpoint *LoadBalancer::choose(
    Instant now, const SelectionCriteria &criteria, const std::set<std::string> &tried) const
{
    const auto ids = this->idsByService.find(criteria.service);
    if (ids == this->idsByService.end()) {
        return nullptr;
    }
    struct Candidate
    {
        const State *state = nullptr;
        bool unhealthy = false; ///< The endpoint is in backoff or ejected.
        double utilization = 0; ///< See LoadBalancer::utilization.
        std::uint64_t affinityHash = 0; ///< Rendezvous hash of endpoint and affinity; also breaks ties.
        bool isCold = false; ///< The endpoint is cold.
    };
    std::vector<Candidate> candidates;
    std::vector<Candidate> lastResorts;
    for (const std::string &id : ids->second) {
        const State &state = this->states.at(id);
        if (!hasVersion(criteria, state) || tried.contains(id) || state.atLimitUntil > now) {
            continue;
        }
        const bool unhealthy = std::max(state.backoffUntil, state.ejectedUntil) > now;
        const bool isCold = state.isCold(now);
        const std::uint64_t affinity = isCold && criteria.affinity == 0 ? this->salt : criteria.affinity;
        const Candidate candidate{&state, unhealthy, utilization(now, state), hash64(id, affinity), isCold};
        if (!state.isLeaving()) {
            candidates.push_back(candidate);
        } else if (this->isLastResort(now, state)) {
            lastResorts.push_back(candidate);
        }
    }
    if (candidates.empty()) {
        candidates = std::move(lastResorts);
    }
    if (candidates.empty()) {
        return nullptr;
    }
    if (criteria.affinity != 0) {
        std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
            return std::tuple(!a.isCold, a.affinityHash) > std::tuple(!b.isCold, b.affinityHash);
        });
        for (const Candidate &candidate : candidates) {
            if (!candidate.unhealthy && candidate.utilization < MaxAffinityUtilization) {
                return &candidate.state->endpoint;
            }
        }
    }
    const bool hasCold = std::ranges::any_of(candidates, &Candidate::isCold);
    const bool hasWarmRoom = hasCold && std::ranges::any_of(candidates, [](const Candidate &candidate) {
        return !candidate.isCold && !candidate.unhealthy && candidate.utilization < MaxWarmUtilization;
    });
    if (hasWarmRoom) {
        std::erase_if(candidates, [](const Candidate &candidate) {
            return candidate.isCold;
        });
    }
    const auto best =
        std::min_element(candidates.begin(), candidates.end(), [&](const Candidate &a, const Candidate &b) {
            const bool aRemote = a.state->endpoint.dataCentre != criteria.dataCentre;
            const bool bRemote = b.state->endpoint.dataCentre != criteria.dataCentre;
            return std::tuple(a.unhealthy, a.utilization, aRemote, a.affinityHash)
                < std::tuple(b.unhealthy, b.utilization, bRemote, b.affinityHash);
        });
    return &best->state->endpoint;
}

const DeployedEndpoint *LoadBalancer::findUsable(
    Instant now, const SelectionCriteria &criteria, const std::set<std::string> &tried, const std::string &id) const
{
    const auto found = this->states.find(id);
    if (found == this->states.end() || !this->isUsable(id)) {
        return nullptr;
    }
    const State &state = found->second;
    const bool isAvoided = std::max({state.backoffUntil, state.ejectedUntil, state.atLimitUntil}) > now;
    const bool isMeant =
        state.endpoint.service == criteria.service && hasVersion(criteria, state) && !tried.contains(id);
    return isMeant && !isAvoided ? &state.endpoint : nullptr;
}

const DeployedEndpoint *LoadBalancer::findCold(Instant now, const std::string &id) const
{
    const auto state = this->states.find(id);
    return state == this->states.end() || !state->second.isCold(now) ? nullptr : &state->second.endpoint;
}

std::size_t LoadBalancer::coldCount(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->states, [now](const auto &entry) {
        return entry.second.isCold(now);
    }));
}

std::string LoadBalancer::describeLoad(Instant now, const std::string &id) const
{
    const auto found = this->states.find(id);
    if (found == this->states.end()) {
        return "unknown";
    }
    const State &state = found->second;
    const std::int64_t age = state.loadReportedAt.us == 0 ? -1 : (now - state.loadReportedAt).count() / 1000;
    return std::to_string(state.inFlight) + "," + std::to_string(state.load.running) + ","
        + std::to_string(state.load.waiting) + "," + std::to_string(state.load.slots) + "," + std::to_string(age);
}

std::string LoadBalancer::describeLeaving(Instant now, const std::string &service) const
{
    std::string text;
    for (const auto &[id, state] : this->states) {
        if (state.endpoint.service == service && state.isLeaving() && state.leavingSince) {
            text += (text.empty() ? "" : ",") + id + ":" + std::to_string((now - *state.leavingSince).count() / 1000);
        }
    }
    return text;
}

bool LoadBalancer::recordCold(Instant now, const std::string &id, Duration left)
{
    State &state = this->states[id];
    const bool wasCold = state.isCold(now);
    state.coldUntil = now + left;
    return !wasCold && state.isCold(now);
}

void LoadBalancer::recordRequestStart(const std::string &id)
{
    ++this->states[id].inFlight;
}

void LoadBalancer::recordRequestEnd(const std::string &id)
{
    State &state = this->states[id];
    state.inFlight -= std::min(state.inFlight, 1U);
}

void LoadBalancer::recordLoad(Instant now, const std::string &id, const EndpointLoad &load)
{
    State &state = this->states[id];
    state.load = load;
    state.loadReportedAt = now;
    state.inFlightAtLoadReport = state.inFlight;
}

void LoadBalancer::recordFailure(Instant now, const std::string &id)
{
    State &state = this->states[id];
    state.backoffUntil = now + InitialBackoff * (1U << std::min(state.consecutiveFailures, MaxBackoffDoublings));
    ++state.consecutiveFailures;
    this->updateErrorRate(now, id, 1);
}

void LoadBalancer::recordSuccess(Instant now, const std::string &id)
{
    this->states[id].consecutiveFailures = 0;
    this->updateErrorRate(now, id, 0);
}

void LoadBalancer::recordError(Instant now, const std::string &id)
{
    this->updateErrorRate(now, id, 1);
}

void LoadBalancer::updateErrorRate(Instant now, const std::string &id, double failed)
{
    State &state = this->states[id];
    state.errorRate += ErrorRateWeight * (failed - state.errorRate);
    const auto ids = this->idsByService.find(state.endpoint.service);
    if (failed == 0 || state.errorRate < EjectionErrorRate || state.ejectedUntil > now
        || ids == this->idsByService.end()) {
        return;
    }
    std::vector<double> errorRates;
    std::size_t ejected = 0;
    for (const std::string &other : ids->second) {
        const State &otherState = this->states.at(other);
        if (!otherState.isLeaving()) {
            errorRates.push_back(otherState.errorRate);
            ejected += otherState.ejectedUntil > now ? 1 : 0;
        }
    }
    if (errorRates.empty()) {
        return;
    }
    const auto median = errorRates.begin() + static_cast<std::ptrdiff_t>(errorRates.size() / 2);
    std::nth_element(errorRates.begin(), median, errorRates.end());
    const bool mayEject =
        static_cast<double>(ejected + 1) <= MaxEjectedFraction * static_cast<double>(errorRates.size());
    if (mayEject && state.errorRate > EjectionOutlierRatio * *median) {
        state.ejectedUntil = now + EjectionTime;
        state.errorRate = EjectionErrorRate / 2; // After its return, a few failures are enough to eject it again.
    }
}

void LoadBalancer::recordOverload(Instant now, const std::string &id)
{
    this->states[id].backoffUntil = now + OverloadBackoff;
}

} // namespace Chestnuthook
