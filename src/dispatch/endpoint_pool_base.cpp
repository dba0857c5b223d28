/** @file endpoint_pool_base.cpp  Decides which endpoint of a pool serves which turn, and which turns wait. */
#include "dispatch/endpoint_pool_base.h"

#include <algorithm>
#include <cmath>

#include "dispatch/prompt_limit_func.h"

namespace Chestnuthook
{

namespace
{

/** Margin of memory for outputs that are longer than expected; their spread is about 1.4. */
constexpr double OutputMargin = 1.5;
/** A running turn is expected to need at least this part of its predicted time, also when it is overdue. */
constexpr double MinRemainingPart = 0.1;
/** A grant that isn't released expires after this many times its predicted time, */
constexpr double ExpiryFactor = 4;
/** and this much more. */
constexpr Duration ExpiryMargin = std::chrono::milliseconds(1500);
/** Time after the deadline at which a grant expires in any case. */
constexpr Duration DeadlineMargin = std::chrono::milliseconds(500);
/** Waiting turns that are looked at for a free slot; more can't change what starts now. */
constexpr std::size_t MaxLookahead = 48;
/** Half-life of requests at an endpoint that its reports show and this pool has not granted. */
constexpr double ForeignHalfLifeMs = 300;
/** Part of one report in the estimate of these requests, as reports and releases arrive with different delays. */
constexpr double ForeignGain = 0.3;
/** Part of a request that counts as one; less than half, as short-lived differences are no foreign requests. */
constexpr double ForeignRounding = 0.2;
/** Time for which such a request is expected to keep its slot. */
constexpr double ForeignTurnMs = 150;
/** An endpoint that gets no turns because it was slow is tried again after this time. */
constexpr Duration ProbeInterval = std::chrono::seconds(4);
/** Advantage of endpoints without outcomes, so that all are known soon. */
constexpr double UnknownBonusMs = 10;
/** Weight of the time until a slot is free, as that prediction is the least certain one: outputs vary. */
constexpr double WaitWeight = 1.5;
/** Weight of the delay that a turn causes to each other one at its endpoint; above 1, as that delays the turns that
 * wait behind them too. With 1 instead of 1.5, 89 instead of 93 in 100 programs were in time beside long prompts. */
constexpr double NeighbourWeight = 1.5;
/** Part of a program's time to spare that one of its turns may lose by going to a slow endpoint while others wait. */
constexpr double SparePart = 0.5;
/** Part of the slots that programs in progress may need on average when a new program is admitted. With more, they wait
 * for each other before every turn: with 1.05, 80 instead of 43 in 1,000 programs were late at a load of 1.7. */
constexpr double MaxDemandPart = 1;
/** For customers above their share this part falls by DemandPartStep a level, so that new programs of the others find
 * free slots; with 0, 46 instead of 76 in 100 programs of the worst of the others were in time beside one that
 * sends 7.5 times its usual load, at a load of 1.45. */
constexpr double DemandPartStep = 0.08;
constexpr double MinDemandPart = 0.75; ///< Least value of this part.
/** Shortest time after which a refused program may be retried, */
constexpr double MinRetryMs = 200;
/** and the additional time for each multiple of the slots that the programs in progress need. */
constexpr double RetryMsPerExcess = 2000;
/** A pause between turns counts as progress up to this time. */
constexpr double MaxPauseMs = 5000;
/** Lower bound of an endpoint's factor; keeps divisions defined. */
constexpr double MinFactor = 0.05;
/** More slots are not believed, whatever an endpoint reports. */
constexpr unsigned MaxSlots = 256;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e3;
}

Duration fromMs(double ms)
{
    return Duration(static_cast<std::int64_t>(ms * 1e3));
}

} // namespace

struct EndpointPool::Turn
{
    TurnRequest request; ///< As submitted.
    Instant arrived; ///< When it was submitted.
    TurnTarget target; ///< As of arrived.
    double idleMs = 0; ///< Predicted time on an idle endpoint of usual speed.
    std::uint32_t expectedTokens = 0; ///< Expected output.
    std::uint64_t memoryTokens = 0; ///< Memory that it needs, with a margin.
    ProgramRecord record; ///< Of its program when it was submitted.
    Place *place = nullptr; ///< Where it runs; nullptr while it waits.
    Instant grantedAt; ///< When it was granted.
    Instant predictedEnd; ///< Expected end.
    Instant readEnd; ///< When its prompt is expected to be read.
    double readMs = 0; ///< Expected time of reading its prompt.
    double predictedMs = 0; ///< Expected time from the grant to the end.
    double uncachedTokens = 0; ///< Prompt tokens that are not cached at its endpoint.
    double readTokens = 0; ///< uncachedTokens and those that are read before.
    double neighbours = 0; ///< Turns that ran at the endpoint when it was granted.
    double logPace = 0; ///< Pace of the endpoint when it was granted.
};

