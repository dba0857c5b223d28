/** @file journal_base.cpp  Lookups in and snapshots of the program journal. */
#include "program/journal_base.h"

#include <utility>

#include <capnp/message.h>

#include "fleet/fleet_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::uint32_t SnapshotVersion = 1; ///< Incremented when the format of the snapshot changes.

} // namespace

const ProgramRecord *JournalState::find(const ProgramId &id) const
{
    const auto found = this->programs.find(id);
    return found == this->programs.end() ? nullptr : &found->second;
}

std::vector<const ProgramRecord *> JournalState::programsOf(SlotId slot) const
{
    std::vector<const ProgramRecord *> found;
    const auto ids = this->bySlot.find(slot);
    if (ids == this->bySlot.end()) {
        return found;
    }
    for (const auto &[id, present] : ids->second) {
        found.push_back(&this->programs.at(id));
    }
    return found;
}

Epoch JournalState::epochOf(SlotId slot) const
{
    const auto found = this->epochs.find(slot);
    return found == this->epochs.end() ? Epoch{} : found->second;
}

void JournalState::adopt(ProgramRecord program)
{
    this->bySlot[slotOf(program.id.text)][program.id] = true;
    const ProgramId id = program.id;
    this->programs.insert_or_assign(id, std::move(program));
}

void JournalState::dropSlot(SlotId slot)
{
    const auto ids = this->bySlot.find(slot);
    if (ids == this->bySlot.end()) {
        return;
    }
    for (const auto &[id, present] : ids->second) {
        this->programs.erase(id);
    }
    this->bySlot.erase(ids);
}

std::string JournalState::snapshot() const
{
    capnp::MallocMessageBuilder builder;
    auto snapshot = builder.initRoot<Wire::JournalSnapshot>();
    snapshot.setVersion(SnapshotVersion);
    snapshot.setIndex(this->lastIndex);
    auto slots = snapshot.initSlots(static_cast<unsigned>(this->epochs.size()));
    unsigned next = 0;
    for (const auto &[slot, epoch] : this->epochs) {
        slots[next].setSlot(slot.value);
        slots[next].setEpoch(epoch.value);
        ++next;
    }
    auto programs = snapshot.initPrograms(static_cast<unsigned>(this->programs.size()));
    next = 0;
    for (const auto &[id, program] : this->programs) {
        writeProgram(programs[next], program);
        ++next;
    }
    return flatBytes(builder);
}

void JournalState::restore(std::string_view bytes)
{
    FlatMessage message(bytes);
    const auto snapshot = message.root<Wire::JournalSnapshot>();
    KJ_REQUIRE(snapshot.getVersion() == SnapshotVersion, "unsupported version of the journal snapshot");
    *this = JournalState{};
    this->lastIndex = snapshot.getIndex();
    for (const auto slot : snapshot.getSlots()) {
        this->epochs[SlotId{slot.getSlot()}] = Epoch{slot.getEpoch()};
    }
    for (const auto program : snapshot.getPrograms()) {
        this->adopt(readProgram(program));
    }
}

} // namespace Chestnuthook
