/** @file endpoint_board_base.cpp  Choice of an endpoint: rendezvous hashing with bounded load, else the least loaded.
 */
#include "gateway/endpoint_board_base.h"

#include <algorithm>

#include "core/hash_func.h"

namespace Chestnuthook
{

void EndpointBoard::setList(const std::vector<DeployedEndpoint> &list)
{
    this->idsByService.clear();
    std::set<std::string> listed;
    for (const DeployedEndpoint &endpoint : list) {
        listed.insert(endpoint.id);
        State &state = this->states[endpoint.id];
        if (state.listed.address != endpoint.address) {
            state = State();
        }
        state.listed = endpoint;
        if (!endpoint.leaving) {
            this->idsByService[endpoint.service].push_back(endpoint.id);
        }
    }
    std::erase_if(this->states, [&listed](const auto &row) {
        return !listed.contains(row.first) && row.second.inFlight == 0;
    });
}

bool EndpointBoard::isUsable(const std::string &id) const
{
    const auto state = this->states.find(id);
    if (state == this->states.end()) {
        return false;
    }
    const auto ids = this->idsByService.find(state->second.listed.service);
    return ids != this->idsByService.end()
        && std::find(ids->second.begin(), ids->second.end(), id) != ids->second.end();
}

double EndpointBoard::fillOf(Instant now, const State &state)
{
    const double slots = std::max(1U, state.load.slots != 0 ? state.load.slots : state.listed.slots);
    double taken = state.inFlight;
    if (state.loadTold.us != 0 && now - state.loadTold < LoadLife) {
        const double since = static_cast<double>(state.inFlight) - static_cast<double>(state.inFlightThen);
        taken = std::max(taken, state.load.running + state.load.waiting + since);
    }
    return taken / slots;
}

const DeployedEndpoint *EndpointBoard::choose(
    Instant now, const PlacementWish &wish, const std::set<std::string> &tried) const
{
    const auto ids = this->idsByService.find(wish.service);
    if (ids == this->idsByService.end()) {
        return nullptr;
    }
    struct Candidate
    {
        const State *state = nullptr; ///< The endpoint.
        bool avoided = false; ///< It failed or refused lately.
        double fill = 0; ///< Part of its slots that is taken.
        std::uint64_t rank = 0; ///< By the affinity; spreads equals where there is none.
    };
    std::vector<Candidate> candidates;
    for (const std::string &id : ids->second) {
        if (!tried.contains(id)) {
            const State &state = this->states.at(id);
            const bool avoided = std::max(state.avoidUntil, state.ejectedUntil) > now;
            candidates.push_back({&state, avoided, fillOf(now, state), hash64(id, wish.affinity)});
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    if (wish.affinity != 0) {
        std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
            return a.rank > b.rank;
        });
        for (const Candidate &one : candidates) {
            if (!one.avoided && one.fill < AffinityFill) {
                return &one.state->listed;
            }
        }
    }
    const auto best =
        std::min_element(candidates.begin(), candidates.end(), [&](const Candidate &a, const Candidate &b) {
            const bool aFar = a.state->listed.dataCentre != wish.dataCentre;
            const bool bFar = b.state->listed.dataCentre != wish.dataCentre;
            return std::tuple(a.avoided, a.fill, aFar, a.rank) < std::tuple(b.avoided, b.fill, bFar, b.rank);
        });
    return &best->state->listed;
}

std::string EndpointBoard::describeLoad(Instant now, const std::string &id) const
{
    const auto found = this->states.find(id);
    if (found == this->states.end()) {
        return "unknown";
    }
    const State &state = found->second;
    const std::int64_t age = state.loadTold.us == 0 ? -1 : (now - state.loadTold).count() / 1000;
    return std::to_string(state.inFlight) + "," + std::to_string(state.load.running) + ","
        + std::to_string(state.load.waiting) + "," + std::to_string(state.load.slots) + "," + std::to_string(age);
}

void EndpointBoard::noteSent(const std::string &id)
{
    ++this->states[id].inFlight;
}

void EndpointBoard::noteEnded(const std::string &id)
{
    State &state = this->states[id];
    state.inFlight -= std::min(state.inFlight, 1U);
}

void EndpointBoard::noteLoad(Instant now, const std::string &id, const EndpointLoad &load)
{
    State &state = this->states[id];
    state.load = load;
    state.loadTold = now;
    state.inFlightThen = state.inFlight;
}

void EndpointBoard::noteFailure(Instant now, const std::string &id)
{
    State &state = this->states[id];
    state.avoidUntil = now + FirstAvoidance * (1U << std::min(state.failures, MostDoublings));
    ++state.failures;
    this->judge(now, id, 1);
}

void EndpointBoard::noteSuccess(Instant now, const std::string &id)
{
    this->states[id].failures = 0;
    this->judge(now, id, 0);
}

void EndpointBoard::noteError(Instant now, const std::string &id)
{
    this->judge(now, id, 1);
}

void EndpointBoard::judge(Instant now, const std::string &id, double failed)
{
    State &state = this->states[id];
    state.errors += ErrorWeight * (failed - state.errors);
    const auto ids = this->idsByService.find(state.listed.service);
    if (failed == 0 || state.errors < EjectAbove || state.ejectedUntil > now || ids == this->idsByService.end()) {
        return;
    }
    std::vector<double> errors;
    std::size_t ejected = 0;
    for (const std::string &other : ids->second) {
        errors.push_back(this->states.at(other).errors);
        ejected += this->states.at(other).ejectedUntil > now ? 1 : 0;
    }
    const auto middle = errors.begin() + static_cast<std::ptrdiff_t>(errors.size() / 2);
    std::nth_element(errors.begin(), middle, errors.end());
    const bool mayEject = static_cast<double>(ejected + 1) <= MostEjected * static_cast<double>(errors.size());
    if (mayEject && state.errors > OutlierRatio * *middle) {
        state.ejectedUntil = now + EjectTime;
        state.errors = EjectAbove / 2; // On return a few failures eject it again.
    }
}

void EndpointBoard::noteFull(Instant now, const std::string &id)
{
    this->states[id].avoidUntil = now + FullAvoidance;
}

} // namespace Chestnuthook
