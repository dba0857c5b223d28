/** @file member_links_base.cpp  Sending, and messages on the wire. */
#include "consensus/member_links_base.h"

#include <utility>

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr unsigned MaxCallsUnderWay = 16;
constexpr std::size_t MaxWaiting = 4096;
constexpr auto SendTimeout = 1000 * kj::MILLISECONDS;

void writeEntries(capnp::List<Wire::LogEntry>::Builder list, const std::vector<RaftEntry> &entries)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setTerm(entries[i].term);
        list[i].setIndex(entries[i].index);
        list[i].setKind(static_cast<std::uint8_t>(entries[i].kind));
        list[i].setData(dataOf(entries[i].data));
    }
}

void readAppend(RaftMessage &message, Wire::ConsensusMessage::Append::Reader append)
{
    message.kind = RaftMessageKind::Append;
    message.index = append.getPrevIndex();
    message.logTerm = append.getPrevTerm();
    message.commit = append.getCommit();
    message.readContext = append.getReadContext();
    for (const auto entry : append.getEntries()) {
        message.entries.push_back(RaftEntry{
            entry.getTerm(), entry.getIndex(), static_cast<RaftEntryKind>(entry.getKind()), bytesOf(entry.getData())});
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

void writeMessage(Wire::ConsensusMessage::Builder builder, const RaftMessage &message)
{
    builder.setFrom(message.from);
    builder.setTo(message.to);
    builder.setTerm(message.term);
    switch (message.kind) {
    case RaftMessageKind::Vote: {
        auto vote = builder.initVote();
        vote.setPre(message.pre);
        vote.setLastIndex(message.index);
        vote.setLastTerm(message.logTerm);
        break;
    }
    case RaftMessageKind::VoteReply: {
        auto reply = builder.initVoteReply();
        reply.setPre(message.pre);
        reply.setGranted(message.ok);
        break;
    }
    case RaftMessageKind::Append: {
        auto append = builder.initAppend();
        append.setPrevIndex(message.index);
        append.setPrevTerm(message.logTerm);
        append.setCommit(message.commit);
        append.setReadContext(message.readContext);
        writeEntries(append.initEntries(static_cast<unsigned>(message.entries.size())), message.entries);
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
        message.pre = reader.getVote().getPre();
        message.index = reader.getVote().getLastIndex();
        message.logTerm = reader.getVote().getLastTerm();
        break;
    case Wire::ConsensusMessage::VOTE_REPLY:
        message.kind = RaftMessageKind::VoteReply;
        message.pre = reader.getVoteReply().getPre();
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

MemberLinks::MemberLinks(RpcContext &context, std::string ownAddress)
    : context(context)
    , ownAddress(std::move(ownAddress))
    , sending(this->failures)
{
}

void MemberLinks::setAddress(const std::string &identity, const std::string &address)
{
    Peer &peer = this->peers[identity];
    if (peer.address != address && !address.empty()) {
        peer.address = address;
        if (peer.link != nullptr) {
            this->retired.push_back(std::move(peer.link));
        }
        ++peer.generation;
        peer.link = std::make_unique<RpcLink>(this->context, address);
        peer.underWay = 0;
    }
}

std::string MemberLinks::addressOf(const std::string &identity) const
{
    const auto peer = this->peers.find(identity);
    return peer == this->peers.end() ? "" : peer->second.address;
}

void MemberLinks::add(RaftMessage message)
{
    const auto peer = this->peers.find(message.to);
    if (peer != this->peers.end() && peer->second.link != nullptr && peer->second.waiting.size() < MaxWaiting) {
        peer->second.waiting.push_back(std::move(message));
    }
}

void MemberLinks::flush()
{
    for (auto &[identity, peer] : this->peers) {
        if (!peer.waiting.empty() && peer.underWay < MaxCallsUnderWay) {
            this->sendTo(identity, peer);
        }
    }
}

void MemberLinks::sendTo(const std::string &identity, Peer &peer)
{
    ++peer.underWay;
    auto messages = std::exchange(peer.waiting, {});
    RpcLink *link = peer.link.get();
    auto sent =
        link->services().then([messages = std::move(messages), address = this->ownAddress](OfferedServices &&services) {
            auto request = services.peer.castAs<Wire::Member>().sendRequest();
            auto list = request.initMessages(static_cast<unsigned>(messages.size()));
            for (unsigned i = 0; i < list.size(); ++i) {
                writeMessage(list[i], messages[i]);
                list[i].setFromAddress(address);
            }
            return request.send().ignoreResult();
        });
    const auto ended = [this, identity, generation = peer.generation](bool failed) {
        Peer &known = this->peers[identity];
        if (known.generation != generation) {
            return; // The connection was given up before.
        }
        --known.underWay;
        if (failed) {
            ++known.generation;
            known.underWay = 0;
            known.link->reset();
            known.waiting.clear();
        } else if (!known.waiting.empty() && known.underWay < MaxCallsUnderWay) {
            this->sendTo(identity, known);
        }
    };
    this->sending.add(this->context.timer.timeoutAfter(SendTimeout, kj::mv(sent))
                          .then(
                              [ended]() {
                                  ended(false);
                              },
                              [ended](kj::Exception && /*exception*/) {
                                  ended(true);
                              }));
}

kj::Promise<capnp::Response<Wire::Member::HelloResults>> MemberLinks::hello(const std::string &address)
{
    auto link = kj::heap<RpcLink>(this->context, address);
    auto asked = link->services().then([](OfferedServices &&services) {
        return services.peer.castAs<Wire::Member>().helloRequest().send();
    });
    return this->context.timer.timeoutAfter(SendTimeout, kj::mv(asked)).attach(kj::mv(link));
}

} // namespace Chestnuthook
