/** @file fleet_base.cpp  Reads and writes deltas and snapshots of the fleet state. */
#include "fleet/fleet_base.h"

#include <utility>
#include <vector>

#include <capnp/message.h>

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

void writeRecord(Wire::FleetItem::Builder item, const DeclarationName &name, const DeclarationRecord &record)
{
    auto declaration = item.initDeclaration();
    declaration.setSection(wireText(name.section));
    declaration.setName(wireText(name.name));
    declaration.setJson(wireText(record.json));
}

void writeRecord(Wire::FleetItem::Builder item, const KeyId &id, const KeyRecord &record)
{
    auto key = item.initKey();
    key.setId(wireText(id.text));
    key.setTenant(wireText(record.customer.text));
    key.setHash(dataOf(record.hash));
    key.setWithdrawn(record.withdrawn);
    key.setNote(wireText(record.note));
}

void writeRecord(Wire::FleetItem::Builder item, const EntryId &id, const EntryRecord &record)
{
    auto entry = item.initEntry();
    entry.setId(wireText(id.text));
    entry.setEpoch(record.epoch.value);
    entry.setAddress(wireText(record.address));
    entry.setRpcAddress(wireText(record.rpcAddress));
    entry.setDataCentre(wireText(record.dataCentre.text));
    entry.setState(record.state == EntryState::Draining ? Wire::EntryState::DRAINING : Wire::EntryState::LIVE);
}

void writeRecord(Wire::FleetItem::Builder item, const SlotId &id, const SlotRecord &record)
{
    auto slot = item.initSlot();
    slot.setNumber(id.value);
    slot.setOwner(wireText(record.owner.text));
    slot.setEpoch(record.epoch.value);
    slot.setFormer(wireText(record.former.text));
    slot.setFormerEpoch(record.formerEpoch.value);
}

void writeRecord(Wire::FleetItem::Builder item, const std::string &fingerprint, const StrikeRecord &record)
{
    auto strike = item.initStrike();
    strike.setFingerprint(wireText(fingerprint));
    strike.setStrikes(record.strikes);
    strike.setExpiresAtMs(record.expiresAtMs);
    auto endpoints = strike.initEndpoints(static_cast<unsigned>(record.endpoints.size()));
    for (unsigned i = 0; i < endpoints.size(); ++i) {
        endpoints.set(i, wireText(record.endpoints[i].text));
    }
}

void writeRecord(Wire::FleetItem::Builder item, const EndpointId &endpoint, const OrderRecord &record)
{
    auto order = item.initOrder();
    order.setEndpoint(wireText(endpoint.text));
    order.setJson(wireText(record.json));
    order.setFence(record.fence);
    order.setConfirmed(record.confirmed);
}

template<typename Key, typename Row>
void writeItem(Wire::FleetItem::Builder item, const Key &key, const Row &row)
{
    item.setIndex(row.index);
    item.setRemoved(row.removed);
    writeRecord(item, key, row.record);
}

/** Writes the rows changed after index @p knownIndex, or all rows in key order if @p knownIndex is 0. */
template<typename Table>
void writeChanges(
    const Table &table, std::uint64_t knownIndex, capnp::List<Wire::FleetItem>::Builder items, unsigned &next)
{
    if (knownIndex == 0) {
        for (const auto &[key, row] : table.all()) {
            writeItem(items[next++], key, row);
        }
        return;
    }
    table.forChangesAfter(knownIndex, [&](const auto &key, const auto &row) {
        writeItem(items[next++], key, row);
    });
}

template<typename Table, typename Key, typename Record>
void readRow(Table &table, const Key &key, Record record, Wire::FleetItem::Reader item)
{
    table.put(key, std::move(record), item.getIndex());
    if (item.getRemoved()) {
        table.remove(key, item.getIndex());
    }
}