struct EndpointPool::Place
{
    PoolEndpoint endpoint; ///< As listed.
    std::uint32_t number = 0; ///< Never reused in this pool.
    bool isListed = true; ///< False if it is gone and only has turns left.
    EndpointSpeed speed; ///< Estimates from outcomes.
    std::vector<Turn *> running; ///< Granted turns.
    std::uint64_t usedTokens = 0; ///< Memory of the granted turns.
    Instant readUntil; ///< When all prompts granted so far are expected to be read.
    unsigned reportedSlots = 0; ///< As last reported; 0 if never.
    double foreign = 0; ///< Requests that reports show beyond the granted ones, at foreignAt.
    Instant foreignAt; ///< When foreign was updated.

    [[nodiscard]] unsigned slots() const
    {
        return std::clamp(this->reportedSlots > 0 ? this->reportedSlots : this->endpoint.slots, 1U, MaxSlots);
    }
    [[nodiscard]] double foreignNow(Instant now) const
    {
        return this->foreign * std::exp2(-toMs(now - this->foreignAt) / ForeignHalfLifeMs);
    }
    [[nodiscard]] bool hasMemory(std::uint64_t tokens) const
    {
        return this->endpoint.memoryTokens == 0 || this->running.empty()
            || this->usedTokens + tokens <= this->endpoint.memoryTokens;
    }
};

/** When the slots of the usable endpoints become free, in milliseconds from now. */
struct EndpointPool::Schedule
{
    struct Row
    {
        Place *place = nullptr; ///< The endpoint.
        double factor = 1; ///< Its present factor.
        double backlogMs = 0; ///< Time until all prompts granted so far are read.
        std::vector<double> freeAt; ///< When each slot becomes free; the earliest is first.
    };
    std::vector<Row> rows; ///< Usable endpoints.

    [[nodiscard]] bool hasFreeSlot() const
    {
        return std::any_of(this->rows.begin(), this->rows.end(), [](const Row &row) {
            return row.freeAt.front() <= 0;
        });
    }
    /** Takes the earliest slot of @p row until @p endMs. */
    static void book(Row &row, double endMs)
    {
        row.freeAt.front() = endMs;
        for (std::size_t i = 1; i < row.freeAt.size() && row.freeAt[i] < row.freeAt[i - 1]; ++i) {
            std::swap(row.freeAt[i], row.freeAt[i - 1]);
        }
    }
};

/** A start of a turn at one endpoint. */
struct EndpointPool::Candidate
{
    std::size_t row = 0; ///< Index in the schedule.
    double startMs = 0; ///< From now; 0 if it may start at once.
    double timeMs = 0; ///< From the start to the end.
    double cost = 0; ///< The candidate with the lowest cost is taken.
    std::string_view reason; ///< Why it may not start now; empty if it may.
};

EndpointPool::EndpointPool() = default;
EndpointPool::~EndpointPool() = default;

void EndpointPool::setEndpoints(Instant now, std::span<const PoolEndpoint> list)
{
    for (const auto &place : this->places) {
        place->isListed = false;
    }
    for (const PoolEndpoint &endpoint : list) {
        Place *place = this->findPlace(endpoint.id);
        if (place == nullptr) {
            place = this->places.emplace_back(std::make_unique<Place>()).get();
            place->number = ++this->lastPlaceNumber;
        }
        place->endpoint = endpoint;
        place->isListed = true;
    }
    std::erase_if(this->places, [](const auto &place) {
        return !place->isListed && place->running.empty();
    });
    this->updateSpeeds();
    this->removeExpired(now);
}

void EndpointPool::setParameters(const PoolParameters &given)
{
    this->costs.setParameters(given);
}

EndpointPool::Place *EndpointPool::findPlace(const std::string &id) const
{
    const auto found = std::find_if(this->places.begin(), this->places.end(), [&](const auto &place) {
        return place->endpoint.id == id;
    });
    return found == this->places.end() ? nullptr : found->get();
}

bool EndpointPool::isAllowed(const Place &place, const TurnRequest &request)
{
    return place.isListed && place.endpoint.isUsable
        && (request.version.empty() || request.version == place.endpoint.version)
        && std::find(request.excluded.begin(), request.excluded.end(), place.endpoint.id) == request.excluded.end();
}

