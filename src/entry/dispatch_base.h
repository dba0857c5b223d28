/** @file dispatch_base.h  Selects the endpoint of each attempt and limits the work in flight at each endpoint. */
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"
#include "endpoint/attempt_type.h"
#include "entry/permit_broker_base.h"
#include "policy/retry_budget_base.h"

namespace Chestnuthook
{

/** Dispatch for traffic threads; calls may block until a permit is granted. */
class Dispatch
{
public:
    Dispatch(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Waits for a permit. Errors: NoEndpoint, Overloaded, DeadlineExceeded, Quarantined; all with ran = no. */
    Result<DispatchPermit> acquire(const DispatchRequest &request);

    /** Releases the permit after its attempt has ended. The outcome updates the health of the endpoint. */
    void release(const DispatchPermit &permit, const DispatchRequest &request, const AttemptOutcome &outcome);

    /** Takes one retry from the retry budget of the model or service of @p request.
     * @return false if the budget is exhausted: the call then fails with the error of its last attempt. */
    bool consumeRetry(const DispatchRequest &request);

    /** Delay before retry number @p retry, counted from 1: exponential backoff with full jitter. */
    [[nodiscard]] Duration retryDelay(unsigned retry);

    /** Sets the latest endpoint list of the platform. */
    void setEndpoints(std::shared_ptr<const EndpointList> list);

    [[nodiscard]] std::shared_ptr<const EndpointList> endpoints() const;

    PermitBroker broker; ///< Acquires permits; for the control thread only.

private:
    ControlLoop &loop; ///< Outlives this.
    std::atomic<std::shared_ptr<const EndpointList>> list; ///< The latest endpoint list of the platform; never null.
    std::mutex retryMutex; ///< Guards the members below; never held while blocking.
    std::map<std::string, RetryBudget> retryBudgets; ///< Retry budgets by endpoint kind and name.
    std::uint64_t jitterSeed; ///< State of the random generator for jitter.
};

} // namespace Chestnuthook
