/** @file compression_func.h  Compression of configurations and commands that are sent to other processes. */
#pragma once

#include <string>

#include "core/error_type.h"

namespace Chestnuthook
{

enum class CompressionEffort {
    Low, ///< A few milliseconds of processor time per megabyte of text.
    High, ///< Some four times that, for about three quarters of the size.
};

/** Compresses @p content in the zlib format. */
[[nodiscard]] std::string compress(const std::string &content, CompressionEffort effort);
/** Errors: BadDeclaration if @p compressed isn't in the zlib format or holds more than MaxDecompressedBytes. */
[[nodiscard]] Result<std::string> decompress(const std::string &compressed);

/** Larger than any request body that operators may send. */
inline constexpr std::size_t MaxDecompressedBytes = 64U << 20U;

} // namespace Chestnuthook