double EndpointPool::logSpeedOf(const Place &place) const
{
    return place.speed.isObserved() ? place.speed.logSpeed() : this->logUsualSpeed;
}

double EndpointPool::factorOf(Instant now, const Place &place) const
{
    return std::max(MinFactor, std::exp(this->logSpeedOf(place) + place.speed.logPace(now)));
}

void EndpointPool::updateSpeeds()
{
    double sum = 0;
    double least = 0;
    std::size_t count = 0;
    for (const auto &place : this->places) {
        if (place->isListed && place->speed.isObserved()) {
            least = count == 0 ? place->speed.logSpeed() : std::min(least, place->speed.logSpeed());
            sum += place->speed.logSpeed();
            ++count;
        }
    }
    this->logUsualSpeed = count == 0 ? 0 : sum / static_cast<double>(count);
    this->bestSpeed = count == 0 ? 1 : std::exp(least - this->logUsualSpeed);
}

std::uint32_t EndpointPool::uncachedTokens(const TurnRequest &request, const Place &place) const
{
    const ProgramRecord *record = request.program == 0 ? nullptr : this->programs.find(request.program);
    const bool isCached = record != nullptr && record->place == place.number;
    return request.promptTokens - (isCached ? std::min(record->cachedTokens, request.promptTokens) : 0);
}

double EndpointPool::idleMs(const TurnRequest &request, double outputTokens) const
{
    return this->costs.totalMs(request.promptTokens, outputTokens, 0) * std::exp(this->logUsualSpeed);
}

void EndpointPool::prepare(Instant now, Turn &turn)
{
    const TurnRequest &request = turn.request;
    turn.arrived = now;
    turn.expectedTokens = this->costs.expectedOutput(request);
    const double outputTokens = turn.expectedTokens * OutputMargin;
    const double memoryTokens =
        request.outputTokens > 0 ? std::min<double>(outputTokens, request.outputTokens) : outputTokens;
    turn.memoryTokens = request.promptTokens + static_cast<std::uint64_t>(memoryTokens);
    turn.idleMs = this->idleMs(request, turn.expectedTokens);
    const ProgramRecord *known = request.program == 0 ? nullptr : this->programs.find(request.program);
    turn.target = turnTarget(now, now, request, turn.idleMs, known);
    if (request.program == 0) {
        return;
    }
    const bool isNew = known == nullptr;
    ProgramRecord &record = this->programs.use(request.program);
    if (isNew && request.programTotal && request.programDeadline) {
        record.progressMs = std::max(0.0, turn.target.totalMs - turn.target.leftMs) / TargetStretch;
    }
    this->demand.beginTurn(request.program, record.endedAt ? toMs(now - *record.endedAt) : 0);
    if (record.endedAt) {
        record.progressMs += std::min(MaxPauseMs, toMs(now - *record.endedAt));
        record.endedAt.reset();
        turn.target = turnTarget(now, now, request, turn.idleMs, &record);
    }
    turn.record = record;
}

TurnTarget EndpointPool::targetAt(Instant now, const Turn &turn) const
{
    TurnTarget target = turn.target;
    target.leftMs -= toMs(now - turn.arrived);
    return target;
}

UrgencyKey EndpointPool::keyOf(Instant now, const Turn &turn) const
{
    return urgencyKey(
        turn.request, this->targetAt(now, turn), this->bestSpeed, this->shares.level(turn.request.customer));
}

EndpointPool::Schedule EndpointPool::makeSchedule(Instant now) const
{
    Schedule schedule;
    schedule.rows.reserve(this->places.size());
    for (const auto &place : this->places) {
        if (!place->isListed || !place->endpoint.isUsable) {
            continue;
        }
        Schedule::Row &row = schedule.rows.emplace_back();
        row.place = place.get();
        row.factor = this->factorOf(now, *place);
        row.backlogMs = std::max(0.0, toMs(place->readUntil - now));
        row.freeAt.reserve(place->slots() + 1);
        for (const Turn *turn : place->running) {
            row.freeAt.push_back(std::max(toMs(turn->predictedEnd - now), turn->predictedMs * MinRemainingPart));
        }
        const auto foreign = static_cast<std::size_t>(place->foreignNow(now) + ForeignRounding);
        row.freeAt.insert(row.freeAt.end(), foreign, ForeignTurnMs * row.factor);
        row.freeAt.resize(std::max<std::size_t>(row.freeAt.size(), place->slots()), 0);
        std::sort(row.freeAt.begin(), row.freeAt.end());
        // More turns than slots: the first ones to end only make room for those that the endpoint has queued.
        row.freeAt.erase(row.freeAt.begin(), row.freeAt.end() - place->slots());
    }
    return schedule;
}

