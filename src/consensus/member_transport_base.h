/** @file member_transport_base.h  Sends Raft messages to the other control members: batched and pipelined, dropped if a
 * member doesn't answer. */
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

/** Writes compressed entries as such if the receiver @p takesCompressed. */
void writeMessage(Wire::ConsensusMessage::Builder builder, const RaftMessage &message, bool takesCompressed = false);
/** Fails with an exception if an entry is damaged. */
[[nodiscard]] RaftMessage readMessage(Wire::ConsensusMessage::Reader reader);

/** Outgoing Raft messages of one member. Used on the control thread only. */
class MemberTransport
{
public:
    MemberTransport(RpcContext &context, std::string ownAddress);

    /** Sets the address of the member @p identity. */
    void setAddress(const std::string &identity, const std::string &address);

    /** Queues @p message for `flush`; drops it if the member is unknown or its queue is full. */
    void enqueue(RaftMessage message);
    void flush();

    /** Asks the member at @p address for its identity. The promise fails if it doesn't answer. */
    [[nodiscard]] kj::Promise<capnp::Response<Wire::Member::HelloResults>> hello(const std::string &address);

    [[nodiscard]] std::string addressOf(const std::string &identity) const;

private:
    struct Peer
    {
        std::string address; ///< Its control port, ip:port.
        std::unique_ptr<RpcLink> link; ///< Connection to `address`.
        std::vector<RaftMessage> queued; ///< Messages not sent yet.
        std::size_t queuedBytes = 0; ///< Size of their entries and snapshot chunks.
        unsigned callsInFlight = 0; ///< Unanswered calls of this generation.
        /** The connection on which the member has said that it takes compressed entries: after a restart it may be of
         * an older build. */
        std::weak_ptr<RpcLink::Connection> takesCompressed;
        std::uint64_t generation = 0; ///< Incremented when a connection is abandoned, to ignore results of its calls.
    };

    struct FailureIgnorer final : kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception && /*exception*/) override
        {
            // Failures of calls are handled where the calls are made.
        }
    };

    void sendTo(const std::string &identity, Peer &peer);

    RpcContext &context; ///< Outlives this.
    std::string ownAddress; ///< Own address, sent with each message.
    std::map<std::string, Peer> peers; ///< By identity.
    std::vector<std::unique_ptr<RpcLink>> retiredLinks; ///< Links to former addresses; calls may still be in flight.
    FailureIgnorer failures; ///< Error handler of `calls`.
    kj::TaskSet calls; ///< Calls in flight; declared last, so that they are cancelled before the links are destroyed.
};

} // namespace Chestnuthook
