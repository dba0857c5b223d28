/** @file instance_registry_base.h  Registry of the daemons of a deployment, kept by the leader from their reports. No
 * I/O, no clock. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/history_view_type.h"

namespace Chestnuthook
{

/** Description of a daemon, as it reports itself. */
struct InstanceInfo
{
    std::string name; ///< Unique among the daemons that are alive.
    Wire::InstanceRole role = Wire::InstanceRole::GATEWAY; ///< Role of the daemon.
    std::string dataCentre; ///< Data centre of the daemon.
    std::string clientAddress; ///< Address for clients (gateway) or operators (control); may be empty.
    std::string rpcAddress; ///< Address for other daemons.
    std::string identity; ///< Identity of its data folder; empty if it has none.
    bool ready = false; ///< A gateway that accepts client requests; another daemon that isn't about to end.
    bool isCutOff = false; ///< A gateway that needs others to reach most endpoints of a service.
    double processorShare = 0; ///< Cores that the process may use; 0 if it doesn't say.
    bool relaysCredit = false; ///< A control member that requests credit for gateways.
    bool operator==(const InstanceInfo &) const = default;
};

/** Gateways that clients in @p dataCentre should use: those of that data centre first, at most MaxListedGateways. Ones
 * that are cut off from endpoints are left out if the others are at least half of all, so that these aren't overloaded.
 */
[[nodiscard]] std::vector<InstanceInfo> selectGateways(
    std::vector<InstanceInfo> instances, const std::string &dataCentre);
inline constexpr std::size_t MaxListedGateways = 64; ///< Gateways in one response to a client.
/** Time for which clients are told to cache a gateway list, if a planned stop may take @p stopGrace. A client that asks
 * an unresponsive member loses a second, so clients should ask rarely. But a stopping gateway has to serve until most
 * clients have asked again. */
[[nodiscard]] Duration gatewayListTtl(Duration stopGrace);
/** Some clients cache a gateway list for up to this many times its TTL. */
inline constexpr int MaxTtlOverrunFactor = 3;

/** Limits of the time for which the leader holds the watch of a daemon without an update. */
inline constexpr Duration MinWatchWait = std::chrono::milliseconds(200);
inline constexpr Duration MaxWatchWait = std::chrono::milliseconds(1000);
/** Time for which the leader holds the watches of gateways. It grows with the number of @p gateways, so that watches
 * alone don't use up the leader's processor: all together they are at most 250 a second for up to 250 gateways. */
[[nodiscard]] Duration gatewayWatchWait(std::size_t gateways);
/** By how much later the next report of a daemon may come whose watch is held for @p watchWait. */
[[nodiscard]] inline Duration extraSilenceOf(Duration watchWait)
{
    return std::max(watchWait - MinWatchWait, Duration(0));
}

/** Used by the control thread of the leader only. */
class InstanceRegistry
{
public:
    /** A daemon without a report for this long counts as silent and leaves the list of alive daemons. */
    static constexpr Duration SilenceTimeout = std::chrono::milliseconds(600);
    /** A history member without a report for this long is replaced if a spare instance exists. Longer than a process
     * restart takes. */
    static constexpr Duration LostTimeout = std::chrono::milliseconds(2500);
    /** A daemon without a report for this long is deleted from the registry. */
    static constexpr Duration ForgetTimeout = std::chrono::seconds(60);