EndpointPool::Candidate EndpointPool::candidateAt(
    Instant now, const Turn &turn, const Schedule &schedule, std::size_t index) const
{
    const Schedule::Row &row = schedule.rows[index];
    const Place &place = *row.place;
    Candidate candidate{index, row.freeAt.front(), 0, 0, {}};
    const double uncached = this->uncachedTokens(turn.request, place);
    const double readMs = this->costs.readMs(uncached) * row.factor;
    const PromptToPlace prompt{readMs, toMs(now - turn.arrived), this->targetAt(now, turn).spareMs()};
    if (candidate.startMs > 0) {
        candidate.reason = "no free slot";
    } else if (!place.hasMemory(turn.memoryTokens)) {
        candidate.startMs = row.freeAt.back() > 0 ? *std::find_if(row.freeAt.begin(), row.freeAt.end(),
                                [](double at) {
                                    return at > 0;
                                })
                                                  : 1;
        candidate.reason = "no memory";
    } else if (!mayStartReading(prompt, row.backlogMs)) {
        candidate.startMs = std::max(1.0, row.backlogMs - MaxBacklogBeforeLongMs);
        candidate.reason = "prompts being read";
    } else {
        candidate.startMs = 0;
    }
    const double backlogMs = std::max(0.0, row.backlogMs - candidate.startMs);
    const auto neighbours = static_cast<double>(std::min<std::size_t>(place.running.size(), place.slots() - 1));
    candidate.timeMs = backlogMs + this->costs.totalMs(uncached, turn.expectedTokens, neighbours) * row.factor;
    candidate.cost = candidate.startMs * WaitWeight + candidate.timeMs;
    candidate.cost +=
        NeighbourWeight * neighbours * this->costs.neighbourMs(uncached, turn.expectedTokens) * row.factor;
    if (!place.speed.isObserved()) {
        candidate.cost -= UnknownBonusMs;
    }
    return candidate;
}

std::optional<EndpointPool::Candidate> EndpointPool::bestCandidate(
    Instant now, const Turn &turn, const Schedule &schedule, bool isContended) const
{
    std::optional<Candidate> best;
    std::optional<Candidate> bestNow;
    const double spareMs = this->targetAt(now, turn).spareMs();
    for (std::size_t i = 0; i < schedule.rows.size(); ++i) {
        const Place &place = *schedule.rows[i].place;
        if (!isAllowed(place, turn.request)) {
            continue;
        }
        const Candidate candidate = this->candidateAt(now, turn, schedule, i);
        if (!best || candidate.cost < best->cost) {
            best = candidate;
        }
        if (candidate.startMs > 0) {
            continue;
        }
        if (!bestNow || candidate.cost < bestNow->cost) {
            bestNow = candidate;
        }
        const bool isProbe =
            place.running.empty() && place.speed.isObserved() && now - place.speed.lastObserved() > ProbeInterval;
        if (isProbe && candidate.timeMs - turn.idleMs < spareMs * SparePart) {
            return candidate;
        }
    }
    // While others wait, turns of programs with time to spare leave the fast endpoints to those without.
    if (isContended && best && best->startMs > 0 && bestNow && bestNow->timeMs - turn.idleMs < spareMs * SparePart) {
        return bestNow;
    }
    return best;
}

