/** @file dispatch_base.h  Chooses the endpoint of each attempt and bounds the work in flight there. */
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

/** For traffic threads; calls may wait for a turn. */
class Dispatch
{
public:
    Dispatch(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers);

    /** Waits for a turn. Errors: NoEndpoint, Overloaded, DeadlineExceeded, Quarantined; all with ran = no. */
    Result<DispatchPermit> acquire(const DispatchRequest &request);

    /** The attempt has ended; what it says of the endpoint's health and of the request is taken in. */
    void release(const DispatchPermit &permit, const DispatchRequest &request, const AttemptOutcome &outcome);

    /** Takes one retry of @p demand's call out of the retry budget of its model or service.
     * @return false where retries have used it up: the call then fails with the error of its last attempt. */
    bool consumeRetry(const DispatchRequest &request);

    /** How long to wait before retry number @p retry (from 1): exponential, with full jitter. */
    [[nodiscard]] Duration retryDelay(unsigned retry);

    /** Takes in the platform's latest list. */
    void setEndpoints(std::shared_ptr<const EndpointList> list);

    [[nodiscard]] std::shared_ptr<const EndpointList> endpoints() const;

    PermitBroker broker; ///< For the control thread only.

private:
    ControlLoop &loop; ///< Outlives this.
    std::atomic<std::shared_ptr<const EndpointList>> list; ///< The platform's list; never null.
    std::mutex retryMutex; ///< Guards the members below; held for arithmetic only.
    std::map<std::string, RetryBudget> retryBudgets; ///< By kind and name of the target.
    std::uint64_t jitterSeed; ///< State of the jitter's generator.
};

} // namespace Chestnuthook
