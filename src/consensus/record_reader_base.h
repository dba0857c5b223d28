/** @file record_reader_base.h  Reads the records of a log file in order, of which it holds about one in memory. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "consensus/log_record_internal.h"
#include "core/error_type.h"
#include "core/file_system_base.h"

namespace Chestnuthook
{

class RecordReader
{
public:
    static constexpr std::size_t ReadBytes = 1U << 20U; ///< Size of a read, unless a record is larger.

    /** Begins at @p offset of the file @p path, which must exist. @p files must outlive this object. */
    RecordReader(FileSystem &files, std::string path, std::uint64_t offset);

    /** The next complete record, valid until the next call; nothing at the end of the file and at a damaged or
     * incomplete record. Errors: StorageFailed. */
    [[nodiscard]] Result<std::optional<ParsedRecord>> next();

    /** Offset in the file behind the last record that `next` returned. */
    [[nodiscard]] std::uint64_t offset() const
    {
        return this->windowStart + this->position;
    }
    /** Whether the file ends at `offset()`. Only after `next` returned nothing. */
    [[nodiscard]] bool isAtEnd() const
    {
        return this->position == this->window.size();
    }

    /** Whether a complete record of a batch that began after `offset()` follows. If so, the record at `offset()` had
     * been synced and was damaged later. Only after `next` returned nothing. Errors: StorageFailed. */
    [[nodiscard]] Result<bool> laterBatchFollows() const;

private:
    /** Reads until @p bytes follow in the window, or to the end of the file. */
    Result<void> fill(std::size_t bytes);

    FileSystem &files; ///< Must outlive this object.
    const std::string path; ///< Path of the file.
    std::string window; ///< Part of the file.
    std::uint64_t windowStart = 0; ///< Offset of the window in the file.
    std::size_t position = 0; ///< Offset in the window behind the last record.
    bool isWholeRead = false; ///< The window reaches to the end of the file.
};

} // namespace Chestnuthook
