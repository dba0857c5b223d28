/** @file cold_limit_func.h  Limit of the requests to an endpoint that is cold, so that the sum over all gateways and
 * leaders stays within what such an endpoint tolerates. Pure functions.
 *
 * A cold endpoint tolerates fewer requests per second than a warm one and crashes if it gets far more. Its requests are
 * counted in the same account as those to an endpoint that names a limit, but in windows of 1 s. The terms of
 * rate_budget_type.h then weigh more, because each of them must fit into one second; see `coldAccount`. */
#pragma once

#include <string>

#include "deployment/configuration_type.h"
#include "deployment/endpoint_limit_type.h"
#include "deployment/rate_budget_type.h"

namespace Chestnuthook
{

/** Requests that a cold endpoint may get in one second, given the requests per second that it tolerates. */
struct ColdTolerance
{
    double factor = 1.5; ///< Multiple of the tolerated rate.
    double requests = 5; ///< Requests beyond that.
};

/** How the requests to one endpoint are counted. */
struct EndpointAccount
{
    RateLimit limit; ///< Limit, named after the endpoint; its rate is 0 if the requests aren't limited.
    RateTolerance tolerance; ///< Tolerated excess over `limit`.
};

/** What limits the requests to an endpoint; 0 stands for no limit. */
struct EndpointRates
{
    double namedPerSecond = 0; ///< Requests per second that the endpoint has named as its limit.
    double coldPerSecond = 0; ///< Requests per second that it tolerates while it is cold; 0 if it isn't cold.
};

/** Account of @p endpoint. While it is cold it is counted in windows of 1 s, at the lower of both rates. */
[[nodiscard]] EndpointAccount endpointAccount(
    const std::string &endpoint, const EndpointRates &rates, const ColdTolerance &tolerance);

} // namespace Chestnuthook
