/** @file raft_storage_base.cpp  The files `identity`, `log` and `snapshot` of a member. */
#include "consensus/raft_storage_base.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "consensus/log_record_internal.h"
#include "consensus/record_reader_base.h"
#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t IdentityBytes = 4;
constexpr std::size_t BaseRecordBytes = RecordHeaderBytes + 25;

/** First bytes of the log and snapshot files; the number is raised when the record format changes. */
constexpr std::string_view FileHeader = "CHESTNUT0001\n";

constexpr std::size_t WriteBytes = 1U << 20U; ///< Records are collected up to this size for a write.
constexpr std::string_view TemporarySuffix = ".new";

} // namespace

RaftStorage::RaftStorage(FileSystem &files)
    : files(files)
{
}

RaftStorage::~RaftStorage()
{
    if (this->descriptor >= 0) {
        this->files.close(this->descriptor);
    }
}

Result<std::string> RaftStorage::readOrEmpty(const std::string &name) const
{
    auto read = this->files.read(this->folder + "/" + name);
    return read ? Result<std::string>(std::move(*read).value_or("")) : tl::unexpected(read.error());
}

Result<void> RaftStorage::loadOrCreateIdentity(const std::string &dataFolder, const std::string &name)
{
    this->folder = dataFolder;
    Result<void> created = createFolder(this->files, dataFolder);
    if (!created) {
        return created;
    }
    const Result<std::string> stored = this->readOrEmpty("identity");
    if (!stored) {
        return tl::unexpected(stored.error());
    }
    this->memberIdentity = *stored;
    if (stored->empty()) {
        this->memberIdentity = name + "." + randomHex(IdentityBytes);
        return this->replaceFile("identity", this->memberIdentity);
    }
    return this->files.syncFolder(dataFolder);
}

Result<RaftPersistentState> RaftStorage::open(const std::string &dataFolder, std::uint64_t keptBytes)
{
    this->folder = dataFolder;
    RaftPersistentState restored;
    // What is read here is relied on, although the process that wrote it may have ended before it synced it.
    Result<void> done = createFolder(this->files, dataFolder);
    if (done) {
        done = this->files.syncFolder(dataFolder);
    }
    if (done) {
        done = this->removeTemporaryFiles();
    }
    if (done) {
        done = this->readSnapshot(restored);
    }
    if (done) {
        done = this->readLog(restored, keptBytes);
    }
    if (!done) {
        return tl::unexpected(done.error());
    }
    const std::uint64_t last = restored.baseIndex + restored.entries.size();
    const RaftSnapshot &snapshot = restored.snapshot;
    const bool consistent = snapshot.index >= restored.baseIndex && snapshot.index <= last
        && (snapshot.index == restored.baseIndex
            || restored.entries[snapshot.index - restored.baseIndex - 1].term == snapshot.term);
    if (!consistent && snapshot.index < restored.baseIndex) {
        return fail(ErrorKind::StorageCorrupt, "the log starts after the snapshot ends");
    }
    if (!consistent) { // The process ended after it stored a received snapshot and before it replaced the log.
        restored.baseIndex = snapshot.index;
        restored.baseTerm = snapshot.term;
        restored.entries.clear();
        done = this->compact(RaftCompaction{snapshot, restored.hardState, snapshot.index, snapshot.term, {}});
        if (!done) {
            return tl::unexpected(done.error());
        }
    }
    this->lastHardState = restored.hardState;
    return restored;
}

Result<void> RaftStorage::readSnapshot(RaftPersistentState &restored)
{
    const Result<std::string> bytes = this->readOrEmpty("snapshot");
    if (!bytes || bytes->empty()) {
        return bytes ? Result<void>() : tl::unexpected(bytes.error());
    }
    const auto record = parseRecord(*bytes, FileHeader.size());
    const bool hasHeader = bytes->compare(0, FileHeader.size(), FileHeader) == 0;
    if (!hasHeader || !record || !decodeSnapshot(restored.snapshot, record->payload)) {
        return fail(ErrorKind::StorageCorrupt, this->folder + "/snapshot");
    }
    return {};
}

