/** @file call_request_fuzz.cpp  Request bodies of calls: any input is either parsed or rejected with a reason. */
#include "fuzz_input.h"
#include "program/call_request_type.h"

using namespace Chestnuthook;

// The name is set by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string body = Fuzz::textOf(data, size);
    const Result<CallRequest> call = parseCall(body);
    Fuzz::require(call ? call->body == body : !call.error().what.empty());
    const auto messages = parseMessages(body);
    Fuzz::require(messages || !messages.error().what.empty());
    return 0;
}
