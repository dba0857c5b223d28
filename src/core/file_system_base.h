/** @file file_system_base.h  File operations of the code that stores data durably. Tests replace them, for example by a
 * file system that loses what was not synced. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_type.h"

namespace Chestnuthook
{

enum class OpenMode : std::uint8_t {
    Append, ///< Writes go to the end; a missing file is created.
    Replace, ///< The file is emptied, or created if it is missing.
};

/** Blocking operations. Nothing is durable until it is synced: the content of a file by `sync`, the creation, renaming
 * and removal of a name by `syncFolder` of its folder. Errors: StorageFull where `open` or `write` finds no room, which
 * leaves a part of the bytes in the file; else StorageFailed. */
class FileSystem
{
public:
    FileSystem() = default;
    FileSystem(const FileSystem &) = delete;
    FileSystem &operator=(const FileSystem &) = delete;
    virtual ~FileSystem() = default;

    /** @return whether the folder was created; false if it exists. */
    [[nodiscard]] virtual Result<bool> makeFolder(const std::string &path) = 0;
    [[nodiscard]] virtual bool exists(const std::string &path) = 0;
    /** Whether this process may create names in @p folder. */
    [[nodiscard]] virtual bool isWritable(const std::string &folder) = 0;
    /** Names in @p folder, in any order. */
    [[nodiscard]] virtual Result<std::vector<std::string>> list(const std::string &folder) = 0;
    /** Content of a file; nothing if there is no such file. */
    [[nodiscard]] virtual Result<std::optional<std::string>> read(const std::string &path) = 0;
    /** Up to @p bytes of a file from @p offset on; fewer only at its end. A missing file is an error. */
    [[nodiscard]] virtual Result<std::string> readRange(
        const std::string &path, std::uint64_t offset, std::size_t bytes) = 0;

    /** Opens a file for writing. @return its descriptor. */
    [[nodiscard]] virtual Result<int> open(const std::string &path, OpenMode mode) = 0;
    virtual void close(int file) = 0;
    [[nodiscard]] virtual Result<void> write(int file, std::string_view bytes) = 0;
    [[nodiscard]] virtual Result<void> truncate(int file, std::uint64_t size) = 0;
    /** Makes content and size durable. */
    [[nodiscard]] virtual Result<void> sync(int file) = 0;

    [[nodiscard]] virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    [[nodiscard]] virtual Result<void> remove(const std::string &path) = 0;
    [[nodiscard]] virtual Result<void> syncFolder(const std::string &folder) = 0;
};

/** The file system of the machine. */
[[nodiscard]] FileSystem &localFileSystem();

/** Creates @p folder and its missing parents durably. Errors: StorageFailed. */
[[nodiscard]] Result<void> createFolder(FileSystem &files, const std::string &folder);

} // namespace Chestnuthook
