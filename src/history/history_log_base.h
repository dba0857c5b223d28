/** @file history_log_base.h  Durable storage of a history member: a record log in segment files of the data folder. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "core/error_type.h"
#include "core/file_system_base.h"

namespace Chestnuthook
{

/** Where a record is in the log. */
struct RecordLocation
{
    std::uint64_t segment = 0; ///< Number of its segment; 0 for none.
    std::uint64_t offset = 0; ///< Bytes before it in the segment.
    std::uint32_t bytes = 0; ///< Its size with the record header.
};

/** Append-only log with blocking writes. An incomplete record at the end of the last segment was never acknowledged and
 * is truncated; corruption anywhere else is an error. */
class HistoryLog
{
public:
    /** Size in bytes at which a segment is closed; it is deleted once all of its records have expired. */
    static constexpr std::uint64_t SegmentBytes = 16ULL << 20U;

    /** @p segmentBytes is the size at which a segment is closed. */
    explicit HistoryLog(FileSystem &files = localFileSystem(), std::uint64_t segmentBytes = SegmentBytes);
    HistoryLog(const HistoryLog &) = delete;
    HistoryLog &operator=(const HistoryLog &) = delete;
    ~HistoryLog();

    /** Takes a stored record and returns its expiry in milliseconds since 1970, 0 for none. */
    using RecordVisitor = std::function<std::uint64_t(std::string_view record, const RecordLocation &location)>;

    /** Opens the folder, creating it if needed, and passes each stored record to @p onRecord. Of a segment about one
     * record is in memory at a time. Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<void> open(const std::string &dataFolder, const RecordVisitor &onRecord);
    [[nodiscard]] Result<void> open(
        const std::string &dataFolder, const std::function<std::uint64_t(std::string_view)> &onRecord);

    /** Passes each stored record to @p onRecord once more, in the same order; only directly after `open`. Errors:
     * StorageFailed. */
    [[nodiscard]] Result<void> forEachRecord(const RecordVisitor &onRecord);

    /** Buffers a record until the next `sync`. @return where that writes it. */
    RecordLocation append(std::string_view record, std::uint64_t expiresMs);
    /** Reads a synced record; any thread may call it. Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<std::string> read(const RecordLocation &location) const;
    /** Size of all segments in bytes. */
    [[nodiscard]] std::uint64_t bytes() const;
    [[nodiscard]] bool hasUnsynced() const
    {
        return !this->unsynced.empty();
    }
    /** Writes and syncs the buffered records. Errors: StorageFailed, after which the log must not be used. */
    [[nodiscard]] Result<void> sync();
    /** Deletes the oldest closed segments in which every record has expired. Errors: StorageFailed. */
    [[nodiscard]] Result<void> removeExpired(std::uint64_t nowMs);

private:
    struct Segment
    {
        std::uint64_t number = 0; ///< Number in the file name; increases with each segment.
        std::uint64_t lastExpiryMs = 0; ///< Latest expiry of its records, in milliseconds since 1970.
        std::uint64_t bytes = 0; ///< Its size.
    };

    [[nodiscard]] std::string pathOf(std::uint64_t number) const;
    Result<void> readSegment(Segment &segment, bool isLast, const RecordVisitor &onRecord);
    /** Visits the records of @p segment up to the first incomplete one. @return whether that is the end of the file. */
    Result<bool> readRecords(Segment &segment, const RecordVisitor &onRecord);
    Result<void> startSegment();

    FileSystem &files; ///< Must outlive this object.
    std::uint64_t segmentBytes; ///< Size at which a segment is closed.
    std::string folder; ///< Path of the data folder.
    std::deque<Segment> segments; ///< Oldest first; the last one is open for writing.
    int descriptor = -1; ///< File descriptor of the last segment.
    std::uint64_t size = 0; ///< Bytes written to the last segment.
    std::string unsynced; ///< Encoded records that the next `sync` writes.
    bool failed = false; ///< A write failed, so the end of the file is undefined.
};

} // namespace Chestnuthook
