/** @file endpoint_pool_base.h  Decides which endpoint of a pool serves which turn, and which turns wait. */
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/timer_type.h"
#include "dispatch/customer_share_base.h"
#include "dispatch/endpoint_pool_type.h"
#include "dispatch/endpoint_speed_base.h"
#include "dispatch/program_demand_base.h"
#include "dispatch/program_table_base.h"
#include "dispatch/turn_cost_base.h"
#include "dispatch/turn_urgency_func.h"

namespace Chestnuthook
{

/** The endpoints of one pool, the turns granted to them and the queue of waiting turns. Does no I/O and reads no clock.
 *
 * All state is soft: an owner that starts empty only decides worse until it has seen some outcomes. */
class EndpointPool
{
public:
    static constexpr std::size_t MaxWaiting = 512; ///< Turns that wait at most; more are refused.

    EndpointPool();
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;
    ~EndpointPool();

    /** Replaces the endpoints. Turns at endpoints that are gone remain known until they are released or expire. */
    void setEndpoints(Instant now, std::span<const PoolEndpoint> list);
    void setParameters(const PoolParameters &given);

    /** Granted, Waiting (the grant or refusal comes from takeGrants() later) or Refused. A ticket that is sent again
     * gets its present state. */
    TurnDecision submit(Instant now, TurnRequest request);
    /** Decides about waiting turns; to be called after release(), cancel() and dropHolder() and on a timer.
     * @return grants, and refusals of turns that can no longer be served before their deadline. */
    std::vector<TurnDecision> takeGrants(Instant now);
    /** Ends a granted turn and learns from its outcome; does nothing if the ticket is unknown. */
    void release(Instant now, const TurnOutcome &outcome);
    /** Removes a waiting or granted turn without an outcome; does nothing if the ticket is unknown. */
    void cancel(Instant now, const std::string &holder, std::uint64_t ticket);
    /** Adds a turn that a former owner granted at @p endpoint. */
    void adopt(Instant now, const TurnRequest &request, const std::string &endpoint);
    /** Removes all turns of a gateway that has died. */
    void dropHolder(Instant now, const std::string &holder);
    /** Records a load report that did not come with an outcome. */
    void recordLoad(Instant now, const std::string &endpoint, const ReportedLoad &load);
    /** What is predicted for a turn at each endpoint; changes nothing. */
    [[nodiscard]] std::vector<EndpointForecast> forecast(Instant now, const TurnRequest &request) const;

    [[nodiscard]] std::size_t waitingCount() const;
    [[nodiscard]] std::size_t runningCount() const;

private:
    struct Turn;
    struct Place;
    struct Schedule;
    struct Candidate;
    using TurnKey = std::pair<std::string, std::uint64_t>;
    struct TurnKeyHash
    {
        std::size_t operator()(const TurnKey &key) const
        {
            constexpr std::uint64_t Mixer = 0x9e3779b97f4a7c15; ///< Odd, so that all tickets remain distinct.
            return std::hash<std::string>()(key.first) ^ (key.second * Mixer);
        }
    };
    using Turns = std::unordered_map<TurnKey, std::unique_ptr<Turn>, TurnKeyHash>;

    [[nodiscard]] Place *findPlace(const std::string &id) const;
    /** Logarithm of the speed of @p place; that of the pool if it has no outcomes yet. */
    [[nodiscard]] double logSpeedOf(const Place &place) const;
    [[nodiscard]] double factorOf(Instant now, const Place &place) const;
    [[nodiscard]] std::uint32_t uncachedTokens(const TurnRequest &request, const Place &place) const;
    /** Time of @p request on an idle endpoint of usual speed. */
    [[nodiscard]] double idleMs(const TurnRequest &request, double outputTokens) const;
    /** Fills in what is derived from a request. */
    void prepare(Instant now, Turn &turn);
    [[nodiscard]] TurnTarget targetAt(Instant now, const Turn &turn) const;
    [[nodiscard]] UrgencyKey keyOf(Instant now, const Turn &turn) const;
    /** When the slots of each usable endpoint become free. */
    [[nodiscard]] Schedule makeSchedule(Instant now) const;
    [[nodiscard]] Candidate candidateAt(Instant now, const Turn &turn, const Schedule &schedule, std::size_t row) const;
    /** The best row of @p schedule for @p turn, with a start of 0 if it may start now; nothing if none is allowed. */
    [[nodiscard]] std::optional<Candidate> bestCandidate(
        Instant now, const Turn &turn, const Schedule &schedule, bool isContended) const;
    /** Waiting turns with the most urgent first. */
    [[nodiscard]] std::vector<Turn *> orderedWaiting(Instant now) const;
    /** Wait of a turn that has @p ahead waiting turns before it. */
    [[nodiscard]] double queueWaitMs(const Turn &turn, const Schedule &schedule, std::size_t ahead) const;
    /** Whether @p turn can't end before its deadline, even if it starts now. */
    [[nodiscard]] bool isTooLate(Instant now, const Turn &turn) const;
    /** How far the demand of the programs in progress and a new one of @p customer exceeds the slots that it may take,
     * relative to these; negative if it doesn't. */
    [[nodiscard]] double demandExcess(std::uint64_t customer) const;
    /** Why @p turn is refused instead of waiting @p waitMs; empty if it may wait. */
    [[nodiscard]] std::string_view refusalReason(Instant now, const Turn &turn, double waitMs) const;
    TurnDecision grant(Instant now, Turn &turn, const Schedule &schedule, const Candidate &candidate);
    void start(Instant now, Turn &turn, Place &place, double timeMs, double factor);
    void unstart(Instant now, Turn &turn);
    void learn(Instant now, const Turn &turn, const TurnOutcome &outcome);
    void remove(Instant now, Turns::iterator entry);
    void removeExpired(Instant now);
    void updateSpeeds();
    [[nodiscard]] static bool isAllowed(const Place &place, const TurnRequest &request);
    [[nodiscard]] static TurnDecision decision(const Turn &turn, TurnVerdict verdict, std::string_view reason);

    TurnCostModel costs; ///< Times at an endpoint of usual speed.
    std::vector<std::unique_ptr<Place>> places; ///< Endpoints that are listed or still have turns.
    std::uint32_t lastPlaceNumber = 0; ///< Number given to the last new endpoint.
    Turns turns; ///< Granted and waiting turns.
    std::vector<Turn *> waiting; ///< Waiting turns in the order of arrival.
    ProgramTable programs; ///< Programs seen lately.
    CustomerShares shares; ///< Service of customers in the last seconds.
    double logUsualSpeed = 0; ///< Mean logarithm of the speeds of endpoints with outcomes.
    double bestSpeed = 1; ///< Speed of the fastest endpoint relative to the usual one.
    ProgramDemand demand; ///< Slots that the programs in progress need.
};

} // namespace Chestnuthook
