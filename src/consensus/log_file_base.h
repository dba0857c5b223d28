/** @file log_file_base.h  Durable records of commands in the data folder. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/error_type.h"

namespace Chestnuthook
{

/** An append-only file of checksummed records; a record lasts once append returned. */
class LogFile
{
public:
    LogFile() = default;
    LogFile(const LogFile &) = delete;
    LogFile &operator=(const LogFile &) = delete;
    ~LogFile();

    /** Opens or makes the file in @p folder and replays its records. A torn last record is cut. Errors: StorageFailed,
     * StorageCorrupt where a record before the last is damaged. */
    Result<void> open(const std::string &folder, const std::function<void(std::uint64_t, std::string_view)> &replay);

    /** Appends and syncs a record. @return its index, from 1. Errors: StorageFailed, after which nothing may be added.
     */
    [[nodiscard]] Result<std::uint64_t> append(std::string_view record);

private:
    int descriptor = -1; ///< The open file.
    std::uint64_t lastIndex = 0; ///< Index of the last record.
    bool failed = false; ///< A write or sync failed; the file's end is unknown.
};

} // namespace Chestnuthook
