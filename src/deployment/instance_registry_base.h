/** @file instance_registry_base.h  Which daemons live, as the leader learns it from their watches. Pure. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/history_view_type.h"

namespace Chestnuthook
{

/** One daemon as it describes itself. */
struct InstanceInfo
{
    std::string name; ///< Unique among those that live.
    Wire::InstanceRole role = Wire::InstanceRole::GATEWAY; ///< What it does.
    std::string dataCentre; ///< Where.
    std::string clientAddress; ///< For callers or operators; may be empty.
    std::string rpcAddress; ///< For other daemons.
    std::string identity; ///< Of its data folder.
    bool ready = false; ///< Takes callers.
    bool operator==(const InstanceInfo &) const = default;
};

/** Gateways among @p instances that callers in @p dataCentre should use: nearest first, at most MostGateways. */
[[nodiscard]] std::vector<InstanceInfo> selectGateways(
    std::vector<InstanceInfo> instances, const std::string &dataCentre);
inline constexpr std::size_t MostGateways = 64; ///< In one answer to a caller.
/** How long callers are told to keep such a list, where a planned stop is given @p stopGrace. A caller that asks a
 * member that stands still loses a second, so they should ask seldom; but a gateway that stops has to serve until the
 * last caller has asked again. */
[[nodiscard]] Duration gatewayListTtl(Duration stopGrace);
/** Some callers keep a list this many times as long as they are told. */
inline constexpr int MaxTtlOverrunFactor = 3;

/** For the control thread of the leader. */
class InstanceRegistry
{
public:
    /** A daemon that hasn't been heard for this long is left out of the directory. */
    static constexpr Duration SilentAfter = std::chrono::milliseconds(600);
    /** A member of a group that hasn't been heard for this long is replaced where another stands by; longer than the
     * restart of a process takes. */
    static constexpr Duration LostAfter = std::chrono::milliseconds(2500);
    /** Daemons that haven't been heard for this long are forgotten. */
    static constexpr Duration ForgetAfter = std::chrono::seconds(60);

    /** Takes a report; @p copiedView as in the report. @return whether the directory has changed by it. */
    bool note(Instant now, const InstanceInfo &facts, std::uint64_t copiedView);
    /** Takes over what a former leader told; counts as heard now. */
    void adopt(Instant now, const std::vector<InstanceInfo> &known);
    /** Leaves out who fell silent. @return whether the directory has changed by it. */
    bool expire(Instant now);

    /** All that were heard within SilentAfter, by name. */
    [[nodiscard]] std::vector<InstanceInfo> alive() const;
    /** How many gateways are known, and how many of them are silent. */
    [[nodiscard]] std::pair<std::size_t, std::size_t> gatewaysAndSilent() const;
    /** History instances; members of @p view that were never heard count as lost after LostAfter from @p leadingSince.
     */
    [[nodiscard]] std::vector<HistoryCandidate> historyCandidates(
        Instant now, const HistoryView &view, const std::set<std::string> &retiring, Instant leadingSince) const;
    /** When the control member with @p identity was heard last; empty for never. */
    [[nodiscard]] std::optional<Instant> heardControl(const std::string &identity) const;

private:
    struct Known
    {
        InstanceInfo facts; ///< As reported last.
        Instant heard{0}; ///< When.
        std::uint64_t copiedView = 0; ///< As reported last.
        bool alive = false; ///< In the directory.
    };

    std::map<std::string, Known> known; ///< By name.
};

} // namespace Chestnuthook
