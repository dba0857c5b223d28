/** @file member_transport_base.cpp  Conversion of Raft messages from and to Cap'n Proto, and their transport. */
#include "consensus/member_transport_base.h"

#include <utility>

#include "core/compression_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr unsigned MaxCallsInFlight = 16;
constexpr std::size_t MaxQueuedMessages = 4096;
constexpr std::size_t MaxQueuedBytes = 16U << 20U; ///< Of entries and snapshot chunks; one message may be larger.
constexpr auto SendTimeout = 1000 * kj::MILLISECONDS;

void writeEntries(
    capnp::List<Wire::LogEntry>::Builder list, const std::vector<RaftEntry> &entries, bool takesCompressed)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setTerm(entries[i].term);
        list[i].setIndex(entries[i].index);
        list[i].setKind(static_cast<std::uint8_t>(entries[i].kind));
        const std::string &compressed = entries[i].data.compressed();
        if (takesCompressed && !compressed.empty()) {
            list[i].setCompressed(dataOf(compressed));
        } else {
            list[i].setData(dataOf(entries[i].data));
        }
    }
}

SharedBytes readData(Wire::LogEntry::Reader entry)
{
    if (!entry.hasCompressed()) {
        return bytesOf(entry.getData());
    }
    std::string compressed = bytesOf(entry.getCompressed());
    Result<std::string> data = decompress(compressed);
    KJ_REQUIRE(data.has_value(), "a log entry that another member sent is damaged");
    return {std::move(*data), std::move(compressed)};
}

void readAppend(RaftMessage &message, Wire::ConsensusMessage::Append::Reader append)
{
    message.kind = RaftMessageKind::Append;
    message.index = append.getPrevIndex();
    message.logTerm = append.getPrevTerm();
    message.commit = append.getCommit();
    message.readContext = append.getReadContext();
    for (const auto entry : append.getEntries()) {
        message.entries.push_back(
            RaftEntry{entry.getTerm(), entry.getIndex(), static_cast<RaftEntryKind>(entry.getKind()), readData(entry)});
    }
}

void readSnapshot(RaftMessage &message, Wire::ConsensusMessage::Reader reader)
{
    const auto snapshot = reader.getSnapshot();
    message.kind = RaftMessageKind::Snapshot;
    message.index = snapshot.getLastIndex();
    message.logTerm = snapshot.getLastTerm();
    message.membership = decodeMembership(bytesOf(snapshot.getMembership()));
    message.offset = snapshot.getOffset();
    message.data = bytesOf(snapshot.getData());
    message.ok = snapshot.getDone();
    message.readContext = reader.getSnapshotReadContext();
}

} // namespace

void writeMessage(Wire::ConsensusMessage::Builder builder, const RaftMessage &message, bool takesCompressed)
{
    builder.setFrom(message.from);
    builder.setTo(message.to);
    builder.setTerm(message.term);
    switch (message.kind) {
    case RaftMessageKind::Vote: {
        auto vote = builder.initVote();
        vote.setPre(message.isPreVote);
        vote.setLastIndex(message.index);
        vote.setLastTerm(message.logTerm);
        break;
    }
    case RaftMessageKind::VoteReply: {
        auto reply = builder.initVoteReply();
        reply.setPre(message.isPreVote);
        reply.setGranted(message.ok);
        break;
    }
    case RaftMessageKind::Append: {
        auto append = builder.initAppend();
        append.setPrevIndex(message.index);
        append.setPrevTerm(message.logTerm);
        append.setCommit(message.commit);
        append.setReadContext(message.readContext);
        writeEntries(
            append.initEntries(static_cast<unsigned>(message.entries.size())), message.entries, takesCompressed);
        break;
    }
    case RaftMessageKind::AppendReply: {
        auto reply = builder.initAppendReply();
        reply.setOk(message.ok);
        reply.setMatchIndex(message.index);
        reply.setReadContext(message.readContext);
        break;
    }
    case RaftMessageKind::Snapshot: {
        auto snapshot = builder.initSnapshot();
        snapshot.setLastIndex(message.index);
        snapshot.setLastTerm(message.logTerm);
        snapshot.setMembership(dataOf(encodeMembership(message.membership)));
        snapshot.setOffset(message.offset);
        snapshot.setData(dataOf(message.data));
        snapshot.setDone(message.ok);
        builder.setSnapshotReadContext(message.readContext);
        break;
    }
    case RaftMessageKind::SnapshotReply: {
        auto reply = builder.initSnapshotReply();
        reply.setLastIndex(message.index);
        reply.setOffset(message.offset);
        reply.setReadContext(message.readContext);
        break;
    }
    }
}

