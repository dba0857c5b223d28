/** @file fleet_base.h  The replicated state machine of the fleet. The same function validates and executes each
 * command. It does no I/O and reads no clock, so that all members reach the same state from the same log. */
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

/** Whether a command is only validated or executed. */
enum class CommandMode : std::uint8_t { Test, Execute };

class FleetState
{
public:
    /** Applies a committed command (flat Wire::FleetCommand) at log index @p index. A command that fails validation
     * changes only the index. @return the flat Wire::FleetReply. */
    std::string apply(std::uint64_t index, std::string_view command);

    /** Validates @p command in mode Test, or executes it at log index @p index in mode Execute.
     * @return the epoch of a newly granted lease, otherwise 0. */
    [[nodiscard]] Result<Epoch> doCommand(Wire::FleetCommand::Reader command, std::uint64_t index, CommandMode mode);

    /** Writes the changes after index @p knownIndex, or the full state if no delta from there is possible. */
    void writeDelta(std::uint64_t knownIndex, Wire::FleetDelta::Builder builder) const;

    /** Applies a delta from a control member to a replica in an entry or a tool.
     * @return false if the delta doesn't continue from this state, which is left unchanged. */
    bool applyDelta(Wire::FleetDelta::Reader delta);

    /** Returns the full state as a versioned snapshot. */
    [[nodiscard]] std::string snapshot() const;

    /** Replaces the state with that of a snapshot. @throws kj::Exception if the snapshot is malformed. */
    void restore(std::string_view bytes);

    /** Returns whether a strike has expired at @p nowMs, so that a prune command is due. */
    [[nodiscard]] bool hasExpiredStrikes(std::int64_t nowMs) const;

    [[nodiscard]] std::uint64_t index() const
    {
        return this->lastIndex;
    }
    [[nodiscard]] Revision revision() const
    {
        return this->declarationRevision;
    }

    VersionedTable<DeclarationName, DeclarationRecord> declarations; ///< Declarations of the operators.
    VersionedTable<KeyId, KeyRecord> keys; ///< API keys. Withdrawn keys are kept, so that a withdrawal is final.
    VersionedTable<EntryId, EntryRecord> entries; ///< Leases of the entries.
    VersionedTable<SlotId, SlotRecord> slots; ///< Slot owners; has a row for each slot once an entry has been live.
    VersionedTable<std::string, StrikeRecord> strikes; ///< Strikes by request fingerprint.
    VersionedTable<EndpointId, OrderRecord> orders; ///< Last order for each endpoint.

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
    void updateEarliestExpiry();

    /** Assigns each slot to a live entry, evenly and with as few moves as possible. */
    void assignSlots(std::uint64_t index);
    void cacheReply(const std::string &requestId, std::string reply);

    std::uint64_t lastIndex = 0; ///< Log index of the last applied command.
    Revision declarationRevision; ///< Incremented with each accepted apply.
    std::map<std::string, std::string> cachedReplies; ///< First replies by request id; a resent command gets the same.
    std::map<std::uint64_t, std::string> cachedReplyOrder; ///< Request ids by log index, to evict the oldest reply.
    std::int64_t earliestExpiry = INT64_MAX; ///< No strike expires earlier. Replicas in entries don't maintain it.
    std::uint64_t oldestDeltaIndex = 0; ///< Older replicas need the full state, as earlier tombstones are pruned.
};

/** Returns the slot of a program or customer. */
[[nodiscard]] SlotId slotOf(std::string_view id);

} // namespace Chestnuthook
