/** @file endpoint_list_type.h  Endpoints as the platform's list names them. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <kj/async.h>

#include "core/error_type.h"

namespace Chestnuthook
{

struct DeployedEndpoint
{
    std::string id; ///< Of this incarnation; another one at the same address refuses requests meant for it.
    std::string service; ///< Name of its service.
    std::string address; ///< ip:port.
    std::string dataCentre; ///< Where it is.
    unsigned slots = 1; ///< Requests that it runs at once.
    bool leaving = false; ///< Takes no new work.
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
    /** The whole list. Errors: NotReady where the platform doesn't answer. */
    [[nodiscard]] virtual kj::Promise<EndpointListResult> read() = 0;
};

} // namespace Chestnuthook
