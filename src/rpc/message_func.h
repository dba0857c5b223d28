/** @file message_func.h  Conversions between Cap'n Proto messages, bytes and Error. */
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

/** Serializes @p message as one flat array, the form in which commands are replicated and stored. */
[[nodiscard]] std::string flatBytes(capnp::MessageBuilder &message);

/** Reads a message from flat bytes, of which it keeps an aligned copy. */
class FlatMessage
{
public:
    /** @throws kj::Exception if the bytes are not a message. */
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

void writeFailure(Wire::Failure::Builder builder, const Error &error);

/** Reads an error from a message; an unknown code becomes Internal. */
[[nodiscard]] Error readFailure(Wire::Failure::Reader reader);

/** Stamps an outgoing message with this process's hybrid logical clock. */
void writeHybridTime(Wire::HybridTime::Builder builder);
/** Advances this process's hybrid logical clock to the time of a received message. */
void observeHybridTime(Wire::HybridTime::Reader reader);

[[nodiscard]] inline std::string textOf(capnp::Text::Reader reader)
{
    return {reader.begin(), reader.size()};
}

/** Returns a reader of the whole @p text, which must outlive it. Cap'n Proto's own conversion of std::string stops at
 * a NUL byte. */
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
