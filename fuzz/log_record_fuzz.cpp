/** @file log_record_fuzz.cpp  Fuzzes the records of log files: reading never leaves the input, and a record with a
 * changed byte is never accepted. */
#include "consensus/log_record_internal.h"
#include "fuzz_input.h"

using namespace Chestnuthook;

namespace
{

/** Replays the records of a file as RaftStorage does when it opens a log. */
void replayFile(std::string_view bytes)
{
    RaftPersistentState restored;
    std::size_t offset = 0;
    while (const auto found = parseRecord(bytes, offset)) {
        Fuzz::require(found->payload.data() >= bytes.data() + offset);
        Fuzz::require(found->payload.data() + found->payload.size() <= bytes.data() + bytes.size());
        if (!replayRecord(restored, found->payload)) {
            return;
        }
        offset += RecordHeaderBytes + found->payload.size();
    }
}

} // namespace

// The name is set by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string input = Fuzz::textOf(data, size);
    replayFile(input);
    RaftPersistentState restored;
    static_cast<void>(replayRecord(restored, input));
    RaftSnapshot snapshot;
    static_cast<void>(decodeSnapshot(snapshot, input));
    if (size < 3) {
        return 0;
    }
    std::string file;
    appendRecord(file, 0, input.substr(2));
    file[data[0] % file.size()] ^= static_cast<char>(data[1]);
    const auto found = parseRecord(file, 0);
    Fuzz::require(data[1] == 0 ? found && found->payload == input.substr(2) : !found);
    replayFile(file);
    return 0;
}
