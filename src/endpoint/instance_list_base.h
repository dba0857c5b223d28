/** @file instance_list_base.h  The platform's list of endpoint instances, polled; it lags. */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"

namespace Chestnuthook
{

enum class EndpointKind : std::uint8_t { Engine, Service };

/** One endpoint as the platform lists it. */
struct ListedEndpoint
{
    EndpointId id; ///< ip:port.
    EndpointKind kind = EndpointKind::Engine; ///< What it serves.
    std::string name; ///< Model of an engine, or name of a service.
    DataCentreId dataCentre; ///< Where it is.
    bool leaving = false; ///< Gets nothing new.
};

using EndpointList = std::vector<ListedEndpoint>;

/** Reads the list once from the platform at @p address. For traffic threads. Errors: NoEndpoint. */
[[nodiscard]] Result<EndpointList> fetchInstances(const std::string &address);

} // namespace Chestnuthook
