/** @file raft_storage_base.h  The durable part of a member: its log, hard state and snapshot in the data folder. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/raft_type.h"
#include "core/error_type.h"

namespace Chestnuthook
{

/** A compaction: the snapshot and what stays of the log. */
struct RaftCompaction
{
    RaftSnapshot snapshot; ///< What the dropped entries are replaced by.
    RaftHardState hardState; ///< At the time.
    std::uint64_t baseIndex = 0; ///< The log starts after this.
    std::uint64_t baseTerm = 0; ///< Term of the entry at baseIndex.
    std::vector<RaftEntry> entries; ///< All from baseIndex + 1.
};

/** Blocking writes to one data folder; used by one thread at a time. After a failure nothing more may be written.
 * A record is `length, checksum, batch, checksum of these` and its bytes; `batch` is the offset at which the write that
 * it was part of began. A damaged record is the torn tail unless a whole record of a later batch follows it, because a
 * batch is begun only after the one before was synced. */
class RaftStorage
{
public:
    RaftStorage() = default;
    RaftStorage(const RaftStorage &) = delete;
    RaftStorage &operator=(const RaftStorage &) = delete;
    ~RaftStorage();

    /** Opens or makes the folder and reads what is there. Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<RaftRestored> open(const std::string &dataFolder);

    /** The identity kept in the folder; made at the first opening. */
    [[nodiscard]] const std::string &identity() const
    {
        return this->folderIdentity;
    }
    /** Makes the identity of @p name where the folder has none. Errors: StorageFailed. */
    [[nodiscard]] Result<void> loadOrCreateIdentity(const std::string &dataFolder, const std::string &name);

    /** Persists @p batches in order by one write and one sync. Errors: StorageFailed. */
    [[nodiscard]] Result<void> write(const std::vector<RaftActions> &batches);

    /** Persists a snapshot and then the shorter log. Errors: StorageFailed. */
    [[nodiscard]] Result<void> compact(const RaftCompaction &compaction);

private:
    Result<void> readSnapshot(RaftRestored &restored);
    Result<void> readLog(RaftRestored &restored);
    Result<void> openLog();
    Result<void> replaceLog(const RaftCompaction &compaction);
    Result<void> replaceFile(const std::string &name, const std::string &bytes);
    Result<void> writeBytes(const std::string &bytes);

    std::string folder; ///< The data folder.
    std::string folderIdentity; ///< Name and random part.
    int descriptor = -1; ///< The open log.
    std::uint64_t end = 0; ///< Size of the log.
    RaftHardState hard; ///< Last one written; repeated in a new log.
    bool failed = false; ///< A write or sync failed; the file's end is unknown.
};

} // namespace Chestnuthook