std::vector<EndpointPool::Turn *> EndpointPool::orderedWaiting(Instant now) const
{
    std::vector<std::pair<UrgencyKey, Turn *>> keyed;
    keyed.reserve(this->waiting.size());
    for (Turn *turn : this->waiting) {
        keyed.emplace_back(this->keyOf(now, *turn), turn);
    }
    std::stable_sort(keyed.begin(), keyed.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::vector<Turn *> result;
    result.reserve(keyed.size());
    for (const auto &[key, turn] : keyed) {
        result.push_back(turn);
    }
    return result;
}

double EndpointPool::queueWaitMs(const Turn &turn, const Schedule &schedule, std::size_t ahead) const
{
    std::vector<double> freeAt;
    double factors = 0;
    std::size_t rows = 0;
    for (const Schedule::Row &row : schedule.rows) {
        if (isAllowed(*row.place, turn.request)) {
            freeAt.insert(freeAt.end(), row.freeAt.begin(), row.freeAt.end());
            factors += row.factor;
            ++rows;
        }
    }
    if (freeAt.empty()) {
        return 0;
    }
    const std::size_t position = ahead % freeAt.size();
    std::nth_element(freeAt.begin(), freeAt.begin() + static_cast<std::ptrdiff_t>(position), freeAt.end());
    const double meanMs = this->costs.totalMs(turn.request.promptTokens, turn.expectedTokens,
                              static_cast<double>(freeAt.size()) / static_cast<double>(rows) - 1)
        * factors / static_cast<double>(rows);
    const std::size_t rounds = ahead / freeAt.size();
    return std::max(0.0, freeAt[position]) + static_cast<double>(rounds) * meanMs;
}

bool EndpointPool::isTooLate(Instant now, const Turn &turn) const
{
    return toMs(turn.request.deadline - now) < turn.idleMs * std::min(1.0, this->bestSpeed);
}

double EndpointPool::demandExcess(std::uint64_t customer) const
{
    std::size_t slots = 0;
    for (const auto &place : this->places) {
        slots += place->isListed && place->endpoint.isUsable ? place->slots() : 0;
    }
    const double part = std::max(MinDemandPart, MaxDemandPart - this->shares.level(customer) * DemandPartStep);
    return (this->demand.slots(this->turns.size()) + 1) / std::max(1.0, part * static_cast<double>(slots)) - 1;
}

std::string_view EndpointPool::refusalReason(Instant now, const Turn &turn, double waitMs) const
{
    const double fastestMs = turn.idleMs * std::min(1.0, this->bestSpeed);
    if (waitMs + fastestMs > toMs(turn.request.deadline - now)) {
        return "can't be served before its deadline";
    }
    if (!turn.target.isFirst) {
        return {};
    }
    if (waitMs > this->targetAt(now, turn).spareMs()) {
        return "new program can't end in time";
    }
    if (this->demandExcess(turn.request.customer) > 0) {
        return "programs in progress need all slots";
    }
    return {};
}

TurnDecision EndpointPool::decision(const Turn &turn, TurnVerdict verdict, std::string_view reason)
{
    TurnDecision result;
    result.ticket = turn.request.ticket;
    result.holder = turn.request.holder;
    result.verdict = verdict;
    result.reason = reason;
    return result;
}

TurnDecision EndpointPool::submit(Instant now, TurnRequest request)
{
    TurnKey key{request.holder, request.ticket};
    const auto known = this->turns.find(key);
    if (known != this->turns.end()) {
        const Turn &turn = *known->second;
        TurnDecision result =
            decision(turn, turn.place != nullptr ? TurnVerdict::Granted : TurnVerdict::Waiting, "sent again");
        if (turn.place != nullptr) {
            result.endpoint = turn.place->endpoint.id;
            result.predictedTime = std::max(Duration(0), turn.predictedEnd - now);
        }
        return result;
    }
    auto owned = std::make_unique<Turn>();
    Turn &turn = *owned;
    turn.request = std::move(request);
    if (now >= turn.request.deadline) {
        return decision(turn, TurnVerdict::Refused, "past its deadline");
    }
    this->demand.removeEnded(now);
    this->prepare(now, turn);
    Schedule schedule = this->makeSchedule(now);
    const UrgencyKey own = this->keyOf(now, turn);
    std::size_t ahead = 0;
    if (!this->waiting.empty() && schedule.hasFreeSlot()) {
        // Those ahead take their slots in this schedule; takeGrants() grants them.
        for (const Turn *other : this->orderedWaiting(now)) {
            if (ahead >= MaxLookahead || own < this->keyOf(now, *other)) {
                break;
            }
            ++ahead;
            if (const auto candidate = this->bestCandidate(now, *other, schedule, true)) {
                Schedule::book(schedule.rows[candidate->row], candidate->startMs + candidate->timeMs);
            }
        }
    } else {
        ahead =
            static_cast<std::size_t>(std::count_if(this->waiting.begin(), this->waiting.end(), [&](const Turn *other) {
                return this->keyOf(now, *other) <= own;
            }));
    }
    const auto candidate = this->bestCandidate(now, turn, schedule, !this->waiting.empty());
    if (!candidate) {
        return decision(turn, TurnVerdict::Refused, "no endpoint allowed");
    }
    const double waitMs = candidate->startMs <= 0 || schedule.hasFreeSlot() ? candidate->startMs
                                                                            : this->queueWaitMs(turn, schedule, ahead);
    std::string_view refusal = this->refusalReason(now, turn, waitMs);
    if (refusal.empty() && candidate->startMs <= 0) {
        TurnDecision result = this->grant(now, turn, schedule, *candidate);
        this->turns.emplace(std::move(key), std::move(owned));
        return result;
    }
    if (refusal.empty() && this->waiting.size() >= MaxWaiting) {
        refusal = "queue full";
    }
    TurnDecision result = decision(turn, TurnVerdict::Waiting, candidate->reason);
    if (!refusal.empty()) {
        result.verdict = TurnVerdict::Refused;
        result.reason = refusal;
    }
    result.predictedWait = fromMs(waitMs);
    if (result.verdict == TurnVerdict::Refused) {
        const double excess = std::max(0.0, this->demandExcess(turn.request.customer));
        result.predictedWait = fromMs(std::max(waitMs, MinRetryMs + excess * RetryMsPerExcess));
    }
    result.predictedTime = fromMs(candidate->timeMs);
    if (result.verdict == TurnVerdict::Waiting) {
        this->waiting.push_back(&turn);
        this->turns.emplace(std::move(key), std::move(owned));
    }
    return result;
}

std::vector<TurnDecision> EndpointPool::takeGrants(Instant now)
{
    this->removeExpired(now);
    this->demand.removeEnded(now);
    std::vector<TurnDecision> result;
    if (this->waiting.empty()) {
        return result;
    }
    Schedule schedule = this->makeSchedule(now);
    if (schedule.hasFreeSlot()) {
        const std::vector<Turn *> ordered = this->orderedWaiting(now);
        for (std::size_t i = 0; i < std::min(ordered.size(), MaxLookahead) && schedule.hasFreeSlot(); ++i) {
            Turn &turn = *ordered[i];
            if (this->isTooLate(now, turn)) {
                continue;
            }
            const auto candidate = this->bestCandidate(now, turn, schedule, ordered.size() > 1);
            if (!candidate) {
                continue;
            }
            if (candidate->startMs <= 0) {
                std::erase(this->waiting, &turn);
                result.push_back(this->grant(now, turn, schedule, *candidate));
                schedule.rows[candidate->row].backlogMs =
                    std::max(0.0, toMs(schedule.rows[candidate->row].place->readUntil - now));
            }
            Schedule::book(schedule.rows[candidate->row], candidate->startMs + candidate->timeMs);
        }
    }
    std::vector<Turn *> refused;
    for (Turn *turn : this->waiting) {
        const bool isAllowedSomewhere = std::any_of(this->places.begin(), this->places.end(), [&](const auto &place) {
            return isAllowed(*place, turn->request);
        });
        std::string_view reason;
        if (!isAllowedSomewhere) {
            reason = "no endpoint allowed";
        } else if (this->isTooLate(now, *turn)) {
            reason = "can't be served before its deadline";
        } else if (turn->target.isFirst
            && urgencyClass(this->targetAt(now, *turn), this->bestSpeed) != UrgencyClass::InTime) {
            reason = "new program can't end in time";
        }
        if (!reason.empty()) {
            TurnDecision refusal = decision(*turn, TurnVerdict::Refused, reason);
            refusal.predictedWait = fromMs(this->queueWaitMs(*turn, schedule, this->waiting.size()));
            result.push_back(std::move(refusal));
            refused.push_back(turn);
        }
    }
    for (const Turn *turn : refused) {
        this->remove(now, this->turns.find({turn->request.holder, turn->request.ticket}));
    }
    return result;
}

TurnDecision EndpointPool::grant(Instant now, Turn &turn, const Schedule &schedule, const Candidate &candidate)
{
    const Schedule::Row &row = schedule.rows[candidate.row];
    const double waitedMs = toMs(now - turn.arrived);
    this->start(now, turn, *row.place, candidate.timeMs, row.factor);
    TurnDecision result = decision(turn, TurnVerdict::Granted, waitedMs > 0 ? "waited" : "earliest predicted end");
    result.endpoint = row.place->endpoint.id;
    result.predictedWait = now - turn.arrived;
    result.predictedTime = fromMs(candidate.timeMs);
    return result;
}

void EndpointPool::start(Instant now, Turn &turn, Place &place, double timeMs, double factor)
{
    const double backlogMs = std::max(0.0, toMs(place.readUntil - now));
    turn.uncachedTokens = this->uncachedTokens(turn.request, place);
    turn.readTokens = turn.uncachedTokens + this->costs.tokensReadIn(backlogMs / factor);
    turn.place = &place;
    turn.grantedAt = now;
    turn.predictedMs = timeMs;
    turn.predictedEnd = now + fromMs(timeMs);
    turn.neighbours = static_cast<double>(place.running.size());
    turn.logPace = place.speed.logPace(now);
    place.running.push_back(&turn);
    place.usedTokens += turn.memoryTokens;
    turn.readMs = this->costs.readMs(turn.uncachedTokens) * factor;
    turn.readEnd = now + fromMs(backlogMs + turn.readMs);
    place.readUntil = turn.readEnd;
    this->shares.charge(now, turn.request.customer, turn.request.customerWeight, timeMs);
    if (turn.request.program != 0) {
        ProgramRecord &record = this->programs.use(turn.request.program);
        record.place = place.number;
        record.cachedTokens = turn.request.promptTokens + turn.expectedTokens;
        ++record.turns;
    }
}

void EndpointPool::unstart(Instant now, Turn &turn)
{
    Place &place = *turn.place;
    std::erase(place.running, &turn);
    if (place.running.empty()) {
        place.readUntil = now;
    } else if (turn.readEnd > now) { // What was still to be read of its prompt no longer is.
        place.readUntil = place.readUntil - std::min(turn.readEnd - now, fromMs(turn.readMs));
    }
    place.usedTokens -= std::min(place.usedTokens, turn.memoryTokens);
    turn.place = nullptr;
    if (!place.isListed && place.running.empty()) {
        std::erase_if(this->places, [&](const auto &other) {
            return other.get() == &place;
        });
    }
}

void EndpointPool::release(Instant now, const TurnOutcome &outcome)
{
    const auto found = this->turns.find({outcome.holder, outcome.ticket});
    if (found == this->turns.end()) {
        return;
    }
    const Turn &turn = *found->second;
    if (turn.place != nullptr) {
        if (outcome.load) {
            this->recordLoad(now, turn.place->endpoint.id, *outcome.load);
        }
        this->learn(now, turn, outcome);
    }
    this->remove(now, found);
}

void EndpointPool::learn(Instant now, const Turn &turn, const TurnOutcome &outcome)
{
    const TurnRequest &request = turn.request;
    Place &place = *turn.place;
    const double usedMs = outcome.notRun ? 0 : toMs(outcome.total);
    this->shares.charge(now, request.customer, request.customerWeight, usedMs - turn.predictedMs);
    if (outcome.notRun) {
        return;
    }
    const bool isComplete = !outcome.failed && outcome.tokens > 0 && outcome.total > Duration(0);
    if (isComplete) {
        this->demand.endTurn(now, request.program, toMs(now - turn.grantedAt));
    }
    if (isComplete && request.program != 0) {
        ProgramRecord &record = this->programs.use(request.program);
        record.progressMs += this->idleMs(request, outcome.tokens);
        record.cachedTokens = request.promptTokens + outcome.tokens;
        record.endedAt = now;
    }
    const double firstMs = toMs(outcome.firstEvent);
    const double totalMs = toMs(outcome.total);
    const double neighbours = (turn.neighbours + static_cast<double>(place.running.size()) - 1) / 2;
    if (!isComplete && firstMs <= 0) {
        return;
    }
    const double expectedMs = isComplete ? this->costs.totalMs(turn.readTokens, outcome.tokens, neighbours)
                                         : this->costs.firstEventMs(turn.readTokens);
    const double ratio = (isComplete ? totalMs : firstMs) / std::max(expectedMs, 1e-3);
    place.speed.observe(now, ratio, turn.logPace);
    this->updateSpeeds();
    // Costs are those of an endpoint of usual speed, so they absorb what all endpoints of the pool have in common.
    const double logPace = (turn.logPace + place.speed.logPace(now)) / 2;
    const double factor = std::exp(place.speed.logSpeed() - this->logUsualSpeed + logPace);
    if (firstMs > 0) {
        this->costs.observeFirstEvent(turn.readTokens, firstMs / factor);
        if (isComplete && totalMs >= firstMs) {
            this->costs.observeOutput(outcome.tokens, neighbours, (totalMs - firstMs) / factor);
        }
    }
}

void EndpointPool::remove(Instant now, Turns::iterator entry)
{
    Turn &turn = *entry->second;
    if (turn.place != nullptr) {
        this->unstart(now, turn);
    } else {
        std::erase(this->waiting, &turn);
    }
    this->turns.erase(entry);
}

void EndpointPool::removeExpired(Instant now)
{
    std::vector<Turn *> expired;
    for (const auto &place : this->places) {
        for (Turn *turn : place->running) {
            const Instant end = turn->grantedAt + fromMs(turn->predictedMs * ExpiryFactor) + ExpiryMargin;
            if (now >= end || now - turn->request.deadline >= DeadlineMargin) {
                expired.push_back(turn);
            }
        }
    }
    for (const Turn *turn : expired) {
        this->remove(now, this->turns.find({turn->request.holder, turn->request.ticket}));
    }
}

void EndpointPool::cancel(Instant now, const std::string &holder, std::uint64_t ticket)
{
    const auto found = this->turns.find({holder, ticket});
    if (found != this->turns.end()) {
        this->remove(now, found);
    }
}

void EndpointPool::adopt(Instant now, const TurnRequest &request, const std::string &endpoint)
{
    TurnKey key{request.holder, request.ticket};
    const auto known = this->turns.find(key);
    if (known != this->turns.end()) {
        if (known->second->place != nullptr && known->second->place->endpoint.id == endpoint) {
            return;
        }
        this->remove(now, known);
    }
    Place *place = this->findPlace(endpoint);
    if (place == nullptr || now >= request.deadline) {
        return;
    }
    auto owned = std::make_unique<Turn>();
    owned->request = request;
    this->prepare(now, *owned);
    const double factor = this->factorOf(now, *place);
    const auto neighbours = static_cast<double>(place->running.size());
    const double timeMs = this->costs.totalMs(request.promptTokens, owned->expectedTokens, neighbours) * factor;
    this->start(now, *owned, *place, timeMs, factor);
    this->turns.emplace(std::move(key), std::move(owned));
}

void EndpointPool::dropHolder(Instant now, const std::string &holder)
{
    std::vector<TurnKey> keys;
    for (const auto &[key, turn] : this->turns) {
        if (key.first == holder) {
            keys.push_back(key);
        }
    }
    for (const TurnKey &key : keys) {
        this->remove(now, this->turns.find(key));
    }
}

void EndpointPool::recordLoad(Instant now, const std::string &endpoint, const ReportedLoad &load)
{
    Place *place = this->findPlace(endpoint);
    if (place == nullptr) {
        return;
    }
    if (load.slots > 0) {
        place->reportedSlots = load.slots;
    }
    if (load.pacePercent > 0) {
        place->speed.recordPace(now, load.pacePercent / 100.0);
    }
    const double known = static_cast<double>(place->running.size());
    const double foreign =
        std::clamp(static_cast<double>(load.running) + load.waiting - known, 0.0, static_cast<double>(place->slots()));
    const double before = place->foreignNow(now);
    place->foreign = before + (foreign - before) * ForeignGain;
    place->foreignAt = now;
}

std::vector<EndpointForecast> EndpointPool::forecast(Instant now, const TurnRequest &request) const
{
    Turn turn;
    turn.request = request;
    turn.arrived = now;
    turn.expectedTokens = this->costs.expectedOutput(request);
    turn.memoryTokens = request.promptTokens + static_cast<std::uint64_t>(turn.expectedTokens * OutputMargin);
    turn.idleMs = this->idleMs(request, turn.expectedTokens);
    turn.target = turnTarget(now, now, request, turn.idleMs, this->programs.find(request.program));
    const Schedule schedule = this->makeSchedule(now);
    const auto best = this->bestCandidate(now, turn, schedule, !this->waiting.empty());
    std::vector<EndpointForecast> result;
    for (const auto &place : this->places) {
        EndpointForecast &forecast = result.emplace_back();
        forecast.endpoint = place->endpoint.id;
        forecast.isAllowed = isAllowed(*place, request);
        forecast.running = static_cast<unsigned>(place->running.size());
        forecast.usedTokens = place->usedTokens;
        forecast.cachedTokens = request.promptTokens - this->uncachedTokens(request, *place);
        forecast.speed = std::exp(this->logSpeedOf(*place) - this->logUsualSpeed);
        forecast.pace = std::exp(place->speed.logPace(now));
        const double backlogMs = std::max(0.0, toMs(place->readUntil - now));
        forecast.readTokens =
            static_cast<std::uint64_t>(this->costs.tokensReadIn(backlogMs / this->factorOf(now, *place)));
        forecast.reason = "not allowed";
    }
    for (std::size_t i = 0; i < schedule.rows.size(); ++i) {
        const auto forecast = std::find_if(result.begin(), result.end(), [&](const EndpointForecast &row) {
            return row.endpoint == schedule.rows[i].place->endpoint.id;
        });
        if (!forecast->isAllowed) {
            continue;
        }
        const Candidate candidate = this->candidateAt(now, turn, schedule, i);
        forecast->isFree = candidate.startMs <= 0;
        forecast->predictedWait = fromMs(candidate.startMs);
        forecast->predictedTime = fromMs(candidate.timeMs);
        forecast->reason = best && best->row == i ? "chosen" : forecast->isFree ? "ends later" : candidate.reason;
    }
    return result;
}

std::size_t EndpointPool::waitingCount() const
{
    return this->waiting.size();
}

std::size_t EndpointPool::runningCount() const
{
    return this->turns.size() - this->waiting.size();
}

} // namespace Chestnuthook