    /** Records a report. @p copiedView is the version of the view whose copy is complete, 0 for none;
     * @p configuration is the version in force at the daemon. @p extraSilence is added to SilenceTimeout until the next
     * report, which may come later by that. @p endpoints is the version of this leader's endpoint list that the daemon
     * holds, 0 for none. @return whether the alive daemons changed. */
    bool recordReport(Instant now, const InstanceInfo &info, std::uint64_t copiedView, std::uint64_t configuration = 0,
        Duration extraSilence = Duration(0), std::uint64_t endpoints = 0);
    /** Version of the list of alive daemons; increases with each change. */
    [[nodiscard]] std::uint64_t version() const
    {
        return this->listVersion;
    }
    /** What has changed since a version of the list. */
    struct Changes
    {
        std::vector<InstanceInfo> alive; ///< New or changed.
        std::vector<std::string> gone; ///< Names of those that are no longer alive.
    };
    /** Empty if @p version is too old, so that the whole list is needed. */
    [[nodiscard]] std::optional<Changes> changesSince(std::uint64_t version) const;
    /** Number of gateways that are alive. */
    [[nodiscard]] std::size_t gatewayCount() const;
    /** Whether each gateway that is alive has a configuration of at least @p version in force. */
    [[nodiscard]] bool isInForce(std::uint64_t version) const;
    /** How far a version of the configuration has reached the gateways. */
    struct ConfigurationReach
    {
        std::size_t alive = 0; ///< Number of gateways that are alive.
        std::vector<std::string> behind; ///< Names of those of them that have not reported the version.
        std::vector<std::string> silent; ///< Names of known gateways that aren't alive: isInForce() ignores them.
    };
    [[nodiscard]] ConfigurationReach configurationReach(std::uint64_t version) const;
    /** Whether each gateway that is alive holds an endpoint list of at least @p version. */
    [[nodiscard]] bool isEndpointListHeld(std::uint64_t version) const;
    /** Whether a daemon that isn't forgotten is in @p dataCentre. */
    [[nodiscard]] bool hasDataCentre(const std::string &dataCentre) const;
    /** Adds daemons known from a former leader, as if they had reported at @p now with @p extraSilence. */
    void adopt(Instant now, const std::vector<InstanceInfo> &instances, Duration extraSilence = Duration(0));
    /** Marks silent daemons and deletes forgotten ones. @return whether the alive daemons changed. */
    bool expire(Instant now);

    /** Daemons that have reported within SilenceTimeout, by name. */
    [[nodiscard]] std::vector<InstanceInfo> alive() const;
    /** Names of the known gateways, and of those that have not reported within SilenceTimeout or only to a former
     * leader. */
    struct GatewayNames
    {
        std::vector<std::string> known; ///< All that aren't forgotten, sorted.
        std::set<std::string> silent; ///< A subset of `known`.
    };
    [[nodiscard]] GatewayNames gatewayNames() const;
    /** History instances and members of @p view. Members that never reported count as lost once LostTimeout has passed
     * since @p leaderSince. */
    [[nodiscard]] std::vector<HistoryCandidate> historyCandidates(
        Instant now, const HistoryView &view, const std::set<std::string> &retiring, Instant leaderSince) const;
    /** The last report of a control instance. */
    struct ControlReport
    {
        Instant at{0}; ///< When it arrived, or when the instance was adopted.
        bool isAlive = false; ///< It has reported to this leader, within SilenceTimeout.
    };
    /** Report of the control instance with the data folder @p identity; empty if it isn't known. */
    [[nodiscard]] std::optional<ControlReport> controlReport(const std::string &identity) const;
    /** Control instances with a data folder that have reported to this leader, within SilenceTimeout. */
    [[nodiscard]] std::vector<InstanceInfo> aliveControlInstances() const;

private:
    struct Entry
    {
        InstanceInfo info; ///< From the last report.
        Instant lastReport{0}; ///< Time of the last report.
        std::uint64_t copiedView = 0; ///< From the last report.
        std::uint64_t configuration = 0; ///< From the last report.
        bool alive = false; ///< Has reported within SilenceTimeout.
        bool isAdopted = false; ///< Known from a former leader only.
        Duration extraSilence{0}; ///< See `recordReport`.
        std::uint64_t changedIn = 0; ///< Version of the list in which it last changed.
        std::uint64_t endpoints = 0; ///< From the last report.
    };

    std::uint64_t listVersion = 1; ///< See `version`.
    std::uint64_t forgottenIn = 0; ///< Version of the list in which a daemon was last forgotten.
    std::map<std::string, Entry> entries; ///< By name.
};

} // namespace Chestnuthook
