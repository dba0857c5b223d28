/** @file endpoint_links_base.h  Which endpoints this gateway reaches over its own network links. No I/O, no clock.
 *
 * A link is down if this gateway gets no connection to an endpoint while another gateway does: an endpoint that nobody
 * reaches is the load balancer's concern. Two links on which nothing answers put all others in doubt until they are
 * used or probed again. */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/endpoint_list_type.h"

namespace Chestnuthook
{

/** How a connection to an endpoint is to be opened. */
enum class ConnectPlan : std::uint8_t {
    Direct, ///< Directly; through another gateway if that takes long or fails.
    Both, ///< Directly and through another gateway at once.
    Relayed, ///< Through another gateway.
};

/** Used by the control thread only. */
class EndpointLinks
{
public:
    /** An endpoint that leaves a request unanswered for this long is probed by a new connection. Endpoints may be
     * silent for a second without being cut off; a probe costs them little and changes nothing if it succeeds. */
    static constexpr Duration SilenceLimit = std::chrono::milliseconds(600);
    /** As SilenceLimit, while no endpoint sends anything. */
    static constexpr Duration CommonSilenceLimit = std::chrono::milliseconds(200);
    /** An endpoint is probed because of its silence at most this often. */
    static constexpr Duration SilenceProbeInterval = std::chrono::seconds(1);
    /** A link that is down is probed at this interval. */
    static constexpr Duration DownProbeInterval = std::chrono::milliseconds(500);
    /** Links that go down within this time put the others in doubt if there are MinDownForDoubt of them. */
    static constexpr Duration DoubtPeriod = std::chrono::seconds(2);
    static constexpr std::size_t MinDownForDoubt = 2;
    static constexpr std::size_t MaxProbesAtOnce = 4;
    /** After an endpoint was reached neither directly nor through another gateway, no gateway is asked for this long.
     */
    static constexpr Duration RelayBackoff = std::chrono::milliseconds(500);

    /** Replaces the list of endpoints. */
    void setEndpoints(const std::vector<DeployedEndpoint> &list);

    /** A direct connection was opened. */
    void recordConnected(Instant now, const std::string &address);
    /** No direct connection could be opened, but another gateway could open one. @p hangs if nothing answered, rather
     * than that the connection was refused. @return whether the link was up. */
    bool recordDown(Instant now, const std::string &address, bool hangs);
    /** Neither this gateway nor another one could open a connection. */
    void recordUnreachable(Instant now, const std::string &address);
    /** A request was sent on a direct connection. */
    void recordSent(Instant now, const std::string &address);
    /** Bytes of a response arrived on a direct connection. */
    void recordReceived(Instant now, const std::string &address);
    /** A request on a direct connection has ended, with or without a response. */
    void recordEnded(const std::string &address);

    [[nodiscard]] ConnectPlan plan(const std::string &address) const;
    /** Whether a kept direct connection may be used; if not, it may hang. */
    [[nodiscard]] bool mayReuse(const std::string &address) const;
    /** Whether another gateway may be asked for a connection. */
    [[nodiscard]] bool mayRelay(Instant now, const std::string &address) const;
    /** Whether this gateway reaches less than half of the endpoints of a service that others reach. */
    [[nodiscard]] bool isCutOff() const;
    [[nodiscard]] std::size_t downCount() const;
    /** Up to @p count addresses other than @p address, the last that worked first; ones that failed since come last. */
    [[nodiscard]] std::vector<std::string> latestConfirmed(const std::string &address, std::size_t count) const;
    /** Addresses to which a direct connection is to be opened now, at most MaxProbesAtOnce. */
    [[nodiscard]] std::vector<std::string> takeDueProbes(Instant now);

private:
    struct Link
    {
        std::string service; ///< Service of the endpoint.
        bool isDown = false; ///< See the head of this file.
        bool hangs = false; ///< While it is down: nothing answers, so that kept connections hang, too.
        Instant wentDown{0}; ///< When the link last went down.
        Instant confirmed{0}; ///< When the link was last seen to work.
        Instant failed{0}; ///< When no connection could be opened last, directly or through another gateway.
        unsigned inFlight = 0; ///< Requests sent on direct connections that have not ended.
        std::optional<Instant> silentSince; ///< Start of the oldest unanswered wait; empty while none is in flight.
        Instant probed{0}; ///< When the last probe was due.
        Instant relayBackoffUntil{0}; ///< See RelayBackoff.
    };

    [[nodiscard]] bool isInDoubt(const Link &link) const;
    [[nodiscard]] bool isProbeDue(Instant now, const Link &link) const;

    std::map<std::string, Link> links; ///< By address; only listed endpoints.
    std::optional<Instant> doubtSince; ///< Links that were not confirmed since then are in doubt; empty for no doubt.
    Instant lastReceived{0}; ///< When bytes last arrived from any endpoint.
    std::size_t nextProbe = 0; ///< Position in `links` at which the next search for due probes begins.
};

} // namespace Chestnuthook
