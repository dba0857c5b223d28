/** @file event_stream_fuzz.cpp  Fuzzes the reader of an engine's server-sent events. Any input must terminate within
 * the size limits, and must be reported as complete only if [DONE] was received. */
#include <sstream>

#include "endpoint/http_attempt_func.h"
#include "fuzz_input.h"

using namespace Chestnuthook;

// The name is set by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text = Fuzz::textOf(data, size);
    std::istringstream stream(text);
    AttemptOutcome outcome;
    std::string seen;
    try {
        readEventStream(stream, outcome, [&](std::string_view piece) {
            seen += piece;
            return true;
        });
    } catch (const std::exception &) {
        outcome.complete = false; // The same handling as in runEngineAttempt.
    }
    Fuzz::require(!outcome.complete || text.find("data: [DONE]") != std::string::npos);
    Fuzz::require(outcome.body == seen);
    return 0;
}
