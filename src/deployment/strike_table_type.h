/** @file strike_table_type.h  Finds requests that crash endpoints, as opposed to requests that were merely running
 * there. No I/O, no clock.
 *
 * All requests that were under way at an endpoint that went down get a strike. One that has ended well somewhere since
 * is sound, as one that crashes endpoints never does. Of the others those are quarantined that explain most crashes: a
 * request needs QuarantineThreshold crashes that no request which was at more of them explains. Where the same
 * fingerprint may be under way elsewhere, it first gets time to end well there. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/timer_type.h"

namespace Chestnuthook
{

/** A request that was under way at an endpoint when that went down. */
struct EndpointStrike
{
    std::uint64_t fingerprint = 0; ///< One of the request's RequestFingerprints.
    std::string endpoint; ///< Id of the endpoint.
    std::int64_t atMs = 0; ///< When the endpoint went down, in milliseconds since 1970.
    bool isBroad = false; ///< The fingerprint is of the content of a turn, which different turns may have.
    std::uint32_t underWayMs = 0; ///< How long it had been under way.
};

/** A plain value that depends only on the sequence of changes. */
class StrikeTable
{
public:
    /** Number of crashes at which a request must have been under way to be quarantined. */
    static constexpr std::size_t QuarantineThreshold = 3;
    /** Strikes at the same endpoint within this time are of the same crash, which several gateways may report. */
    static constexpr std::int64_t SameCrashMs = 1000;
    /** Time for a good end elsewhere, from the crash that would quarantine a request: if it was under way at all of the
     * crashes at once, so that they may have a common cause, or if the fingerprint is broad. */
    static constexpr std::int64_t GoodEndMs = 1500;
    /** Most requests with strikes; beyond it, those with the fewest and oldest ones are forgotten. */
    static constexpr std::size_t MaxRequests = 4096;
    /** Most suspects that gateways are told of; those with most strikes. */
    static constexpr std::size_t MaxSuspects = 512;

    /** What gateways are told, by fingerprint. */
    struct Verdicts
    {
        std::set<std::uint64_t> quarantined; ///< Requests that must not reach an endpoint.
        std::set<std::uint64_t> suspects; ///< Other requests with strikes.
        bool operator==(const Verdicts &) const = default;
    };

    /** Records strikes; those that it contains have no effect. */
    void record(const std::vector<EndpointStrike> &strikes);
    /** Forgets all strikes of @p fingerprint. */
    void erase(std::uint64_t fingerprint);
    /** Replaces the content by @p strikes, which `strikes` returned. */
    void restore(const std::vector<EndpointStrike> &strikes);

    /** Those of @p strikes whose request and crash are not recorded. */
    [[nodiscard]] std::vector<EndpointStrike> unrecorded(const std::vector<EndpointStrike> &strikes) const;
    /** Increases with each change. */
    [[nodiscard]] std::uint64_t changes() const
    {
        return this->changeCount;
    }
    [[nodiscard]] bool contains(std::uint64_t fingerprint) const
    {
        return this->requests.contains(fingerprint);
    }
    /** Fingerprints of all requests with strikes. */
    [[nodiscard]] std::set<std::uint64_t> fingerprints() const;
    /** What follows from the strikes at @p nowMs, in milliseconds since 1970. */
    [[nodiscard]] Verdicts verdicts(std::int64_t nowMs) const;
    /** All strikes. */
    [[nodiscard]] std::vector<EndpointStrike> strikes() const;

private:
    struct Crash
    {
        std::string endpoint; ///< Id of the endpoint.
        std::int64_t atMs = 0; ///< When it went down, as the first report says.
        auto operator<=>(const Crash &) const = default;
    };
    /** A request at a crash. */
    struct Strike
    {
        Crash crash; ///< The crash.
        std::uint32_t underWayMs = 0; ///< How long the request had been under way.
    };
    struct Request
    {
        std::vector<Strike> strikes; ///< The latest MaxCrashes, in the order of their recording; never empty.
        bool isBroad = false; ///< See EndpointStrike.

        [[nodiscard]] bool wasAt(const Crash &crash) const;
        /** The longest that it was under way at one of the crashes. */
        [[nodiscard]] std::uint32_t longestUnderWayMs() const;
        /** Whether it was under way at all crashes at once. */
        [[nodiscard]] bool wasAtAllAtOnce() const;
    };
    static constexpr std::size_t MaxCrashes = 2 * QuarantineThreshold;

    using CrashTimes = std::map<std::string, std::set<std::int64_t>>; ///< `atMs` of crashes, by endpoint.

    [[nodiscard]] CrashTimes crashTimes() const;
    /** The crash of @p strike, as @p known if it is among these. */
    [[nodiscard]] static Crash crashOf(const EndpointStrike &strike, const CrashTimes &known);
    /** Whether a request of at least QuarantineThreshold crashes still has time for a good end elsewhere. */
    [[nodiscard]] static bool mayEndWell(const Request &request, std::int64_t nowMs);
    void removeExcess();

    std::map<std::uint64_t, Request> requests; ///< By fingerprint.
    std::uint64_t changeCount = 0; ///< See `changes`.
};

/** Determines at the leader when strikes may be forgotten. */
class StrikeExpiry
{
public:
    /** How long strikes and a quarantine last after the last sign of the request. */
    static constexpr Duration StrikeTtl = std::chrono::seconds(60);

    /** A new leader doesn't know when its predecessor saw the requests, so that their time begins anew. */
    void beginTerm()
    {
        this->lastSeen.clear();
    }
    /** Records that the request got a strike, or came again and was refused. */
    void recordSeen(Instant now, std::uint64_t fingerprint)
    {
        this->lastSeen[fingerprint] = now;
    }
    /** The requests in @p table that were not seen for longer than StrikeTtl. */
    [[nodiscard]] std::vector<std::uint64_t> expired(Instant now, const StrikeTable &table);

private:
    std::map<std::uint64_t, Instant> lastSeen; ///< By fingerprint; only requests in the table.
};

} // namespace Chestnuthook