RaftMessage readMessage(Wire::ConsensusMessage::Reader reader)
{
    RaftMessage message;
    message.from = textOf(reader.getFrom());
    message.to = textOf(reader.getTo());
    message.term = reader.getTerm();
    switch (reader.which()) {
    case Wire::ConsensusMessage::VOTE:
        message.kind = RaftMessageKind::Vote;
        message.isPreVote = reader.getVote().getPre();
        message.index = reader.getVote().getLastIndex();
        message.logTerm = reader.getVote().getLastTerm();
        break;
    case Wire::ConsensusMessage::VOTE_REPLY:
        message.kind = RaftMessageKind::VoteReply;
        message.isPreVote = reader.getVoteReply().getPre();
        message.ok = reader.getVoteReply().getGranted();
        break;
    case Wire::ConsensusMessage::APPEND:
        readAppend(message, reader.getAppend());
        break;
    case Wire::ConsensusMessage::APPEND_REPLY:
        message.kind = RaftMessageKind::AppendReply;
        message.ok = reader.getAppendReply().getOk();
        message.index = reader.getAppendReply().getMatchIndex();
        message.readContext = reader.getAppendReply().getReadContext();
        break;
    case Wire::ConsensusMessage::SNAPSHOT:
        readSnapshot(message, reader);
        break;
    case Wire::ConsensusMessage::SNAPSHOT_REPLY:
        message.kind = RaftMessageKind::SnapshotReply;
        message.index = reader.getSnapshotReply().getLastIndex();
        message.offset = reader.getSnapshotReply().getOffset();
        message.readContext = reader.getSnapshotReply().getReadContext();
        break;
    }
    return message;
}

MemberTransport::MemberTransport(RpcContext &context, std::string ownAddress)
    : context(context)
    , ownAddress(std::move(ownAddress))
    , calls(this->failures)
{
}

void MemberTransport::setAddress(const std::string &identity, const std::string &address)
{
    Peer &peer = this->peers[identity];
    if (peer.address != address && !address.empty()) {
        peer.address = address;
        if (peer.link != nullptr) {
            this->retiredLinks.push_back(std::move(peer.link));
        }
        ++peer.generation;
        peer.link = std::make_unique<RpcLink>(this->context, address);
        peer.callsInFlight = 0;
    }
}

std::string MemberTransport::addressOf(const std::string &identity) const
{
    const auto peer = this->peers.find(identity);
    return peer == this->peers.end() ? "" : peer->second.address;
}

void MemberTransport::enqueue(RaftMessage message)
{
    const auto found = this->peers.find(message.to);
    if (found == this->peers.end() || found->second.link == nullptr) {
        return;
    }
    Peer &peer = found->second;
    const std::size_t bytes = message.bytes();
    const bool isOver = peer.queuedBytes > 0 && bytes > 0 && peer.queuedBytes + bytes > MaxQueuedBytes;
    if (peer.queued.size() < MaxQueuedMessages && !isOver) {
        peer.queuedBytes += bytes;
        peer.queued.push_back(std::move(message));
    }
}

void MemberTransport::flush()
{
    for (auto &[identity, peer] : this->peers) {
        if (!peer.queued.empty() && peer.callsInFlight < MaxCallsInFlight) {
            this->sendTo(identity, peer);
        }
    }
}

void MemberTransport::sendTo(const std::string &identity, Peer &peer)
{
    ++peer.callsInFlight;
    auto messages = std::exchange(peer.queued, {});
    peer.queuedBytes = 0;
    RpcLink *link = peer.link.get();
    auto sent =
        link->connection().then([this, identity, messages = std::move(messages)](RpcLink::ConnectionPtr &&connection) {
            const bool takesCompressed = this->peers[identity].takesCompressed.lock() == connection;
            auto request = RpcLink::servicesOf(connection).peer.castAs<Wire::Member>().sendRequest();
            auto list = request.initMessages(static_cast<unsigned>(messages.size()));
            for (unsigned i = 0; i < list.size(); ++i) {
                writeMessage(list[i], messages[i], takesCompressed);
                list[i].setFromAddress(this->ownAddress);
            }
            return request.send().then([this, identity, connection](auto &&response) {
                if (response.getTakesCompressed()) {
                    this->peers[identity].takesCompressed = connection;
                }
            });
        });
    const auto onCallEnded = [this, identity, generation = peer.generation](bool failed) {
        Peer &current = this->peers[identity];
        if (current.generation != generation) {
            return; // The connection was abandoned in the meantime.
        }
        --current.callsInFlight;
        if (failed) {
            ++current.generation;
            current.callsInFlight = 0;
            current.link->reset();
            current.queued.clear();
            current.queuedBytes = 0;
        } else if (!current.queued.empty() && current.callsInFlight < MaxCallsInFlight) {
            this->sendTo(identity, current);
        }
    };
    this->calls.add(this->context.timer.timeoutAfter(SendTimeout, kj::mv(sent))
                        .then(
                            [onCallEnded]() {
                                onCallEnded(false);
                            },
                            [onCallEnded](kj::Exception && /*exception*/) {
                                onCallEnded(true);
                            }));
}

kj::Promise<capnp::Response<Wire::Member::HelloResults>> MemberTransport::hello(const std::string &address)
{
    auto link = kj::heap<RpcLink>(this->context, address);
    auto identified = link->services().then([](OfferedServices &&services) {
        return services.peer.castAs<Wire::Member>().helloRequest().send();
    });
    return this->context.timer.timeoutAfter(SendTimeout, kj::mv(identified)).attach(kj::mv(link));
}

} // namespace Chestnuthook
