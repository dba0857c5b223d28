/** @file fleet_cmd.cpp  Commands on the fleet state. One function per command validates and executes it. */
#include "fleet/fleet_base.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <capnp/message.h>

#include "core/hash_func.h"
#include "fleet/declaration_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxCachedReplies = 4096;
constexpr std::size_t KeyHashBytes = 32;
constexpr std::uint64_t MinTombstoneLogEntries = 5000; ///< Minimum number of log entries that a tombstone is kept for.

void writeReply(Wire::FleetReply::Builder reply, const Result<Epoch> &result)
{
    if (!result) {
        writeFailure(reply.initFailure(), result.error());
    } else if (result->value != 0) {
        reply.setEpoch(result->value);
    } else {
        reply.setDone();
    }
}

Result<Epoch> validateChanges(capnp::List<Wire::Declaration>::Reader changes)
{
    for (const auto change : changes) {
        if (change.getJson().size() == 0) {
            continue;
        }
        const Result<void> checked =
            checkDeclaration(textOf(change.getSection()), textOf(change.getName()), textOf(change.getJson()));
        if (!checked) {
            return tl::unexpected(checked.error());
        }
    }
    return Epoch{};
}

} // namespace

std::string FleetState::apply(std::uint64_t index, std::string_view command)
{
    FlatMessage message(command);
    const auto reader = message.root<Wire::FleetCommand>();
    const std::string requestId = textOf(reader.getRequestId());
    const auto cached = this->cachedReplies.find(requestId);
    if (!requestId.empty() && cached != this->cachedReplies.end()) {
        this->lastIndex = index;
        return cached->second;
    }
    Result<Epoch> result = this->doCommand(reader, index, CommandMode::Test);
    if (result) {
        result = this->doCommand(reader, index, CommandMode::Execute);
    }
    this->lastIndex = index;
    this->pruneTombstones();
    capnp::MallocMessageBuilder builder;
    auto reply = builder.initRoot<Wire::FleetReply>();
    reply.setIndex(index);
    reply.setRevision(this->declarationRevision.value);
    writeReply(reply, result);
    std::string bytes = flatBytes(builder);
    if (!requestId.empty()) {
        this->cacheReply(requestId, bytes);
    }
    return bytes;
}

Result<Epoch> FleetState::doCommand(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    switch (command.which()) {
    case Wire::FleetCommand::APPLY:
        return this->doApply(command, index, mode);
    case Wire::FleetCommand::ISSUE_KEY:
        return this->doIssueKey(command, index, mode);
    case Wire::FleetCommand::WITHDRAW_KEY:
        return this->doWithdrawKey(command, index, mode);
    case Wire::FleetCommand::GRANT_LEASE:
        return this->doGrantLease(command, index, mode);
    case Wire::FleetCommand::END_LEASE:
        return this->doEndLease(command, index, mode);
    case Wire::FleetCommand::SET_ENTRY_STATE:
        return this->doSetEntryState(command, index, mode);
    case Wire::FleetCommand::STRIKE:
        return this->doStrike(command, index, mode);
    case Wire::FleetCommand::ORDER:
        return this->doOrder(command, index, mode);
    case Wire::FleetCommand::PRUNE:
        return this->doPrune(command, index, mode);
    }
    return fail(ErrorKind::BadRequest, "unknown fleet command");
}

Result<Epoch> FleetState::doApply(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const auto apply = command.getApply();
    if (apply.getExpectedRevision() != this->declarationRevision.value) {
        return fail(ErrorKind::StaleRevision,
            "expected " + std::to_string(apply.getExpectedRevision()) + ", current "
                + std::to_string(this->declarationRevision.value));
    }
    if (mode == CommandMode::Test) {
        return validateChanges(apply.getChanges());
    }
    for (const auto change : apply.getChanges()) {
        const DeclarationName name{textOf(change.getSection()), textOf(change.getName())};
        if (change.getJson().size() == 0) {
            this->declarations.remove(name, index);
        } else {
            this->declarations.put(name, DeclarationRecord{textOf(change.getJson())}, index);
        }
    }
    this->declarationRevision = Revision{this->declarationRevision.value + 1};
    return Epoch{};
}

