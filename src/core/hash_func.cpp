/** @file hash_func.cpp  Hashes and random ids, using xxHash and OpenSSL. */
#include "core/hash_func.h"

#include <array>
#include <limits>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace Chestnuthook
{

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::uint32_t checksum32(std::string_view data)
{
    return static_cast<std::uint32_t>(XXH3_64bits(data.data(), data.size()));
}

std::string sha256Raw(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("OpenSSL can't compute SHA-256");
    }
    return std::string(reinterpret_cast<const char *>(digest.data()), length);
}

std::string sha256Hex(std::string_view data)
{
    return toHex(sha256Raw(data));
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    if (key.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
        throw std::runtime_error("the key for HMAC-SHA-256 is too long");
    }
    // A null key makes HMAC reuse the previous key, so an empty key must not be passed as null.
    const char *const keyData = key.empty() ? "" : key.data();
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (HMAC(EVP_sha256(), keyData, static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(data.data()),
            data.size(), digest.data(), &length)
        == nullptr) {
        throw std::runtime_error("OpenSSL can't compute HMAC-SHA-256");
    }
    return std::string(reinterpret_cast<const char *>(digest.data()), length);
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && (left.empty() || CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0);
}

std::string randomHex(std::size_t bytes)
{
    if (bytes > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
        throw std::runtime_error("too many random bytes requested");
    }
    std::string raw(bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(raw.data()), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("OpenSSL can't generate random bytes");
    }
    return toHex(raw);
}

std::string toHex(std::string_view data)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(data.size() * 2);
    for (const char c : data) {
        const auto byte = static_cast<unsigned char>(c);
        text += Digits[byte >> 4U];
        text += Digits[byte & 0x0fU];
    }
    return text;
}

} // namespace Chestnuthook
