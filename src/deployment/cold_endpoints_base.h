/** @file cold_endpoints_base.h  Which endpoints are cold, from what the platform's list says. No I/O, no clock. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/timer_type.h"
#include "deployment/configuration_type.h"
#include "deployment/endpoint_list_type.h"

namespace Chestnuthook
{

/** The list says how much longer an endpoint stays cold. That changes with each read, so the end is kept here and only
 * the change between cold and warm shows in the published list. */
class ColdEndpoints
{
public:
    /** An endpoint that has become cold or warm. */
    struct Change
    {
        std::string endpoint; ///< Id of the endpoint.
        std::string service; ///< Its service.
        Duration left{0}; ///< How much longer it stays cold; 0 if it has become warm.
    };

    /** Takes over what a former leader has published of @p list. Its endpoints count as cold for ListLag. */
    void adopt(Instant now, const std::vector<DeployedEndpoint> &list);
    /** Takes what a list that was just read says and forgets the endpoints that it doesn't name. */
    void recordListed(Instant now, const std::vector<DeployedEndpoint> &list);
    /** Whether @p endpoint is cold. */
    [[nodiscard]] bool isCold(Instant now, const std::string &endpoint) const;
    /** Sets `coldPerSecond` of each endpoint of @p list, and clears `coldLeft`, which must not make lists differ.
     * @param configuration names the rates of the services; may be null.
     * @return whether @p list has changed in what gateways must know. */
    bool mark(Instant now, const Configuration *configuration, std::vector<DeployedEndpoint> &list) const;
    /** Endpoints that have become cold or warm since the last call. */
    [[nodiscard]] std::vector<Change> takeChanges(Instant now);

    /** The list may lag and come from replicas of different age. An endpoint that has been listed as cold counts as
     * warm before its end only if all lists read for this long say so. */
    static constexpr Duration ListLag = std::chrono::seconds(2);

private:
    struct Entry
    {
        std::string service; ///< Service of the endpoint.
        Instant until{0}; ///< When the endpoint becomes warm.
        std::optional<Instant> warmSince; ///< When the first of the lists was read since which all say it is warm.
        bool wasCold = false; ///< As `takeChanges` last saw it.
    };

    [[nodiscard]] static bool isCold(Instant now, const Entry &entry);

    std::map<std::string, Entry> entries; ///< By endpoint id; those that are or were cold.
};

} // namespace Chestnuthook
