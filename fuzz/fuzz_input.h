/** @file fuzz_input.h  What the fuzz targets share: input as text, and a scratch folder. */
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

/** A folder of this process, made on the first use. */
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

/** Ends the process as a found fault where @p held is false. */
inline void require(bool held)
{
    if (!held) {
        __builtin_trap();
    }
}

} // namespace Chestnuthook::Fuzz
