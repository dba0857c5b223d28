/** @file command_fuzz.cpp  Replicated commands: valid commands with modified bytes are applied, rejected, or end in a
 * kj::Exception, which the RPC system returns to the sender. A snapshot restores the same state. */
#include <capnp/message.h>
#include <kj/exception.h>

#include "fleet/fleet_base.h"
#include "fuzz_input.h"
#include "program/journal_base.h"
#include "rpc/message_func.h"

using namespace Chestnuthook;

namespace
{

constexpr std::size_t HeadBytes = 3;

std::string fleetCommand(std::uint8_t kind, const std::string &text)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setRequestId(text.substr(0, 4));
    switch (kind % 5) {
    case 0: {
        auto change = command.initApply().initChanges(1)[0];
        change.setSection("tenants");
        change.setName(text);
        change.setJson(R"({"rate":5,"burst":15})");
        break;
    }
    case 1: {
        auto key = command.initIssueKey();
        key.setId(text);
        key.setTenant(text);
        key.setHash(dataOf(std::string(32, 'h')));
        break;
    }
    case 2:
        command.setWithdrawKey(text);
        break;
    case 3: {
        auto entry = command.initGrantLease();
        entry.setId(text);
        entry.setAddress("127.0.0.1:1");
        break;
    }
    default:
        command.initEndLease().setEntry(text);
        break;
    }
    return flatBytes(message);
}

std::string journalCommand(std::uint8_t kind, const std::string &text)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::JournalCommand>();
    command.setSlot(slotOf(text).value);
    switch (kind % 4) {
    case 0: {
        auto program = command.initCreate();
        program.setId(text);
        program.initBudget().setCalls(4);
        break;
    }
    case 1: {
        auto begin = command.initBegin();
        begin.setProgram(text);
        begin.initCall().setNumber(1);
        break;
    }
    case 2: {
        auto end = command.initEnd();
        end.setProgram(text);
        end.initCall().setNumber(1);
        break;
    }
    default:
        command.setEndProgram(text);
        break;
    }
    return flatBytes(message);
}

void change(std::string &bytes, std::uint8_t at, std::uint8_t with)
{
    bytes[at % bytes.size()] = static_cast<char>(bytes[at % bytes.size()] ^ with);
}

template<typename State>
void applyTo(State &state, std::uint64_t index, const std::string &command)
{
    try {
        state.apply(index, command);
    } catch (const kj::Exception &) {
        return;
    }
}

template<typename State>
void checkSnapshot(const State &state)
{
    State copy;
    copy.restore(state.snapshot());
    Fuzz::require(copy.snapshot() == state.snapshot());
}

} // namespace

// The name is set by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    FleetState fleet;
    JournalState journal;
    std::uint64_t index = 0;
    for (std::size_t at = 0; at + HeadBytes < size; at += HeadBytes + 4) {
        const std::string text =
            "x" + Fuzz::textOf(data + at + HeadBytes, std::min<std::size_t>(4, size - at - HeadBytes));
        std::string command = data[at] % 2 == 0 ? fleetCommand(data[at] / 2, text) : journalCommand(data[at] / 2, text);
        change(command, data[at + 1], data[at + 2]);
        ++index;
        applyTo(fleet, index, command);
        applyTo(journal, index, command);
    }
    checkSnapshot(fleet);
    checkSnapshot(journal);
    return 0;
}
