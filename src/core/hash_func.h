/** @file hash_func.h  Hashes, record checksums, message authentication and random ids. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Chestnuthook
{

/** XXH64 hash; equal on all machines, so that slots can be derived from it. Not for secrets. */
[[nodiscard]] std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);
/** Checksum of a record: the low half of its XXH3-64 hash. */
[[nodiscard]] std::uint32_t checksum32(std::string_view data);
/** SHA-256 as 64 lower-case hexadecimal digits. Throws std::runtime_error if OpenSSL fails. */
[[nodiscard]] std::string sha256Hex(std::string_view data);
/** SHA-256 as 32 raw bytes. Throws std::runtime_error if OpenSSL fails. */
[[nodiscard]] std::string sha256Raw(std::string_view data);

/** HMAC-SHA-256 as 32 raw bytes. Throws std::runtime_error if OpenSSL fails. */
[[nodiscard]] std::string hmacSha256(std::string_view key, std::string_view data);
/** Compares in a time that depends only on the lengths, so that timing doesn't reveal the contents. */
[[nodiscard]] bool constantTimeEquals(std::string_view left, std::string_view right);
/** @p bytes random bytes from OpenSSL as hexadecimal digits. Throws std::runtime_error if OpenSSL fails. */
[[nodiscard]] std::string randomHex(std::size_t bytes);
/** Lower-case hexadecimal digits of @p data. */
[[nodiscard]] std::string toHex(std::string_view data);

} // namespace Chestnuthook
