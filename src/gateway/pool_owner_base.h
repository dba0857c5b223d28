/** @file pool_owner_base.h  The pools that this gateway owns: turns that are granted, that wait, and that gateways ask
 * for. Serves every pool that other gateways ask it for, as lists of gateways differ for moments. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <kj/async.h>

#include "core/timer_base.h"
#include "dispatch/endpoint_pool_base.h"
#include "gateway/endpoint_pools_base.h"
#include "gateway/pool_message_func.h"
#include "gateway/program_totals_base.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** A turn that a former owner granted. */
struct AdoptedTurn
{
    TurnRequest request; ///< As submitted there.
    std::string endpoint; ///< Where it runs.
};

/** Used by the control thread only. */
class PoolOwner
{
public:
    /** Longest time for which a call waits for a grant. */
    static constexpr Duration MaxAwait = std::chrono::milliseconds(250);
    /** While turns wait, grants are looked for this often. */
    static constexpr Duration GrantInterval = std::chrono::milliseconds(5);
    /** A decision that its holder doesn't fetch within this time is withdrawn. */
    static constexpr Duration UnfetchedTtl = std::chrono::milliseconds(500);
    /** The endpoints of a pool in use are described anew this often. */
    static constexpr Duration RefreshInterval = std::chrono::milliseconds(100);
    /** A pool that has not been used for this long is forgotten. */
    static constexpr Duration IdleTtl = std::chrono::seconds(10);

    /** Returns the endpoints of a pool and its parameters as this gateway sees them. */
    struct Description
    {
        std::vector<PoolEndpoint> endpoints; ///< With what can be used now.
        PoolParameters parameters; ///< Priors.
    };
    using Describe = std::function<Description(const PoolInfo &)>;

    PoolOwner(ControlLoop &loop, const EndpointPools &pools, Describe describe);

    /** Places a turn. The answer has no verdict if no endpoint of the pool is usable.
     * @return nothing if this gateway doesn't know the pool. */
    [[nodiscard]] std::optional<PoolAnswer> acquire(const std::string &pool, TurnRequest request);
    /** Waits at most @p wait, which is limited to MaxAwait, for the decision on a turn that waits. */
    [[nodiscard]] kj::Promise<PoolAnswer> await(
        const std::string &pool, const std::string &holder, std::uint64_t ticket, Duration wait);
    void release(const std::string &pool, const std::vector<TurnOutcome> &outcomes);
    void cancel(const std::string &pool, const std::string &holder, const std::vector<std::uint64_t> &tickets);
    void adopt(const std::string &pool, const std::vector<AdoptedTurn> &turns);
    /** Where a turn would go now. @return nothing if this gateway doesn't know the pool. */
    [[nodiscard]] std::optional<std::vector<EndpointForecast>> explain(
        const std::string &pool, const TurnRequest &request);

    /** Drops the turns of gateways that aren't among @p holders. */
    void retainHolders(const std::set<std::string> &holders);
    /** Must be called when the endpoint list or the configuration has changed. */
    void refresh();

private:
    using TurnKey = std::pair<std::string, std::uint64_t>; ///< Holder and ticket.
    struct Unfetched
    {
        TurnDecision decision; ///< For the holder.
        Instant decidedAt{0}; ///< When it was made.
    };
    struct OwnedPool
    {
        EndpointPool pool; ///< Decides.
        ProgramTotals totals; ///< Of the programs whose first turn was placed here.
        bool hasUsable = false; ///< An endpoint of it is usable.
        std::set<std::string> holders; ///< Gateways that have used it.
        std::set<TurnKey> waiting; ///< Turns without a decision.
        std::map<TurnKey, Unfetched> unfetched; ///< Decisions for which no call waits.
        std::map<TurnKey, kj::Own<kj::PromiseFulfiller<PoolAnswer>>> calls; ///< Calls that wait, or have ended.
        Instant refreshedAt{0}; ///< When its endpoints were described.
        Instant lastUse{0}; ///< Last call.
    };

    /** @return null if this gateway doesn't know the pool. */
    OwnedPool *open(const std::string &id);
    /** The pool if a turn was placed in it. @return null otherwise. */
    OwnedPool *findOpen(const std::string &id);
    void describePool(OwnedPool &owned, const PoolInfo &info);
    /** Hands out grants after a change. */
    void settle(OwnedPool &owned);
    void tick();
    void startTimer();
    [[nodiscard]] Instant now() const
    {
        return this->loop.timers().now();
    }

    ControlLoop &loop; ///< Must outlive this object.
    const EndpointPools &pools; ///< Must outlive this object.
    Describe describe; ///< See Description.
    std::map<std::string, OwnedPool> owned; ///< By id of the pool.
    TimerSubscription grantTimer; ///< Calls `tick` while turns wait.
};

} // namespace Chestnuthook
