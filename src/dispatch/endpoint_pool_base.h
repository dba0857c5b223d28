/** @file endpoint_pool_base.h  Decides which endpoint of a pool serves which turn, and which turns wait. */
#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "core/timer_type.h"
#include "dispatch/endpoint_pool_type.h"

namespace Chestnuthook
{

/** The endpoints of one pool, the turns granted to them and the queue of waiting turns. Does no I/O and reads no clock.
 *
 * All state is soft: an owner that starts empty only decides worse until it has seen some outcomes. */
class EndpointPool
{
public:
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
    using TurnKey = std::pair<std::string, std::uint64_t>;
    struct Row
    {
        PoolEndpoint endpoint; ///< As listed.
        unsigned running = 0; ///< Granted turns.
        std::uint64_t tokens = 0; ///< Tokens of the granted turns.
    };
    struct Granted
    {
        TurnRequest request; ///< As submitted.
        std::string endpoint; ///< Where it runs.
    };

    TurnDecision decide(const TurnRequest &request);

    PoolParameters parameters; ///< Priors of costs.
    std::map<std::string, Row> rows; ///< Endpoints by id.
    std::map<TurnKey, Granted> granted; ///< Granted turns.
    std::vector<TurnRequest> waiting; ///< Waiting turns in the order of arrival.
};

} // namespace Chestnuthook
