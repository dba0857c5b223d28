/** @file journal_base.h  The replicated state of programs. Commands are tested against it and then executed by one
 * function; owners of slots hold copies of their programs and run the same function on them. No I/O and no clock. */
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

class JournalState
{
public:
    /** Applies a committed command (flat Wire::JournalCommand) at @p index. @return the flat Wire::JournalReply. */
    std::string apply(std::uint64_t index, std::string_view command);

    /** Tests @p command and, with @p execute, executes it. A command that was executed before, as its attempt, block or
     * child id tells, passes and changes nothing, so that a proposer may send again what it had no answer to. */
    [[nodiscard]] Result<void> doCommand(Wire::JournalCommand::Reader command, bool execute);

    /** The program of @p id, or null. */
    [[nodiscard]] const ProgramRecord *find(const ProgramId &id) const;

    /** All programs whose slot is @p slot. */
    [[nodiscard]] std::vector<const ProgramRecord *> programsOf(SlotId slot) const;

    /** Epoch under which writes to @p slot are taken. */
    [[nodiscard]] Epoch epochOf(SlotId slot) const;

    /** Takes in a program read from a control member; for copies at owners. */
    void adopt(ProgramRecord program);

    /** Sets the epoch of an owned slot in a copy, which has not seen the command that opened it. */
    void setSlotEpoch(SlotId slot, Epoch epoch)
    {
        this->epochs[slot] = epoch;
    }

    /** Drops the programs of a slot that is no longer owned; for copies at owners. */
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
    Result<void> doAllocateChildBudget(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doChildEnded(Wire::JournalCommand::Reader command, bool execute);
    Result<void> doForget(Wire::JournalCommand::Reader command, bool execute);
    Result<ProgramRecord *> openProgram(const std::string &id);

    std::uint64_t lastIndex = 0; ///< Log index of the last applied command.
    std::map<SlotId, Epoch> epochs; ///< Highest epoch opened per slot. Never falls.
    std::map<ProgramId, ProgramRecord> programs; ///< Open programs, and ended ones within their retention.
    std::map<SlotId, std::map<ProgramId, bool>> bySlot; ///< Programs of each slot.
};

} // namespace Chestnuthook
