/** @file shutdown_schedule_func.cpp  Divides the grace period of a stop between accepting and finishing requests. */
#include "gateway/shutdown_schedule_func.h"

#include <algorithm>

#include "deployment/instance_registry_base.h"

namespace Chestnuthook
{

namespace
{

/** Allows for the transmission of requests that clients send just before their list of gateways expires. */
constexpr Duration ArrivalMargin = std::chrono::milliseconds(200);
/** Allows for writing the response to a request that has reached its deadline. */
constexpr Duration ResponseMargin = std::chrono::milliseconds(200);
/** A process that ends at an idle moment never has its port closed while it finishes requests, so it is back sooner. */
constexpr Duration IdlePeriod = std::chrono::seconds(2);
/** The process ends this long before it would be killed. */
constexpr Duration KillMargin = std::chrono::milliseconds(600);

} // namespace

ShutdownSchedule shutdownSchedule(Duration grace, Duration longestRequest)
{
    const Duration listTtl = gatewayListTtl(grace);
    ShutdownSchedule schedule;
    schedule.endAfter = std::max(grace - KillMargin, Duration(0));
    schedule.answerBy = std::max(schedule.endAfter - ResponseMargin, Duration(0));
    // A request that is accepted last must reach its deadline before the process ends.
    const Duration lastAcceptance = schedule.answerBy - longestRequest;
    const Duration allListsExpired = listTtl * MaxTtlOverrunFactor + ArrivalMargin;
    // With very long requests most clients would still hold a list that names this gateway.
    const Duration mostListsExpired = listTtl + ArrivalMargin;
    schedule.acceptFor =
        std::min(std::max(std::min(lastAcceptance, allListsExpired), mostListsExpired), schedule.endAfter);
    schedule.endIdleAfter = std::max(schedule.acceptFor - IdlePeriod, std::min(mostListsExpired, schedule.acceptFor));
    return schedule;
}

} // namespace Chestnuthook
