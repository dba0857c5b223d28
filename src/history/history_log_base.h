/** @file history_log_base.h  The durable part of a history member: records in segment files of the data folder. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "core/error_type.h"

namespace Chestnuthook
{

/** Blocking writes. A torn end of a segment was never acknowledged and is cut off; damage within one is an error. */
class HistoryLog
{
public:
    /** A segment is closed at this size, in bytes; it is removed once all of it has expired. */
    static constexpr std::uint64_t SegmentBytes = 16ULL << 20U;

    HistoryLog() = default;
    HistoryLog(const HistoryLog &) = delete;
    HistoryLog &operator=(const HistoryLog &) = delete;
    ~HistoryLog();

    /** Opens or makes the folder and hands each record that is there to @p onRecord, which gives its expiry in
     * milliseconds since 1970 (0 for none). Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<void> open(
        const std::string &dataFolder, const std::function<std::uint64_t(std::string_view)> &onRecord);

    /** Adds a record for the next `sync`. */
    void append(std::string_view record, std::uint64_t expiresMs);
    [[nodiscard]] bool hasUnsynced() const
    {
        return !this->unsynced.empty();
    }
    /** Writes and syncs what was appended. Errors: StorageFailed; then nothing more may be written. */
    [[nodiscard]] Result<void> sync();
    /** Removes closed segments of which all has expired. Errors: StorageFailed. */
    [[nodiscard]] Result<void> removeExpired(std::uint64_t nowMs);

private:
    struct Segment
    {
        std::uint64_t number = 0; ///< In its file's name; grows.
        std::uint64_t lastExpiryMs = 0; ///< Latest expiry of its records.
    };

    [[nodiscard]] std::string pathOf(std::uint64_t number) const;
    Result<void> readSegment(
        Segment &segment, bool isLast, const std::function<std::uint64_t(std::string_view)> &onRecord);
    Result<void> startSegment();

    std::string folder; ///< The data folder.
    std::deque<Segment> segments; ///< Oldest first; the last is written to.
    int descriptor = -1; ///< Of the last segment.
    std::uint64_t size = 0; ///< Of the last segment.
    std::string unsynced; ///< Bytes for the next sync.
    bool failed = false; ///< A write failed; the file's end is unknown.
};

} // namespace Chestnuthook
