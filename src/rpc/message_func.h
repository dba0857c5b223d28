/** @file message_func.h  Between Cap'n Proto messages, bytes and our error type. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "core/error_type.h"
#include "rpc/common.capnp.h"

namespace Chestnuthook
{

/** Bytes of @p message in one flat segment table; the form in which commands are replicated and stored. */
[[nodiscard]] std::string flatBytes(capnp::MessageBuilder &message);

/** A message read from flat bytes; keeps its own aligned copy of them. */
class FlatMessage
{
public:
    /** @throws kj::Exception where the bytes are not a message. */
    explicit FlatMessage(std::string_view bytes);

    template<typename Root>
    [[nodiscard]] typename Root::Reader root()
    {
        return this->reader->template getRoot<Root>();
    }

private:
    kj::Array<capnp::word> words; ///< Aligned copy of the bytes.
    kj::Own<capnp::FlatArrayMessageReader> reader; ///< Reads `words`.
};

/** Writes @p error into a message. */
void writeFailure(Wire::Failure::Builder builder, const Error &error);

/** Reads an error from a message; an unknown code becomes Internal. */
[[nodiscard]] Error readFailure(Wire::Failure::Reader reader);

/** Writes this process's hybrid time into a message that is sent. */
void writeHybridTime(Wire::HybridTime::Builder builder);
/** Takes the hybrid time of a message that was received. */
void observeHybridTime(Wire::HybridTime::Reader reader);

[[nodiscard]] inline std::string textOf(capnp::Text::Reader reader)
{
    return {reader.begin(), reader.size()};
}

/** @p text as a whole: the conversion that Cap'n Proto has for std::string stops at a NUL byte. The text outlives the
 * reader. */
[[nodiscard]] inline capnp::Text::Reader wireText(const std::string &text)
{
    return {text.c_str(), text.size()};
}

[[nodiscard]] inline std::string bytesOf(capnp::Data::Reader reader)
{
    return {reinterpret_cast<const char *>(reader.begin()), reader.size()};
}

[[nodiscard]] inline capnp::Data::Reader dataOf(std::string_view bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

} // namespace Chestnuthook
