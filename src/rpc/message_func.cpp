/** @file message_func.cpp  Conversion of flat messages, errors and hybrid time. */
#include "rpc/message_func.h"

#include <cstring>

#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

/** A peer's time that is further ahead of the local clock is ignored, so that one wrong clock doesn't shift all
 * timelines. */
constexpr std::int64_t MaxClockLeadMs = 60'000;

} // namespace

std::string flatBytes(capnp::MessageBuilder &message)
{
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

FlatMessage::FlatMessage(std::string_view bytes)
{
    KJ_REQUIRE(bytes.size() % sizeof(capnp::word) == 0, "the size of a message is not a multiple of its word size");
    this->words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    if (!bytes.empty()) {
        std::memcpy(this->words.begin(), bytes.data(), bytes.size());
    }
    capnp::ReaderOptions options;
    options.traversalLimitInWords = this->words.size() * 4 + 1024;
    this->reader = kj::heap<capnp::FlatArrayMessageReader>(this->words, options);
}

void writeFailure(Wire::Failure::Builder builder, const Error &error)
{
    builder.setCode(std::string(errorRow(error.kind).code));
    builder.setWhat(wireText(error.what));
    builder.setRan(std::string(nameOf(error.ran)));
    builder.setRetryAfterMs(error.retryAfterMs);
}

Error readFailure(Wire::Failure::Reader reader)
{
    Error error;
    error.kind = errorKindOf(textOf(reader.getCode())).value_or(ErrorKind::Internal);
    error.what = textOf(reader.getWhat());
    error.ran = parseName<Ran>(textOf(reader.getRan())).value_or(Ran::Unknown);
    error.retryAfterMs = reader.getRetryAfterMs();
    return error;
}

void writeHybridTime(Wire::HybridTime::Builder builder)
{
    const HybridTime time = hybridNow();
    builder.setWallMs(time.wallMs);
    builder.setCounter(time.counter);
}

void observeHybridTime(Wire::HybridTime::Reader reader)
{
    const bool plausible = reader.getWallMs() > 0 && reader.getWallMs() < wallMsNow() + MaxClockLeadMs;
    if (plausible) {
        hybridObserve(HybridTime{reader.getWallMs(), reader.getCounter()});
    }
}

} // namespace Chestnuthook
