/** @file relay_peers_base.h  Which other gateway is asked for a connection to an endpoint. No I/O, no clock. */
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/instance_registry_base.h"

namespace Chestnuthook
{

/** Used by the control thread only. */
class RelayPeers
{
public:
    /** A gateway that didn't answer is not asked for this long, doubled with each further failure in a row. */
    static constexpr Duration InitialBackoff = std::chrono::milliseconds(500);
    static constexpr unsigned MaxBackoffDoublings = 4;
    /** A gateway that refused is not asked for this long. */
    static constexpr Duration RefusalBackoff = std::chrono::milliseconds(250);
    /** Gateways of a data centre of which one doesn't reach an endpoint are asked last for this long: a cut often
     * concerns all of them, and they may not know it yet. */
    static constexpr Duration DataCentreBackoff = std::chrono::seconds(1);
    /** A gateway with this many more connections for this one than another is not preferred for its data centre. */
    static constexpr std::size_t ConnectionsPerStep = 8;

    RelayPeers(std::string ownName, std::string dataCentre);

    /** Replaces the list of the deployment's instances. */
    void setInstances(const std::vector<InstanceInfo> &instances);

    /** The gateway to ask next, none of @p tried. @return null if there is none. */
    [[nodiscard]] const InstanceInfo *choose(Instant now, const std::set<std::string> &tried) const;
    /** Whether connections through the gateway @p name may be kept for further requests. */
    [[nodiscard]] bool isUsable(const std::string &name) const;

    void recordOpened(const std::string &name);
    void recordClosed(const std::string &name);
    /** The gateway opened a connection. */
    void recordSuccess(const std::string &name);
    /** The gateway answered that it can't open one. */
    void recordRefusal(Instant now, const std::string &name);
    /** The gateway answered that it doesn't reach the endpoint. */
    void recordUnreachable(Instant now, const std::string &name);
    /** The gateway didn't answer. */
    void recordFailure(Instant now, const std::string &name);

private:
    struct Peer
    {
        InstanceInfo info; ///< From the list of instances.
        std::size_t connections = 0; ///< Open connections through it.
        unsigned failures = 0; ///< Failures in a row.
        Instant backoffUntil{0}; ///< Asked before then only if there is no other.
    };

    std::string ownName; ///< Name of this gateway.
    std::string dataCentre; ///< Data centre of this gateway.
    std::map<std::string, Instant> dataCentreBackoff; ///< End of DataCentreBackoff by data centre.
    std::map<std::string, Peer> peers; ///< By name: gateways that are ready, without this one.
};

} // namespace Chestnuthook