Result<Epoch> FleetState::doIssueKey(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const auto key = command.getIssueKey();
    const KeyId id{textOf(key.getId())};
    const CustomerId customer{textOf(key.getTenant())};
    if (id.empty() || key.getHash().size() != KeyHashBytes) {
        return fail(ErrorKind::BadRequest, "a key needs an id and a SHA-256 hash");
    }
    if (this->keys.all().contains(id)) {
        return fail(ErrorKind::Conflict, "key id " + id.text + " was used before");
    }
    if (this->declarations.find(DeclarationName{"tenants", customer.text}) == nullptr) {
        return fail(ErrorKind::NotFound, "tenant " + customer.text + " is not declared");
    }
    if (mode == CommandMode::Execute) {
        this->keys.put(id, KeyRecord{id, customer, bytesOf(key.getHash()), false, textOf(key.getNote())}, index);
    }
    return Epoch{};
}

Result<Epoch> FleetState::doWithdrawKey(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const KeyId id{textOf(command.getWithdrawKey())};
    const KeyRecord *record = this->keys.find(id);
    if (record == nullptr) {
        return fail(ErrorKind::NotFound, "no key " + id.text);
    }
    if (mode == CommandMode::Execute && !record->withdrawn) {
        KeyRecord withdrawn = *record;
        withdrawn.withdrawn = true;
        this->keys.put(id, std::move(withdrawn), index);
    }
    return Epoch{};
}

Result<Epoch> FleetState::doGrantLease(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const auto entry = command.getGrantLease();
    const EntryId id{textOf(entry.getId())};
    if (id.empty() || entry.getAddress().size() == 0) {
        return fail(ErrorKind::BadRequest, "an entry needs an id and an address");
    }
    if (mode == CommandMode::Test) {
        return Epoch{};
    }
    const Epoch epoch{index};
    this->entries.put(id,
        EntryRecord{id, epoch, textOf(entry.getAddress()), textOf(entry.getRpcAddress()),
            DataCentreId{textOf(entry.getDataCentre())},
            entry.getState() == Wire::EntryState::DRAINING ? EntryState::Draining : EntryState::Live},
        index);
    this->assignSlots(index);
    return epoch;
}

Result<Epoch> FleetState::doEndLease(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const EntryId id{textOf(command.getEndLease().getEntry())};
    const EntryRecord *record = this->entries.find(id);
    if (record == nullptr || record->epoch.value != command.getEndLease().getEpoch()) {
        return fail(ErrorKind::StaleEpoch, "entry " + id.text + " holds no lease of that epoch");
    }
    if (mode == CommandMode::Execute) {
        this->entries.remove(id, index);
        this->assignSlots(index);
    }
    return Epoch{};
}

Result<Epoch> FleetState::doSetEntryState(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const auto change = command.getSetEntryState();
    const EntryId id{textOf(change.getEntry())};
    const EntryRecord *record = this->entries.find(id);
    if (record == nullptr || record->epoch.value != change.getEpoch()) {
        return fail(ErrorKind::StaleEpoch, "entry " + id.text + " holds no lease of that epoch");
    }
    if (mode == CommandMode::Execute) {
        EntryRecord changed = *record;
        changed.state = change.getState() == Wire::EntryState::DRAINING ? EntryState::Draining : EntryState::Live;
        this->entries.put(id, std::move(changed), index);
        this->assignSlots(index);
    }
    return Epoch{};
}

Result<Epoch> FleetState::doStrike(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const auto strike = command.getStrike();
    const std::string fingerprint = textOf(strike.getFingerprint());
    if (fingerprint.empty()) {
        return fail(ErrorKind::BadRequest, "a strike needs a fingerprint");
    }
    if (mode == CommandMode::Test) {
        return Epoch{};
    }
    const StrikeRecord *known = this->strikes.find(fingerprint);
    if (strike.getEndpoints().size() == 0) {
        // The request ran in isolation without a failure, which clears a suspect with a single strike. A request that
        // is refused for more strikes stays refused.
        if (known != nullptr && known->strikes == 1) {
            this->strikes.remove(fingerprint, index);
        }
        return Epoch{};
    }
    StrikeRecord record;
    if (known != nullptr && known->expiresAtMs > command.getNowMs()) {
        record = *known;
    }
    for (const auto endpoint : strike.getEndpoints()) {
        const EndpointId id{textOf(endpoint)};
        if (std::find(record.endpoints.begin(), record.endpoints.end(), id) == record.endpoints.end()) {
            record.endpoints.push_back(id);
            ++record.strikes;
        }
    }
    record.expiresAtMs = std::max(record.expiresAtMs, strike.getExpiresAtMs());
    this->earliestExpiry = std::min(this->earliestExpiry, record.expiresAtMs);
    this->strikes.put(fingerprint, std::move(record), index);
    return Epoch{};
}

