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
#include "endpoint/instance_list_base.h"
#include "policy/retry_budget_base.h"
#include "program/call_request_type.h"

namespace Chestnuthook
{

/** What an attempt needs; enough to choose its endpoint and its place in the queue. */
struct DispatchDemand
{
    EndpointKind kind = EndpointKind::Engine; ///< Engine or service.
    std::string name; ///< Model or service.
    ProgramId program; ///< Whose call it is; its earlier endpoints hold its cache.
    TenantId tenant; ///< For fairness.
    std::uint64_t promptTokens = 0; ///< Estimate, history included.
    std::uint32_t maxTokens = 0; ///< Bound of the answer.
    std::uint64_t attainedTokens = 0; ///< Service that the program has had; less goes first.
    std::string fingerprint; ///< Of tenant and content, for quarantine.
    std::vector<EndpointId> avoid; ///< Endpoints that failed this call before.
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

/** For traffic threads; calls may wait for a turn. */
class Dispatch
{
public:
    Dispatch();

    /** Waits for a turn. Errors: NoEndpoint, Overloaded, DeadlineExceeded, Quarantined; all with ran = no. */
    Result<DispatchPermit> acquire(const DispatchDemand &demand);

    /** The attempt has ended; what it says of the endpoint's health and of the request is taken in. */
    void release(const DispatchPermit &permit, const DispatchDemand &demand, const AttemptOutcome &outcome);

    /** Takes one retry of @p demand's call out of the retry budget of its model or service.
     * @return false where retries have used it up: the call then fails with the error of its last attempt. */
    bool mayRetry(const DispatchDemand &demand);

    /** How long to wait before retry number @p retry (from 1): exponential, with full jitter. */
    [[nodiscard]] Duration retryDelay(unsigned retry);

    /** Takes in the platform's latest list. */
    void setEndpoints(std::shared_ptr<const EndpointList> list);

    [[nodiscard]] std::shared_ptr<const EndpointList> endpoints() const;

private:
    std::atomic<std::shared_ptr<const EndpointList>> list; ///< The platform's list; never null.
    std::atomic<std::uint64_t> turn = 0; ///< Turns through the endpoints.
    std::atomic<std::uint64_t> lastPermit = 0; ///< Id of the last permit.
    std::mutex retryMutex; ///< Guards the members below; held for arithmetic only.
    std::map<std::string, RetryBudget> retryBudgets; ///< By kind and name of the target.
    std::uint64_t jitterSeed; ///< State of the jitter's generator.
};

} // namespace Chestnuthook
