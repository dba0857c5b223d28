/** @file log_record_fuzz.cpp  Records of the data folder: whatever bytes a file holds, reading stays inside them, and a
 * record with a changed byte is never taken for a whole one of the same content. */
#include "consensus/log_record_internal.h"
#include "fuzz_input.h"

using namespace Chestnuthook;

namespace
{

/** Walks the records of a file as opening does. */
void walk(std::string_view bytes)
{
    RaftRestored restored;
    std::size_t at = 0;
    while (const auto found = parseRecord(bytes, at)) {
        Fuzz::require(found->payload.data() >= bytes.data() + at);
        Fuzz::require(found->payload.data() + found->payload.size() <= bytes.data() + bytes.size());
        if (!takeRecord(restored, found->payload)) {
            return;
        }
        at += RecordHeaderBytes + found->payload.size();
    }
}

} // namespace

// The name is set by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string input = Fuzz::textOf(data, size);
    walk(input);
    RaftRestored restored;
    static_cast<void>(takeRecord(restored, input));
    RaftSnapshot snapshot;
    static_cast<void>(takeSnapshot(snapshot, input));
    if (size < 3) {
        return 0;
    }
    std::string file;
    appendRecord(file, 0, input.substr(2));
    file[data[0] % file.size()] ^= static_cast<char>(data[1]);
    const auto found = parseRecord(file, 0);
    Fuzz::require(data[1] == 0 ? found && found->payload == input.substr(2) : !found);
    walk(file);
    return 0;
}
