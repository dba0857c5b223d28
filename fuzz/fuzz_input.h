/** @file fuzz_input.h  Helpers of the fuzz targets: input as text, scratch files and assertions. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

namespace Chestnuthook::Fuzz
{

inline std::string textOf(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

/** Temporary folder of this process; created by the first call and not removed. */
inline const std::string &scratchFolder()
{
    static const std::string folder = [] {
        const auto path = std::filesystem::temp_directory_path() / ("chestnuthook-fuzz-" + std::to_string(::getpid()));
        std::filesystem::create_directories(path);
        return path.string();
    }();
    return folder;
}

inline void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
}

/** Makes the fuzzer report a failure if @p condition is false. */
inline void require(bool condition)
{
    if (!condition) {
        __builtin_trap();
    }
}

} // namespace Chestnuthook::Fuzz
