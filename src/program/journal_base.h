/** @file journal_base.h  Replicated state machine of programs. The same function validates and executes commands.
 * Owners of slots keep copies of their programs and run this function on them too. Does no I/O and reads no clock. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"
#include "core/id_type.h"
#include "program/program_type.h"
#include "rpc/program.capnp.h"

namespace Chestnuthook
{

/** Programs by id, and the epochs under which slots are written. */
class JournalState
{
public:
    /** Applies a committed command (flat Wire::JournalCommand) at @p index. @return the flat Wire::JournalReply. */
    std::string apply(std::uint64_t index, std::string_view command);

    /** Validates @p command and, with @p execute, executes it. A command that was executed before, recognised by its
     * attempt, block or child id, succeeds without effect. A proposer may therefore resend a command that it got no
     * reply to. */
    [[nodiscard]] Result<void> doCommand(Wire::JournalCommand::Reader command, bool execute);

    /** Returns the program with @p id, or null. */
    [[nodiscard]] const ProgramRecord *find(const ProgramId &id) const;

    /** Returns all programs in @p slot. */
    [[nodiscard]] std::vector<const ProgramRecord *> programsOf(SlotId slot) const;

    /** Epoch under which writes to @p slot are accepted. */
    [[nodiscard]] Epoch epochOf(SlotId slot) const;

    /** Adds or replaces a program that was read from a control member; for the copies at owners of slots. */
    void adopt(ProgramRecord program);

    /** Sets the epoch of an owned slot. A copy at an owner needs this because it does not see the command that opened
     * the slot. */
    void setSlotEpoch(SlotId slot, Epoch epoch)
    {
        this->epochs[slot] = epoch;
    }

    /** Removes the programs of a slot that is no longer owned; for the copies at owners of slots. */
    void dropSlot(SlotId slot);

    [[nodiscard]] std::string snapshot() const;

    /** @throws kj::Exception on a malformed snapshot. */
    void restore(std::string_view bytes);

    [[nodiscard]] std::uint64_t index() const
    {
        return this->lastIndex;
    }
    [[nodiscard]] const std::map<ProgramId, ProgramRecord> &all() const
    {
        return this->programs;
    }

private:
    Result<void> doOpenSlots(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doCreate(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doBegin(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doEnd(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doEndProgram(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doReleased(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doReserve(Wire::JournalCommand::Reader command, bool execute);
    /** Takes the budget of a sub-agent out of its parent's budget (the command `carve`). */
    Result<void> doAllocateChildBudget(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doChildEnded(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doForget(Wire::JournalCommand::Reader command, bool execute);
    /** Finds a program that has not ended. Errors: NotFound, ProgramEnded. */
    Result<ProgramRecord *> findOpenProgram(const std::string &id);

    std::uint64_t lastIndex = 0; ///< Log index of the last applied command.
    std::map<SlotId, Epoch> epochs; ///< Highest epoch that was opened for each slot; never decreases.
    std::map<ProgramId, ProgramRecord> programs; ///< Open programs, and ended ones until they are forgotten.
    std::map<SlotId, std::map<ProgramId, bool>> bySlot; ///< Ids of the programs in each slot.
};

} // namespace Chestnuthook