Result<void> RaftStorage::readLog(RaftPersistentState &restored, std::uint64_t keptBytes)
{
    const std::string path = this->folder + "/log";
    if (!this->files.exists(path)) {
        return this->replaceLog(RaftCompaction{});
    }
    const Result<std::string> fileHeader = this->files.readRange(path, 0, FileHeader.size());
    if (!fileHeader) {
        return tl::unexpected(fileHeader.error());
    }
    RecordReader reader(this->files, path, FileHeader.size());
    // A log file is put in place complete, with the base as its first record.
    auto record = reader.next();
    const bool hasBase = record && *record && (*record)->payload[0] == static_cast<char>(RecordKind::Base);
    if (record && (*fileHeader != FileHeader || !hasBase)) {
        return fail(ErrorKind::StorageCorrupt, path + " has no header of a known version");
    }
    std::uint64_t coveredBytes = 0; // Size of the entries that the snapshot covers and that are held.
    std::size_t dropped = 0; // Number of entries at the front whose data is dropped.
    for (; record && *record; record = reader.next()) {
        if (!replayRecord(restored, (*record)->payload)) {
            return fail(ErrorKind::StorageCorrupt,
                path + ": record out of sequence before byte " + std::to_string(reader.offset()));
        }
        const bool isEntry = (*record)->payload[0] == static_cast<char>(RecordKind::Entry);
        if (isEntry && restored.entries.back().index <= restored.snapshot.index) {
            coveredBytes += restored.entries.back().bytes();
        }
        while (coveredBytes > keptBytes && dropped < restored.entries.size()
            && restored.entries[dropped].index < restored.snapshot.index) {
            RaftEntry &oldest = restored.entries[dropped++];
            coveredBytes -= std::min(coveredBytes, oldest.bytes());
            oldest.data = SharedBytes();
        }
    }
    if (!record) {
        return tl::unexpected(record.error());
    }
    const std::uint64_t offset = reader.offset();
    const Result<bool> isDamaged = reader.isAtEnd() ? Result<bool>(false) : reader.laterBatchFollows();
    if (!isDamaged) {
        return tl::unexpected(isDamaged.error());
    }
    if (offset < restored.initialBytes || *isDamaged) {
        return fail(ErrorKind::StorageCorrupt, path + " is damaged at byte " + std::to_string(offset));
    }
    if (dropped > 0) {
        const auto end = restored.entries.begin() + static_cast<std::ptrdiff_t>(dropped);
        restored.baseTerm = std::prev(end)->term;
        restored.baseIndex += dropped;
        restored.entries.erase(restored.entries.begin(), end);
    }
    this->logSize = offset;
    Result<void> opened = this->openLog();
    if (opened && !reader.isAtEnd()) {
        opened = this->files.truncate(this->descriptor, offset);
    }
    return opened ? this->files.sync(this->descriptor) : opened;
}

Result<void> RaftStorage::openLog()
{
    if (this->descriptor >= 0) {
        this->files.close(this->descriptor);
    }
    const Result<int> file = this->files.open(this->folder + "/log", OpenMode::Append);
    this->descriptor = file.value_or(-1);
    return file ? Result<void>() : tl::unexpected(file.error());
}

Result<void> RaftStorage::write(const std::vector<RaftActions> &batches)
{
    if (this->writeFailed) {
        return fail(ErrorKind::StorageFailed, "an earlier write failed");
    }
    return this->writeBatches(batches);
}

Result<void> RaftStorage::writeBatches(const std::vector<RaftActions> &batches)
{
    std::string buffer; // Records that are not written yet.
    std::uint64_t written = 0; // Bytes written to the log file since its last sync.
    const auto writeBuffer = [&]() -> Result<void> {
        const Result<void> done = this->files.write(this->descriptor, buffer);
        written += buffer.size();
        buffer.clear();
        return done ? Result<void>() : Result<void>(this->failedWrite(done.error()));
    };
    for (const RaftActions &batch : batches) {
        if (batch.hardState) {
            this->lastHardState = *batch.hardState;
        }
        if (batch.install) {
            buffer.clear(); // The snapshot replaces everything before it.
            const RaftSnapshot &snapshot = *batch.install;
            Result<void> done =
                this->compact(RaftCompaction{snapshot, this->lastHardState, snapshot.index, snapshot.term, {}});
            if (!done) {
                return done;
            }
            written = 0;
        } else if (batch.hardState) {
            appendRecord(buffer, this->logSize, encodeHardState(this->lastHardState));
        }
        for (const RaftEntry &entry : batch.append) {
            appendRecord(buffer, this->logSize, encodeEntry(entry));
            Result<void> done = buffer.size() < WriteBytes ? Result<void>() : writeBuffer();
            if (!done) {
                return done;
            }
        }
    }
    Result<void> done = buffer.empty() ? Result<void>() : writeBuffer();
    if (!done || written == 0) {
        return done;
    }
    done = this->files.sync(this->descriptor);
    if (!done) {
        return this->failedWrite(done.error());
    }
    this->logSize += written;
    return {};
}

