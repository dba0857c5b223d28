/** @file compression_func.cpp  Wraps POCO's streams for zlib. */
#include "core/compression_func.h"

#include <array>
#include <sstream>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

namespace Chestnuthook
{

namespace
{

/** Levels of zlib. */
constexpr int LowLevel = 1;
constexpr int HighLevel = 6;
constexpr std::size_t BlockBytes = 64U << 10U;

} // namespace

std::string compress(const std::string &content, CompressionEffort effort)
{
    const int level = effort == CompressionEffort::Low ? LowLevel : HighLevel;
    std::ostringstream output;
    Poco::DeflatingOutputStream stream(output, Poco::DeflatingStreamBuf::STREAM_ZLIB, level);
    stream.write(content.data(), static_cast<std::streamsize>(content.size()));
    stream.close();
    return output.str();
}

Result<std::string> decompress(const std::string &compressed)
{
    std::string content;
    try {
        std::istringstream input(compressed);
        Poco::InflatingInputStream stream(input);
        std::array<char, BlockBytes> block{};
        while (stream.read(block.data(), block.size()) || stream.gcount() > 0) {
            content.append(block.data(), static_cast<std::size_t>(stream.gcount()));
            if (content.size() > MaxDecompressedBytes) {
                return fail(ErrorKind::BadDeclaration, "compressed data holds more than 64 MiB");
            }
        }
        if (stream.bad()) {
            return fail(ErrorKind::BadDeclaration, "compressed data is damaged");
        }
    } catch (const Poco::Exception &exception) {
        return fail(ErrorKind::BadDeclaration, "compressed data is damaged: " + exception.displayText());
    }
    return content;
}

} // namespace Chestnuthook
