/** @file endpoint_list_base.h  Reads the platform's list of endpoints. The list is polled, so it lags behind the actual
 * state. */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"
#include "endpoint/attempt_type.h"

namespace Chestnuthook
{

enum class EndpointKind : std::uint8_t { Engine, Service };

/** Entry of the platform's list of endpoints. */
struct ListedEndpoint
{
    EndpointId id; ///< ip:port.
    EndpointKind kind = EndpointKind::Engine;
    std::string name; ///< Model name of an engine, or name of a service.
    DataCentreId dataCentre;
    bool leaving = false; ///< The endpoint is being drained and gets no new calls.
};

using EndpointList = std::vector<ListedEndpoint>;

/** Fetches the list once from the platform at @p address. Blocks the calling thread until @p cancel is cancelled at the
 * latest. Errors: NoEndpoint. */
[[nodiscard]] Result<EndpointList> fetchEndpointList(const std::string &address, CancelToken &cancel);

} // namespace Chestnuthook