void readItem(FleetState &state, Wire::FleetItem::Reader item)
{
    switch (item.which()) {
    case Wire::FleetItem::DECLARATION: {
        const auto declaration = item.getDeclaration();
        readRow(state.declarations, DeclarationName{textOf(declaration.getSection()), textOf(declaration.getName())},
            DeclarationRecord{textOf(declaration.getJson())}, item);
        break;
    }
    case Wire::FleetItem::KEY: {
        const auto key = item.getKey();
        const KeyId id{textOf(key.getId())};
        readRow(state.keys, id,
            KeyRecord{id, CustomerId{textOf(key.getTenant())}, bytesOf(key.getHash()), key.getWithdrawn(),
                textOf(key.getNote())},
            item);
        break;
    }
    case Wire::FleetItem::ENTRY: {
        const auto entry = item.getEntry();
        const EntryId id{textOf(entry.getId())};
        readRow(state.entries, id,
            EntryRecord{id, Epoch{entry.getEpoch()}, textOf(entry.getAddress()), textOf(entry.getRpcAddress()),
                DataCentreId{textOf(entry.getDataCentre())},
                entry.getState() == Wire::EntryState::DRAINING ? EntryState::Draining : EntryState::Live},
            item);
        break;
    }
    case Wire::FleetItem::SLOT: {
        const auto slot = item.getSlot();
        readRow(state.slots, SlotId{slot.getNumber()},
            SlotRecord{EntryId{textOf(slot.getOwner())}, Epoch{slot.getEpoch()}, EntryId{textOf(slot.getFormer())},
                Epoch{slot.getFormerEpoch()}},
            item);
        break;
    }
    case Wire::FleetItem::STRIKE: {
        const auto strike = item.getStrike();
        StrikeRecord record{strike.getStrikes(), {}, strike.getExpiresAtMs()};
        for (const auto endpoint : strike.getEndpoints()) {
            record.endpoints.emplace_back(textOf(endpoint));
        }
        readRow(state.strikes, textOf(strike.getFingerprint()), std::move(record), item);
        break;
    }
    case Wire::FleetItem::ORDER: {
        const auto order = item.getOrder();
        readRow(state.orders, EndpointId{textOf(order.getEndpoint())},
            OrderRecord{textOf(order.getJson()), order.getFence(), order.getConfirmed()}, item);
        break;
    }
    }
}

constexpr std::uint32_t SnapshotVersion = 1; ///< Increases with each change of the snapshot format.

} // namespace

void FleetState::writeDelta(std::uint64_t knownIndex, Wire::FleetDelta::Builder builder) const
{
    const bool full = knownIndex < this->oldestDeltaIndex || knownIndex > this->lastIndex || knownIndex == 0;
    const std::uint64_t from = full ? 0 : knownIndex;
    builder.setFrom(from);
    builder.setTo(this->lastIndex);
    builder.setRevision(this->declarationRevision.value);
    builder.setWhole(full);
    const std::size_t count = this->declarations.countChangesAfter(from) + this->keys.countChangesAfter(from)
        + this->entries.countChangesAfter(from) + this->slots.countChangesAfter(from)
        + this->strikes.countChangesAfter(from) + this->orders.countChangesAfter(from);
    auto items = builder.initItems(static_cast<unsigned>(count));
    unsigned next = 0;
    writeChanges(this->declarations, from, items, next);
    writeChanges(this->keys, from, items, next);
    writeChanges(this->entries, from, items, next);
    writeChanges(this->slots, from, items, next);
    writeChanges(this->strikes, from, items, next);
    writeChanges(this->orders, from, items, next);
}

bool FleetState::applyDelta(Wire::FleetDelta::Reader delta)
{
    if (!delta.getWhole() && delta.getFrom() != this->lastIndex) {
        return false;
    }
    if (delta.getRevision() < this->declarationRevision.value || delta.getTo() < this->lastIndex) {
        return false; // A replica never moves to an older state.
    }
    if (delta.getWhole()) {
        *this = FleetState{};
    }
    for (const auto item : delta.getItems()) {
        readItem(*this, item);
    }
    this->lastIndex = delta.getTo();
    this->declarationRevision = Revision{delta.getRevision()};
    return true;
}

std::string FleetState::snapshot() const
{
    capnp::MallocMessageBuilder builder;
    auto snapshot = builder.initRoot<Wire::FleetSnapshot>();
    snapshot.setVersion(SnapshotVersion);
    snapshot.setOldestDelta(this->oldestDeltaIndex);
    this->writeDelta(0, snapshot.initState());
    auto replies = snapshot.initReplies(static_cast<unsigned>(this->cachedReplyOrder.size()));
    unsigned next = 0;
    for (const auto &[index, requestId] : this->cachedReplyOrder) {
        auto reply = replies[next++];
        reply.setIndex(index);
        reply.setRequestId(wireText(requestId));
        reply.setReply(dataOf(this->cachedReplies.at(requestId)));
    }
    return flatBytes(builder);
}

void FleetState::restore(std::string_view bytes)
{
    FlatMessage message(bytes);
    const auto snapshot = message.root<Wire::FleetSnapshot>();
    KJ_REQUIRE(snapshot.getVersion() == SnapshotVersion, "unknown version of the fleet snapshot");
    *this = FleetState{};
    this->applyDelta(snapshot.getState());
    this->oldestDeltaIndex = snapshot.getOldestDelta();
    this->updateEarliestExpiry();
    for (const auto reply : snapshot.getReplies()) {
        this->cachedReplies.emplace(textOf(reply.getRequestId()), bytesOf(reply.getReply()));
        this->cachedReplyOrder.emplace(reply.getIndex(), textOf(reply.getRequestId()));
    }
}

} // namespace Chestnuthook
