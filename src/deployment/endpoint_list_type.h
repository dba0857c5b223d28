/** @file endpoint_list_type.h  Endpoint list of the platform. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <kj/async.h>

#include "core/error_type.h"
#include "core/timer_type.h"

namespace Chestnuthook
{

struct DeployedEndpoint
{
    std::string id; ///< Identifies this incarnation; another one at the same address rejects requests for it.
    std::string service; ///< Name of its service.
    std::string address; ///< ip:port.
    std::string dataCentre; ///< Data centre of the endpoint.
    unsigned slots = 1; ///< Requests that it can run concurrently.
    bool leaving = false; ///< Shuts down soon and accepts no new requests.
    std::string version = {}; ///< Version of its software; empty if the list doesn't say.
    /** Requests per second that it takes from all gateways, as gateways reported to the leader; 0 for no limit. */
    double limitPerSecond = 0;
    /** Requests per second that it tolerates while it is cold; 0 for one that isn't cold. */
    double coldPerSecond = 0;
    Duration coldLeft{0}; ///< How much longer it stays cold; only in a list that was just read.
    bool operator==(const DeployedEndpoint &) const = default;
};

using EndpointListResult = std::unique_ptr<Result<std::vector<DeployedEndpoint>>>;

/** Reads the platform's list of endpoints. */
class EndpointSource
{
public:
    EndpointSource() = default;
    EndpointSource(const EndpointSource &) = delete;
    EndpointSource &operator=(const EndpointSource &) = delete;
    virtual ~EndpointSource() = default;
    /** Reads the complete list. Errors: NotReady if the platform doesn't answer. */
    [[nodiscard]] virtual kj::Promise<EndpointListResult> read() = 0;
};

} // namespace Chestnuthook
