/** @file endpoint_board_base.h  The endpoints that a gateway knows, their load and health, and the choice among them.
 * Pure. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/endpoint_list_type.h"
#include "gateway/call_dialect_type.h"

namespace Chestnuthook
{

/** What a choice is made for. */
struct PlacementWish
{
    std::string service; ///< Which endpoints.
    std::uint64_t affinity = 0; ///< Calls with the same value share cached prompts; 0 for none.
    std::string dataCentre; ///< Of this gateway; endpoints there are preferred among equals.
};

class EndpointBoard
{
public:
    /** Takes the platform's list. */
    void setList(const std::vector<DeployedEndpoint> &list);

    /** The endpoint for a call, or null where none can take it. @p tried are ids that were tried before. */
    [[nodiscard]] const DeployedEndpoint *choose(
        Instant now, const PlacementWish &wish, const std::set<std::string> &tried) const;
    /** Whether @p id is listed and not leaving. */
    [[nodiscard]] bool isUsable(const std::string &id) const;

    /** What is known of the load of @p id, for the log: our requests, running and waiting ones and slots as told, and
     * the age of that in milliseconds. */
    [[nodiscard]] std::string describeLoad(Instant now, const std::string &id) const;

    void noteSent(const std::string &id);
    void noteEnded(const std::string &id);
    void noteLoad(Instant now, const std::string &id, const EndpointLoad &load);
    /** A connection or an answer failed; the endpoint is avoided for a while. */
    void noteFailure(Instant now, const std::string &id);
    void noteSuccess(Instant now, const std::string &id);
    /** The endpoint answered that it failed by itself, or not in time. It is avoided only where that happens far more
     * often than at the others of its service. */
    void noteError(Instant now, const std::string &id);
    /** The endpoint refused a request for lack of room. */
    void noteFull(Instant now, const std::string &id);

private:
    /** Load that was told longer ago than this is not counted on. */
    static constexpr Duration LoadLife = std::chrono::milliseconds(500);
    /** An endpoint that failed is avoided for this long, twice as long after each further failure. */
    static constexpr Duration FirstAvoidance = std::chrono::milliseconds(250);
    static constexpr unsigned MostDoublings = 3;
    /** An endpoint that refused is avoided for this long. */
    static constexpr Duration FullAvoidance = std::chrono::milliseconds(60);
    /** The endpoint with the affinity is passed over when running and waiting requests are this many times its slots.
     * Waiting a little costs less than reading a program's prompts again, which delays all others there. */
    static constexpr double AffinityFill = 1.8;

    /** Weight of the latest answer in an endpoint's part of failures. */
    static constexpr double ErrorWeight = 0.12;
    /** An endpoint is ejected when its part of failures is above this and above OutlierRatio times that of the median
     * endpoint; never more than MostEjected of a service. */
    static constexpr double EjectAbove = 0.2;
    static constexpr double OutlierRatio = 3;
    static constexpr double MostEjected = 0.34;
    static constexpr Duration EjectTime = std::chrono::milliseconds(2500);

    struct State
    {
        DeployedEndpoint listed; ///< From the platform.
        unsigned inFlight = 0; ///< Our own requests there.
        EndpointLoad load; ///< As told last.
        Instant loadTold{0}; ///< When; 0 for never.
        unsigned inFlightThen = 0; ///< `inFlight` when the load was told.
        unsigned failures = 0; ///< In a row.
        Instant avoidUntil{0}; ///< Not chosen before, where there is another.
        double errors = 0; ///< Part of its answers that are failures, the latest counting most.
        Instant ejectedUntil{0}; ///< Judged sick up to then.
    };

    void judge(Instant now, const std::string &id, double failed);

    /** Part of the slots that is taken, over 1 where requests wait. */
    [[nodiscard]] static double fillOf(Instant now, const State &state);

    std::map<std::string, State> states; ///< By id.
    std::map<std::string, std::vector<std::string>> idsByService; ///< Usable ones.
};

} // namespace Chestnuthook
