/** @file replica_snapshot.cpp  Snapshots of a node: the state machines and the remembered replies. */
#include <algorithm>

#include <capnp/message.h>

#include "consensus/replica_node_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::uint32_t SnapshotVersion = 1; ///< Raised when the format changes.
constexpr std::size_t MaxRememberedReplies = 32768;
constexpr std::uint64_t KeptLogEntries = 1000; ///< Log entries kept before a snapshot, for members that lag slightly.

} // namespace

void ReplicaNode::rememberReply(const std::string &requestId, std::uint64_t index, std::string reply)
{
    this->replies.emplace(requestId, std::move(reply));
    this->replyOrder.emplace_back(index, requestId);
    if (this->replyOrder.size() > MaxRememberedReplies) {
        this->replies.erase(this->replyOrder.front().second);
        this->replyOrder.pop_front();
    }
}

std::string ReplicaNode::snapshotBytes() const
{
    capnp::MallocMessageBuilder message;
    auto snapshot = message.initRoot<Wire::NodeSnapshot>();
    snapshot.setVersion(SnapshotVersion);
    auto states = snapshot.initMachines(static_cast<unsigned>(this->stateMachines.size()));
    unsigned next = 0;
    for (const auto &[tag, machine] : this->stateMachines) {
        states[next].setMachine(tag);
        states[next++].setState(dataOf(machine.snapshot()));
    }
    auto kept = snapshot.initReplies(static_cast<unsigned>(this->replyOrder.size()));
    next = 0;
    for (const auto &[index, requestId] : this->replyOrder) {
        kept[next].setIndex(index);
        kept[next].setRequestId(dataOf(requestId));
        kept[next++].setReply(dataOf(this->replies.at(requestId)));
    }
    return flatBytes(message);
}

void ReplicaNode::restore(std::string_view bytes)
{
    FlatMessage message(bytes);
    const auto snapshot = message.root<Wire::NodeSnapshot>();
    KJ_REQUIRE(snapshot.getVersion() == SnapshotVersion, "unknown snapshot version");
    for (const auto state : snapshot.getMachines()) {
        const auto machine = this->stateMachines.find(state.getMachine());
        KJ_REQUIRE(machine != this->stateMachines.end(), "the snapshot contains an unknown state machine");
        machine->second.restore(bytesOf(state.getState()));
    }
    this->replies.clear();
    this->replyOrder.clear();
    for (const auto reply : snapshot.getReplies()) {
        this->rememberReply(bytesOf(reply.getRequestId()), reply.getIndex(), bytesOf(reply.getReply()));
    }
}

void ReplicaNode::compactIfDue()
{
    const LogBudget &budget = this->settings.budget;
    const RaftSnapshot &last = this->core->snapshot();
    const std::uint64_t appliedBytes = this->core->entries().bytesBetween(last.index, this->appliedIndex);
    // A snapshot costs as much as the state is large, so a large state takes more log between snapshots.
    if (this->appliedIndex >= last.index + this->settings.snapshotEntries
        || appliedBytes >= std::max<std::uint64_t>(budget.snapshotBytes, last.data.size())) {
        this->takeSnapshot();
        return;
    }
    const std::uint64_t fileBytes = this->storage.logBytes();
    const bool isFull = this->isDiskFull();
    if (this->storageThread == nullptr || this->storageThread->isCompacting()
        || (fileBytes < budget.maxFileBytes && !isFull)) {
        return;
    }
    const RaftLog &log = this->core->entries();
    if (appliedBytes >= fileBytes / 2 || (isFull && appliedBytes > 0)) {
        this->takeSnapshot();
    } else if (log.bytesBetween(log.baseIndex(), log.lastIndex()) < fileBytes / 2) {
        this->rewriteStorage();
    }
}

void ReplicaNode::takeSnapshot()
{
    const std::uint64_t keptEntries = this->isDiskFull() ? 0 : KeptLogEntries;
    const std::uint64_t keepFrom =
        this->core->entries().firstWithin(this->appliedIndex, keptEntries, this->settings.budget.keptBytes);
    this->core->compact(this->appliedIndex, this->snapshotBytes(), keepFrom);
    this->rewriteStorage();
    logEvent(EventKind::SnapshotTaken, {{"received", "no"}, {"index", std::to_string(this->appliedIndex)}});
}

void ReplicaNode::rewriteStorage()
{
    const RaftLog &log = this->core->entries();
    RaftCompaction compaction;
    compaction.snapshot = this->core->snapshot();
    compaction.hardState = this->core->hardState();
    compaction.baseIndex = log.baseIndex();
    compaction.baseTerm = log.baseTerm();
    for (std::uint64_t i = log.firstIndex(); i <= log.lastIndex(); ++i) {
        compaction.entries.push_back(log.at(i));
    }
    this->storageThread->compact(std::move(compaction));
}

} // namespace Chestnuthook
