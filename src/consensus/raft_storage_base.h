/** @file raft_storage_base.h  Durable state of a member: the log, hard state and snapshot in its data folder. */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/raft_type.h"
#include "core/error_type.h"
#include "core/file_system_base.h"

namespace Chestnuthook
{

/** A log compaction: the snapshot and the remaining log. */
struct RaftCompaction
{
    RaftSnapshot snapshot; ///< Replaces the dropped entries.
    RaftHardState hardState; ///< Current hard state.
    std::uint64_t baseIndex = 0; ///< The remaining log starts after this index.
    std::uint64_t baseTerm = 0; ///< Term of the entry at baseIndex.
    std::vector<RaftEntry> entries; ///< All entries from baseIndex + 1 on.
};

/** Blocking writes to one data folder; used by one thread at a time. After a failure nothing more may be written,
 * unless `recover` succeeds. Of a log file about one record is in memory at a time. A record consists of a header
 * `length, checksum, batch, checksum of these` and its payload; `batch` is the file offset at which the write that
 * contained it began. A damaged record is a torn tail unless a complete record of a later batch follows it, because a
 * batch is started only after the previous one was synced. */
class RaftStorage
{
public:
    explicit RaftStorage(FileSystem &files = localFileSystem());
    RaftStorage(const RaftStorage &) = delete;
    RaftStorage &operator=(const RaftStorage &) = delete;
    ~RaftStorage();

    /** Opens or creates the folder and reads the stored state. Entries that the snapshot covers are dropped beyond the
     * latest ones that take @p keptBytes. Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<RaftPersistentState> open(
        const std::string &dataFolder, std::uint64_t keptBytes = std::numeric_limits<std::uint64_t>::max());

    /** The identity stored in the folder. */
    [[nodiscard]] const std::string &identity() const
    {
        return this->memberIdentity;
    }
    /** Loads the identity from the folder; creates one for @p name if there is none. Errors: StorageFailed. */
    [[nodiscard]] Result<void> loadOrCreateIdentity(const std::string &dataFolder, const std::string &name);

    /** Persists @p batches in order with one write and one sync. Errors: StorageFailed. */
    [[nodiscard]] Result<void> write(const std::vector<RaftActions> &batches);

    /** Persists the snapshot and then replaces the log by the remaining one. Errors: StorageFailed. */
    [[nodiscard]] Result<void> compact(const RaftCompaction &compaction);

    /** Whether the last write or compaction failed because the disk is full. */
    [[nodiscard]] bool isDiskFull() const
    {
        return this->diskFull;
    }
    /** Removes what the last write or compaction has left behind, so that it can be tried again as a whole. Errors:
     * StorageFailed if that isn't possible, or it did not fail because of a full disk. */
    [[nodiscard]] Result<void> recover();

    /** Size of the log file in bytes. For any thread. */
    [[nodiscard]] std::uint64_t logBytes() const
    {
        return this->logSize;
    }

private:
    /** Appends bytes to a file that is being written; may be called any number of times. */
    using AppendBytes = std::function<Result<void>(std::string_view)>;

    Result<void> readSnapshot(RaftPersistentState &restored);
    Result<void> readLog(RaftPersistentState &restored, std::uint64_t keptBytes);
    Result<void> openLog();
    Result<void> replaceLog(const RaftCompaction &compaction);
    /** Replaces a file by what @p fill writes. */
    Result<void> replaceFile(const std::string &name, const std::function<Result<void>(const AppendBytes &)> &fill);
    Result<void> replaceFile(const std::string &name, const std::string &bytes);
    /** Removes what replacements of files that were not finished have left behind. */
    Result<void> removeTemporaryFiles();
    Result<void> writeBatches(const std::vector<RaftActions> &batches);
    /** Notes a failed write. @return the error as StorageFailed. */
    tl::unexpected<Error> failedWrite(const Error &error);

    [[nodiscard]] Result<std::string> readOrEmpty(const std::string &name) const;

    FileSystem &files; ///< Must outlive this object.
    std::string folder; ///< The data folder.
    std::string memberIdentity; ///< Member name and random part.
    int descriptor = -1; ///< File descriptor of the open log.
    std::atomic<std::uint64_t> logSize{0}; ///< Size of the log file in bytes, without a write in progress.
    std::uint64_t lastFileBytes = 0; ///< Size of the last file that `replaceFile` has put in place.
    RaftHardState lastHardState; ///< Last hard state written; repeated in a new log file.
    bool writeFailed = false; ///< A write or sync failed, so the end of the file is unknown.
    bool diskFull = false; ///< See `isDiskFull`.
};

} // namespace Chestnuthook