Result<Epoch> FleetState::doOrder(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    const auto order = command.getOrder();
    const EndpointId endpoint{textOf(order.getEndpoint())};
    const OrderRecord *known = this->orders.find(endpoint);
    if (known != nullptr && known->fence > order.getFence()) {
        return fail(ErrorKind::StaleEpoch, "a later leader has given endpoint " + endpoint.text + " an order");
    }
    if (mode == CommandMode::Execute) {
        this->orders.put(endpoint, OrderRecord{textOf(order.getJson()), order.getFence(), order.getConfirmed()}, index);
    }
    return Epoch{};
}

Result<Epoch> FleetState::doPrune(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode)
{
    if (mode == CommandMode::Test) {
        return Epoch{};
    }
    std::vector<std::string> expired;
    for (const auto &[fingerprint, row] : this->strikes.all()) {
        if (!row.removed && row.record.expiresAtMs <= command.getNowMs()) {
            expired.push_back(fingerprint);
        }
    }
    for (const std::string &fingerprint : expired) {
        this->strikes.remove(fingerprint, index);
    }
    this->updateEarliestExpiry();
    return Epoch{};
}

void FleetState::updateEarliestExpiry()
{
    this->earliestExpiry = INT64_MAX;
    for (const auto &[fingerprint, row] : this->strikes.all()) {
        if (!row.removed) {
            this->earliestExpiry = std::min(this->earliestExpiry, row.record.expiresAtMs);
        }
    }
}

bool FleetState::hasExpiredStrikes(std::int64_t nowMs) const
{
    if (nowMs < this->earliestExpiry) {
        return false;
    }
    return std::any_of(this->strikes.all().begin(), this->strikes.all().end(), [nowMs](const auto &row) {
        return !row.second.removed && row.second.record.expiresAtMs <= nowMs;
    });
}

/** Removes old tombstones. Entries and strikes are added and removed all the time, so that their tombstones would grow
 * without bound. Keys need no pruning, as they are marked as withdrawn and never removed. */
void FleetState::pruneTombstones()
{
    if (this->lastIndex < this->oldestDeltaIndex + 2 * MinTombstoneLogEntries) {
        return;
    }
    this->oldestDeltaIndex = this->lastIndex - MinTombstoneLogEntries;
    this->declarations.prune(this->oldestDeltaIndex);
    this->entries.prune(this->oldestDeltaIndex);
    this->strikes.prune(this->oldestDeltaIndex);
    this->orders.prune(this->oldestDeltaIndex);
}

void FleetState::assignSlots(std::uint64_t index)
{
    std::map<EntryId, std::vector<SlotId>> owned;
    for (const auto &[id, row] : this->entries.all()) {
        if (!row.removed && row.record.state == EntryState::Live) {
            owned[id] = {};
        }
    }
    const std::size_t live = owned.size();
    const std::size_t share = live == 0 ? 0 : (SlotCount + live - 1) / live;
    std::vector<SlotId> unassigned;
    for (std::uint16_t number = 0; number < SlotCount; ++number) {
        const SlotId slot{number};
        const SlotRecord *record = this->slots.find(slot);
        const auto owner = record == nullptr ? owned.end() : owned.find(record->owner);
        if (owner == owned.end() || owner->second.size() >= share) {
            unassigned.push_back(slot);
        } else {
            owner->second.push_back(slot);
        }
    }
    for (const SlotId slot : unassigned) {
        const SlotRecord *record = this->slots.find(slot);
        const auto leastLoaded = std::min_element(owned.begin(), owned.end(), [](const auto &left, const auto &right) {
            return left.second.size() < right.second.size();
        });
        const EntryId owner = leastLoaded == owned.end() ? EntryId{} : leastLoaded->first;
        if (record != nullptr && record->owner == owner) {
            continue;
        }
        if (leastLoaded != owned.end()) {
            leastLoaded->second.push_back(slot);
        }
        const SlotRecord previous = record == nullptr ? SlotRecord{} : *record;
        this->slots.put(slot, SlotRecord{owner, Epoch{index}, previous.owner, previous.epoch}, index);
    }
}

void FleetState::cacheReply(const std::string &requestId, std::string reply)
{
    this->cachedReplies.emplace(requestId, std::move(reply));
    this->cachedReplyOrder.emplace(this->lastIndex, requestId);
    if (this->cachedReplyOrder.size() > MaxCachedReplies) {
        this->cachedReplies.erase(this->cachedReplyOrder.begin()->second);
        this->cachedReplyOrder.erase(this->cachedReplyOrder.begin());
    }
}

SlotId slotOf(std::string_view id)
{
    return SlotId{static_cast<std::uint16_t>(hash64(id) % SlotCount)};
}

} // namespace Chestnuthook
