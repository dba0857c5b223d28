/** @file dispatch_request_type.h  What an attempt asks of dispatch, and the permit that it gets. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "endpoint/instance_list_base.h"

namespace Chestnuthook
{

/** What an attempt needs; enough to choose its endpoint and its place in the queue. */
struct DispatchRequest
{
    EndpointKind kind = EndpointKind::Engine; ///< Engine or service.
    std::string name; ///< Model or service.
    ProgramId program; ///< Whose call it is; its earlier endpoints hold its cache.
    TenantId tenant; ///< For fairness.
    std::uint64_t promptTokens = 0; ///< Estimate, history included.
    std::uint32_t maxTokens = 0; ///< Bound of the answer.
    std::uint64_t attainedTokens = 0; ///< Service that the program has had; more goes first, see docs/POLICY.md.
    std::string fingerprint; ///< Of tenant and content, for quarantine.
    std::vector<EndpointId> excluded; ///< Endpoints that failed this call before.
    std::int64_t deadlineMs = 0; ///< How long the attempt may wait for its turn, in milliseconds; 0 for the default.
    bool isolated = false; ///< Suspected of crashing endpoints: nothing else is in flight at its endpoint.
};

/** Leave to run one attempt at one endpoint; given back by `release`, exactly once. */
struct DispatchPermit
{
    std::uint64_t id = 0; ///< Unique in this process.
    EndpointId endpoint; ///< Where to run.
    std::int32_t priority = 0; ///< For the engine; less goes first.
};

} // namespace Chestnuthook
