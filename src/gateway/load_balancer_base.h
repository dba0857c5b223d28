/** @file load_balancer_base.h  Tracks the load and health of the endpoints and selects one for each request. Does no
 * I/O. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/endpoint_list_type.h"
#include "gateway/header_codec_type.h"

namespace Chestnuthook
{

/** Criteria for the selection of an endpoint. */
struct SelectionCriteria
{
    std::string service; ///< Only endpoints of this service are considered.
    std::uint64_t affinity = 0; ///< Requests with the same value share cached prompts; 0 for no affinity.
    std::string dataCentre; ///< Data centre of this gateway; preferred among equally loaded endpoints.
    std::optional<std::string> version = {}; ///< If set, only endpoints of this software version; none if it is empty.
};

class LoadBalancer
{
public:
    /** @param drainPeriod time after which an endpoint that is known to leave must get no request.
     * @param salt differs between gateways, so that they don't all prefer the same one of several cold endpoints. */
    explicit LoadBalancer(Duration drainPeriod = Duration(0), std::uint64_t salt = 0)
        : drainPeriod(drainPeriod)
        , salt(salt)
    {
    }

    /** Replaces the list of endpoints by the platform's current one. */
    void setEndpoints(Instant now, const std::vector<DeployedEndpoint> &list);

    /** Selects an endpoint whose id isn't in @p tried. A cold one is selected only if no warm one has room. One that
     * leaves is selected only if there is no other, and only in the first half of its drain period. @return null if
     * there is none. */
    [[nodiscard]] const DeployedEndpoint *choose(
        Instant now, const SelectionCriteria &criteria, const std::set<std::string> &tried) const;
    /** The endpoint @p id if a request may go there now: it meets @p criteria, isn't in @p tried, doesn't leave, isn't
     * avoided because of failures and has room within its limit. @return null otherwise. */
    [[nodiscard]] const DeployedEndpoint *findUsable(Instant now, const SelectionCriteria &criteria,
        const std::set<std::string> &tried, const std::string &id) const;
    /** Software version of all endpoints of @p service that are listed or were in the last VersionMemory; empty if they
     * differ or one doesn't state it. As far as this process knows: it may have been restarted or out of touch. */
    [[nodiscard]] std::string commonVersion(Instant now, const std::string &service) const;
    /** The listed entry of @p id if it is cold, else null. */
    [[nodiscard]] const DeployedEndpoint *findCold(Instant now, const std::string &id) const;
    [[nodiscard]] std::size_t coldCount(Instant now) const;
    /** Whether @p id is listed and isn't known to leave. */
    [[nodiscard]] bool isUsable(const std::string &id) const;

    /** Describes the load of @p id for the log: this gateway's requests in flight, then the running and waiting
     * requests and the slots that the endpoint reported, then the age of that report in milliseconds. */
    [[nodiscard]] std::string describeLoad(Instant now, const std::string &id) const;

    /** Lists the endpoints of @p service that are known to leave for the log, each with the age of that in
     * milliseconds. */
    [[nodiscard]] std::string describeLeaving(Instant now, const std::string &service) const;

