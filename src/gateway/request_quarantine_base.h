/** @file request_quarantine_base.h  Requests that crash endpoints, as far as control has told this gateway, and what
 * control is to be told about them. No I/O, no clock. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "deployment/strike_report_type.h"
#include "gateway/request_fingerprint_func.h"

namespace Chestnuthook
{

/** Used by the control thread only. */
class RequestQuarantine
{
public:
    /** Most strikes that wait for a report. */
    static constexpr std::size_t MaxStrikes = 1024;
    /** That a quarantined request comes again is told at most once in this time; control forgets it much later. */
    static constexpr Duration RefusalInterval = std::chrono::seconds(15);

    /** Replaces what control has told: the requests that are quarantined, and others that have strikes. */
    void setKnown(std::set<std::uint64_t> quarantined, std::set<std::uint64_t> suspects);

    [[nodiscard]] bool isQuarantined(const RequestFingerprints &request) const;
    /** Whether the request has strikes. It is then run apart from other suspects, so that a crash leaves less doubt
     * which of them was the cause. */
    [[nodiscard]] bool isSuspect(const RequestFingerprints &request) const;

    /** A suspect is sent to @p endpoint. */
    void beginSuspect(const std::string &endpoint)
    {
        this->suspectsUnderWay.insert(endpoint);
    }
    /** It is no longer under way there. */
    void endSuspect(const std::string &endpoint)
    {
        this->suspectsUnderWay.erase(this->suspectsUnderWay.find(endpoint));
    }
    /** Endpoints at which suspects of this gateway are under way. */
    [[nodiscard]] const std::multiset<std::string> &endpointsWithSuspects() const
    {
        return this->suspectsUnderWay;
    }

    /** @p endpoint went down at @p at, while the request had been under way there for @p underWay. A request that ended
     * well before gets no strike, but only once: it may crash endpoints from some time on. */
    void recordStrike(const RequestFingerprints &request, const std::string &endpoint, Instant at, Duration underWay);
    /** The request has come again at @p now and was refused. */
    void recordRefused(const RequestFingerprints &request, Instant now);
    /** An endpoint has answered the request, with no error of its own. */
    void recordGoodEnd(const RequestFingerprints &request);

    /** Returns what control is to be told since the last call. */
    [[nodiscard]] StrikeReport takeReport();

private:
    static constexpr std::size_t GenerationSize = 1024;

    /** Whether @p fingerprint has ended well at this gateway, and has got no strike since unless it is of a content. */
    [[nodiscard]] bool hasEndedWell(std::uint64_t fingerprint) const;
    [[nodiscard]] static bool containsAny(
        const std::set<std::uint64_t> &fingerprints, const RequestFingerprints &request)
    {
        return fingerprints.contains(request.content) || fingerprints.contains(request.turn);
    }

    std::set<std::uint64_t> quarantined; ///< Fingerprints of quarantined requests.
    std::set<std::uint64_t> suspects; ///< Fingerprints of suspects.
    std::multiset<std::string> suspectsUnderWay; ///< See `endpointsWithSuspects`.
    /** Fingerprints that have ended well lately, in two generations of about GenerationSize at most. */
    std::set<std::uint64_t> goodEnds;
    std::set<std::uint64_t> olderGoodEnds; ///< The generation before.
    StrikeReport report; ///< Not taken yet; holds each acquitted fingerprint once.
    std::map<std::uint64_t, Instant> refusalsTold; ///< When `recordRefused` last told of a quarantined fingerprint.
};

} // namespace Chestnuthook
