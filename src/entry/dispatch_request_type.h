/** @file dispatch_request_type.h  A request to dispatch one attempt, and the permit that is granted for it. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/id_type.h"
#include "endpoint/endpoint_list_base.h"

namespace Chestnuthook
{

/** Requirements of an attempt, by which its endpoint and its place in the queue are chosen. */
struct DispatchRequest
{
    EndpointKind kind = EndpointKind::Engine; ///< Kind of endpoint: engine or service.
    std::string name; ///< Name of the model or service.
    ProgramId program; ///< Program that makes the call; the endpoints that it used before hold its cache.
    CustomerId customer; ///< Customer, for fair queueing.
    std::uint64_t promptTokens = 0; ///< Estimated size of the prompt, including the history.
    std::uint32_t maxTokens = 0; ///< Limit of the output.
    std::uint64_t attainedTokens = 0; ///< Tokens that the program has used; more goes first, see docs/POLICY.md.
    std::string fingerprint; ///< Fingerprint of customer and content, for quarantine.
    std::vector<EndpointId> excluded; ///< Endpoints at which the call has failed.
    std::int64_t deadlineMs = 0; ///< How long the attempt may wait for a permit, in milliseconds; 0 for the default.
    bool isolated = false; ///< Suspected of crashing endpoints: must be the only work in flight at its endpoint.
};

/** Permission to run one attempt at one endpoint; must be returned by `release` exactly once. */
struct DispatchPermit
{
    std::uint64_t id = 0; ///< Id, unique in this process.
    EndpointId endpoint; ///< Endpoint at which to run.
    std::int32_t priority = 0; ///< Scheduling priority for the engine; lower values go first.
};

} // namespace Chestnuthook