    /** Records that the endpoint has stated itself that it leaves. That holds until it is no longer listed, whatever
     * state the list shows. @return whether it wasn't known. */
    [[nodiscard]] bool recordLeaving(Instant now, const std::string &id);
    /** Records that the endpoint has stated itself that it stays cold for @p left. @return whether it wasn't known as
     * cold. */
    [[nodiscard]] bool recordCold(Instant now, const std::string &id, Duration left);
    void recordRequestStart(const std::string &id);
    void recordRequestEnd(const std::string &id);
    void recordLoad(Instant now, const std::string &id, const EndpointLoad &load);
    /** Records a failed connection or response. The endpoint is avoided for a while. */
    void recordFailure(Instant now, const std::string &id);
    void recordSuccess(Instant now, const std::string &id);
    /** Records an error response or a timeout. The endpoint is avoided only if that happens far more often than at the
     * other endpoints of its service. */
    void recordError(Instant now, const std::string &id);
    /** Records that the endpoint has no room within the limit that it names. It is left out for LimitBackoff. */
    void recordAtLimit(Instant now, const std::string &id);
    /** Whether an endpoint that meets @p criteria and isn't in @p tried is left out because of its limit. */
    [[nodiscard]] bool hasAtLimit(
        Instant now, const SelectionCriteria &criteria, const std::set<std::string> &tried) const;
    /** Records that the endpoint refused a request because it is overloaded. */
    void recordOverload(Instant now, const std::string &id);

private:
    /** Streams that began before are not resumed any more. */
    static constexpr Duration VersionMemory = std::chrono::seconds(60);
    /** Load reports that are older than this are ignored. */
    static constexpr Duration LoadReportTtl = std::chrono::milliseconds(500);
    /** An endpoint that failed is avoided for this long, doubled with each further failure in a row. */
    static constexpr Duration InitialBackoff = std::chrono::milliseconds(250);
    static constexpr unsigned MaxBackoffDoublings = 3;
    /** An overloaded endpoint is avoided for this long. */
    static constexpr Duration OverloadBackoff = std::chrono::milliseconds(60);
    /** Time for which an endpoint without room within its limit is left out. */
    static constexpr Duration LimitBackoff = std::chrono::milliseconds(80);
    /** The endpoint preferred by affinity is skipped if its running and waiting requests reach this multiple of its
     * slots. Queueing for a short time costs less than processing the prompts of a program again at another endpoint,
     * which delays all other requests there. */
    static constexpr double MaxAffinityUtilization = 1.8;
    /** Without affinity, a warm endpoint has room as long as it has a free slot. */
    static constexpr double MaxWarmUtilization = 1;

    /** Weight of the latest result in the moving average of an endpoint's error rate. */
    static constexpr double ErrorRateWeight = 0.12;
    /** An endpoint is ejected if its error rate is above this and above EjectionOutlierRatio times the median error
     * rate of its service, but never more than MaxEjectedFraction of the endpoints of a service. */
    static constexpr double EjectionErrorRate = 0.2;
    static constexpr double EjectionOutlierRatio = 3;
    static constexpr double MaxEjectedFraction = 0.34;
    static constexpr Duration EjectionTime = std::chrono::milliseconds(2500);

    struct State
    {
        DeployedEndpoint endpoint; ///< Entry of the platform's list.
        unsigned inFlight = 0; ///< Requests of this gateway in flight at the endpoint.
        EndpointLoad load; ///< Last load report.
        Instant loadReportedAt{0}; ///< Time of the last load report; 0 for none.
        unsigned inFlightAtLoadReport = 0; ///< Value of `inFlight` at the last load report.
        unsigned consecutiveFailures = 0; ///< Failures since the last success.
        Instant backoffUntil{0}; ///< Avoided until then if there is an alternative.
        double errorRate = 0; ///< Exponential moving average of failed results, 0 to 1.
        Instant ejectedUntil{0}; ///< End of the ejection because of the error rate.
        Instant atLimitUntil{0}; ///< Left out until then; see `recordAtLimit`.
        Instant coldUntil{0}; ///< Cold until then as the endpoint stated itself; see `recordCold`.
        bool hasStatedLeaving = false; ///< See `recordLeaving`.
        std::optional<Instant> leavingSince; ///< When it became known that the endpoint leaves; see `isLeaving`.
        bool wasListedReady = false; ///< Known before it was leaving, so that `leavingSince` is when that began.

        [[nodiscard]] bool isLeaving() const
        {
            return this->hasStatedLeaving || this->endpoint.leaving;
        }
        [[nodiscard]] bool isCold(Instant now) const
        {
            return this->endpoint.coldPerSecond > 0 || now < this->coldUntil;
        }
    };

    /** Adds a result, 1 for a failure and 0 for a success, to the error rate and ejects the endpoint if it is an
     * outlier. */
    void updateErrorRate(Instant now, const std::string &id, double failed);

    [[nodiscard]] static bool hasVersion(const SelectionCriteria &criteria, const State &state);

    /** Running and waiting requests divided by the number of slots; above 1 if requests are queued. */
    [[nodiscard]] static double utilization(Instant now, const State &state);

    /** When endpoints of each service (outer key) and software version were last known to be listed. */
    std::map<std::string, std::map<std::string, Instant>> versions;
    std::map<std::string, State> states; ///< By endpoint id.
    /** Whether requests may be sent to the endpoint if there is no other. */
    [[nodiscard]] bool isLastResort(Instant now, const State &state) const;

    Duration drainPeriod; ///< See the constructor.
    std::uint64_t salt; ///< See the constructor.
    std::map<std::string, std::vector<std::string>> idsByService; ///< All listed endpoints.
};

} // namespace Chestnuthook
