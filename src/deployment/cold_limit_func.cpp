/** @file cold_limit_func.cpp  Division of what a cold endpoint tolerates in one second. */
#include "deployment/cold_limit_func.h"

#include <algorithm>
#include <cmath>

namespace Chestnuthook
{

namespace
{

constexpr Duration ColdWindow = std::chrono::seconds(1);
/** Requests arrive at the endpoint up to this much later than they are admitted, some of them at once: connections are
 * opened, and a gateway that was short of processor time sends what has accumulated. */
constexpr Duration ArrivalJitter = std::chrono::milliseconds(100);
/** Requests that may be sent at once, in seconds of the rate; at least 1. */
constexpr double BurstSeconds = 0.2;
/** The burst counts twice: gateways that have lost the leader hold tokens for one burst as well. */
constexpr double BurstCount = 2;
/** Part of the room left by the rate that one burst may take. */
constexpr double BurstFraction = 1.0 / 3;
/** Room for new leaders and for gateways whose leader is slow if the endpoint names a lower limit. The windows of that
 * limit are longer and hold several of these windows. */
constexpr double MaxRoomBelowNamedLimit = 1;
/** A cold endpoint gets a request now and then even if its settings allow none. */
constexpr double MinRatePerSecond = 0.1;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** In one window an endpoint gets at most what this rate allows in the window and in the time before it in which
 * requests were admitted or credit was granted, twice the burst, and the room that is left. */
EndpointAccount coldAccount(const std::string &endpoint, const EndpointRates &rates, const ColdTolerance &tolerance)
{
    const double span = seconds(ColdWindow + CreditTtl + ArrivalJitter);
    const double allowed = rates.coldPerSecond * tolerance.factor * seconds(ColdWindow) + tolerance.requests;
    const bool isNamedLower = rates.namedPerSecond > 0 && rates.namedPerSecond < rates.coldPerSecond;
    const double wanted = isNamedLower ? rates.namedPerSecond : rates.coldPerSecond;
    const double rate = std::max(std::min(wanted, (allowed - BurstCount) / span), MinRatePerSecond);
    const double room = allowed - rate * span;
    const double burst = std::max(std::floor(std::min(room * BurstFraction, rate * BurstSeconds)), 1.0);
    const double maxRest = isNamedLower ? MaxRoomBelowNamedLimit : room;
    const double rest = std::clamp(room - BurstCount * burst, 0.0, maxRest);
    return {{endpoint, rate, burst}, {ColdWindow, 0, rest + rate * seconds(CreditTtl)}};
}

} // namespace

EndpointAccount endpointAccount(const std::string &endpoint, const EndpointRates &rates, const ColdTolerance &tolerance)
{
    if (rates.coldPerSecond > 0) {
        return coldAccount(endpoint, rates, tolerance);
    }
    return {endpointRateLimit(endpoint, rates.namedPerSecond), endpointLimitTolerance()};
}

} // namespace Chestnuthook
