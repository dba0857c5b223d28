/** @file credit_relay_base.h  Requests credit from the leader for many gateways at once. A control member that doesn't
 * lead serves gateways this way, so that the leader's work doesn't grow with the requests of clients. */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include <kj/async.h>

#include "deployment/credit_batch_type.h"
#include "rpc/control_loop_base.h"

namespace Chestnuthook
{

/** Used by the control thread only. */
class CreditRelay
{
public:
    /** Requests credit from the leader. The promise fails if it doesn't answer. */
    using LeaderCall = std::function<kj::Promise<BoxedGrants>(const CreditRequests &requests)>;

    CreditRelay(ControlLoop &loop, LeaderCall callLeader);
    CreditRelay(const CreditRelay &) = delete;
    CreditRelay &operator=(const CreditRelay &) = delete;

    /** Requests credit for one gateway, together with those that ask meanwhile. The promise fails if the leader doesn't
     * answer. */
    [[nodiscard]] kj::Promise<BoxedGrants> request(const CreditRequests &requests);

    /** Sets the number of members that relay, this one included. */
    void setRelayCount(std::size_t count)
    {
        this->relayCount = count;
    }

    /** Time from a call to the leader, which took @p duration, until the next one of this relay, one of @p relays. A
     * leader that is slow to answer is called less often. */
    [[nodiscard]] static Duration leaderCallInterval(Duration duration, std::size_t relays)
    {
        const Duration least = MinLeaderCallInterval * static_cast<std::int64_t>(relays);
        return std::max(least, std::min(2 * duration, MaxSlowLeaderInterval));
    }
    /** All relays together call the leader at most once in this time. */
    static constexpr Duration MinLeaderCallInterval = std::chrono::microseconds(750);

private:
    /** A leader that hasn't answered at all may have a successor by now. */
    static constexpr Duration MaxSlowLeaderInterval = std::chrono::milliseconds(50);

    using Fulfiller = kj::Own<kj::PromiseFulfiller<BoxedGrants>>;

    /** Sends the waiting requests, unless the last call has not been answered or was sent just before. */
    void sendBatch();

    ControlLoop &loop; ///< Must outlive this object.
    LeaderCall callLeader; ///< See LeaderCall.
    std::size_t relayCount = 1; ///< See `setRelayCount`.
    CreditBatch waiting; ///< Requests that no call to the leader holds yet.
    std::vector<Fulfiller> waitingFulfillers; ///< One for each call in `waiting`, in its order.
    bool isCalling = false; ///< A call to the leader is in progress, or was sent just before.
};

} // namespace Chestnuthook
