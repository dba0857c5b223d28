/** @file fleet_base.h  The replicated fleet state. Commands are tested against it and then executed by one function;
 * given the same log, all members hold the same state. No I/O and no clock. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/error_type.h"
#include "core/id_type.h"
#include "fleet/fleet_type.h"
#include "fleet/versioned_table_type.h"
#include "rpc/fleet.capnp.h"

namespace Chestnuthook
{

/** Whether a command is only tested or also executed. */
enum class CommandMode : std::uint8_t { Test, Execute };

class FleetState
{
public:
    /** Applies a committed command (flat Wire::FleetCommand) at @p index. @return the flat Wire::FleetReply. A command
     * whose test fails changes nothing but the index. */
    std::string apply(std::uint64_t index, std::string_view command);

    /** Tests @p command and, in mode Execute, executes it at @p index. @return a new lease's epoch, or 0. */
    [[nodiscard]] Result<Epoch> doCommand(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);

    /** Writes the changes after @p have, or the whole state where that is too old. */
    void writeDelta(std::uint64_t have, Wire::FleetDelta::Builder builder) const;

    /** Takes in a delta from a control member; for copies at entries and tools.
     * @return false where the delta doesn't follow this copy, which is then unchanged. */
    bool applyDelta(Wire::FleetDelta::Reader delta);

    /** The whole state as a versioned snapshot. */
    [[nodiscard]] std::string snapshot() const;

    /** Replaces the state by a snapshot's. @throws kj::Exception on a malformed one. */
    void restore(std::string_view bytes);

    /** Whether a strike has expired at @p nowMs, so that a prune command has something to do. */
    [[nodiscard]] bool hasExpiredStrikes(std::int64_t nowMs) const;

    [[nodiscard]] std::uint64_t index() const
    {
        return this->lastIndex;
    }
    [[nodiscard]] Revision revision() const
    {
        return this->declarationRevision;
    }

    VersionedTable<DeclarationName, DeclarationRecord> declarations; ///< What operators declared.
    VersionedTable<KeyId, KeyRecord> keys; ///< All keys; withdrawn ones stay, so that withdrawal is final.
    VersionedTable<EntryId, EntryRecord> entries; ///< Leases.
    VersionedTable<SlotId, SlotRecord> slots; ///< Owners; one row per slot once an entry was live.
    VersionedTable<std::string, StrikeRecord> strikes; ///< By fingerprint.
    VersionedTable<EndpointId, OrderRecord> orders; ///< By endpoint.

private:
    Result<Epoch> doApply(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doIssueKey(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doWithdrawKey(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doGrantLease(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doEndLease(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doSetEntryState(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doStrike(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doOrder(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    Result<Epoch> doPrune(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);
    void pruneTombstones();
    void findEarliestExpiry();

    /** Gives every slot a live owner, moving as few as an even spread allows. */
    void assignSlots(std::uint64_t index);
    void rememberReply(const std::string &requestId, std::string reply);

    std::uint64_t lastIndex = 0; ///< Log index of the last applied command.
    Revision declarationRevision; ///< Grows by one with each accepted apply.
    std::map<std::string, std::string> replies; ///< First replies by request id, so that a resend gets the same.
    std::map<std::uint64_t, std::string> replyOrder; ///< Request ids by index, oldest first, to bound `replies`.
    std::int64_t earliestExpiry = INT64_MAX; ///< No strike expires before this; not kept by copies at entries.
    std::uint64_t oldestDelta = 0; ///< Copies older than this get a whole copy: tombstones before it are pruned.
};

/** The slot of a program or customer. */
[[nodiscard]] SlotId slotOf(std::string_view id);

} // namespace Chestnuthook