tl::unexpected<Error> RaftStorage::failedWrite(const Error &error)
{
    this->writeFailed = true;
    this->diskFull = error.kind == ErrorKind::StorageFull;
    return fail(ErrorKind::StorageFailed, error.what);
}

Result<void> RaftStorage::recover()
{
    if (!this->diskFull) {
        return fail(ErrorKind::StorageFailed, "the failure of a write is not known to be harmless");
    }
    Result<void> done = this->removeTemporaryFiles();
    if (done) {
        done = this->files.truncate(this->descriptor, this->logSize);
    }
    if (done) {
        done = this->files.sync(this->descriptor);
    }
    this->writeFailed = !done;
    this->diskFull = false;
    return done;
}

Result<void> RaftStorage::removeTemporaryFiles()
{
    bool removed = false;
    for (const char *name : {"identity", "snapshot", "log"}) {
        const std::string path = this->folder + "/" + name + std::string(TemporarySuffix);
        if (!this->files.exists(path)) {
            continue;
        }
        Result<void> done = this->files.remove(path);
        if (!done) {
            return done;
        }
        removed = true;
    }
    return removed ? this->files.syncFolder(this->folder) : Result<void>();
}

Result<void> RaftStorage::compact(const RaftCompaction &compaction)
{
    if (this->writeFailed) {
        return fail(ErrorKind::StorageFailed, "an earlier write failed");
    }
    std::string bytes(FileHeader);
    appendRecord(bytes, 0, encodeSnapshot(compaction.snapshot));
    Result<void> done = this->replaceFile("snapshot", bytes);
    bytes = std::string();
    return done ? this->replaceLog(compaction) : done;
}

Result<void> RaftStorage::replaceLog(const RaftCompaction &compaction)
{
    std::string head;
    appendRecord(head, 0, encodeHardState(compaction.hardState));
    std::uint64_t initialBytes = FileHeader.size() + BaseRecordBytes + head.size();
    for (const RaftEntry &entry : compaction.entries) {
        initialBytes += entryRecordBytes(entry);
    }
    std::string buffer(FileHeader);
    appendRecord(buffer, 0, encodeBase(compaction.baseIndex, compaction.baseTerm, initialBytes));
    buffer += head;
    Result<void> done = this->replaceFile("log", [&](const AppendBytes &append) -> Result<void> {
        for (const RaftEntry &entry : compaction.entries) {
            appendRecord(buffer, 0, encodeEntry(entry));
            if (buffer.size() < WriteBytes) {
                continue;
            }
            Result<void> appended = append(buffer);
            if (!appended) {
                return appended;
            }
            buffer.clear();
        }
        return append(buffer);
    });
    if (!done) {
        return done;
    }
    this->logSize = this->lastFileBytes;
    return this->openLog();
}

Result<void> RaftStorage::replaceFile(const std::string &name, const std::string &bytes)
{
    return this->replaceFile(name, [&bytes](const AppendBytes &append) {
        return append(bytes);
    });
}

Result<void> RaftStorage::replaceFile(
    const std::string &name, const std::function<Result<void>(const AppendBytes &)> &fill)
{
    const std::string path = this->folder + "/" + name;
    const std::string temporaryPath = path + std::string(TemporarySuffix);
    const Result<int> file = this->files.open(temporaryPath, OpenMode::Replace);
    if (!file) {
        return this->failedWrite(file.error());
    }
    std::uint64_t size = 0;
    Result<void> done = fill([&](std::string_view bytes) {
        size += bytes.size();
        return this->files.write(*file, bytes);
    });
    if (done) {
        done = this->files.sync(*file);
    }
    this->files.close(*file);
    if (done) {
        done = this->files.rename(temporaryPath, path);
    }
    if (done) {
        done = this->files.syncFolder(this->folder);
    }
    if (!done) {
        return this->failedWrite(done.error());
    }
    this->lastFileBytes = size;
    return {};
}

} // namespace Chestnuthook
