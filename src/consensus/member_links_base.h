/** @file member_links_base.h  Messages to the other control members: batched, pipelined, dropped where one doesn't
 * answer. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <kj/async.h>

#include "consensus/raft_type.h"
#include "rpc/consensus.capnp.h"
#include "rpc/rpc_link_base.h"

namespace Chestnuthook
{

void writeMessage(Wire::ConsensusMessage::Builder builder, const RaftMessage &message);
[[nodiscard]] RaftMessage readMessage(Wire::ConsensusMessage::Reader reader);

/** For the control thread. */
class MemberLinks
{
public:
    MemberLinks(RpcContext &context, std::string ownAddress);

    /** Sets where the member @p identity is reached. */
    void setAddress(const std::string &identity, const std::string &address);

    /** Takes @p message for sending by `flush`; loses it where the member is unknown or too much waits. */
    void add(RaftMessage message);
    void flush();

    /** Asks the member at @p address who it is. The promise fails where it doesn't answer. */
    [[nodiscard]] kj::Promise<capnp::Response<Wire::Member::HelloResults>> hello(const std::string &address);

    [[nodiscard]] std::string addressOf(const std::string &identity) const;

private:
    struct Peer
    {
        std::string address; ///< ip:port.
        std::unique_ptr<RpcLink> link; ///< To `address`.
        std::vector<RaftMessage> waiting; ///< Not yet sent.
        unsigned underWay = 0; ///< Calls of this generation not yet answered.
        std::uint64_t generation = 0; ///< Grows when the connection is given up; later news of its calls is void.
    };

    struct LogFailures final : kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception && /*exception*/) override
        {
            // Failures of calls are taken care of where they are made.
        }
    };

    void sendTo(const std::string &identity, Peer &peer);

    RpcContext &context; ///< Outlives this.
    std::string ownAddress; ///< Goes with each message.
    std::map<std::string, Peer> peers; ///< By identity.
    std::vector<std::unique_ptr<RpcLink>> retired; ///< To addresses that members have left; calls may be under way.
    LogFailures failures; ///< Of `sending`.
    kj::TaskSet sending; ///< Calls under way; ended before the links.
};

} // namespace Chestnuthook
