/** @file raft_storage_base.cpp  The files `identity`, `log` and `snapshot` of a member. */
#include "consensus/raft_storage_base.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <unistd.h>

#include "consensus/log_record_internal.h"
#include "core/file_func.h"
#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t IdentityBytes = 4;
constexpr std::size_t BaseRecordBytes = RecordHeaderBytes + 25;

/** First bytes of the log and snapshot files; the number is raised when the record format changes. */
constexpr std::string_view FileHeader = "CHESTNUT0001\n";

Result<std::string> readFileOrEmpty(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::filesystem::exists(path) ? Result<std::string>(fail(ErrorKind::StorageFailed, "can't read " + path))
                                             : Result<std::string>(std::string());
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

/** Whether a complete record of a later batch lies after @p offset. If so, the record at @p offset had been synced and
 * was damaged later. */
bool laterBatchFollows(std::string_view bytes, std::size_t offset)
{
    for (std::size_t i = offset + 1; i + RecordHeaderBytes <= bytes.size(); ++i) {
        const auto record = parseRecord(bytes, i);
        if (record && record->batch > offset && record->batch <= i) {
            return true;
        }
    }
    return false;
}

void appendEntryRecords(std::string &bytes, std::uint64_t batch, const std::vector<RaftEntry> &entries)
{
    for (const RaftEntry &entry : entries) {
        appendRecord(bytes, batch, encodeEntry(entry));
    }
}

} // namespace

RaftStorage::~RaftStorage()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

Result<void> RaftStorage::loadOrCreateIdentity(const std::string &dataFolder, const std::string &name)
{
    this->folder = dataFolder;
    std::error_code error;
    std::filesystem::create_directories(dataFolder, error);
    const Result<std::string> stored = readFileOrEmpty(dataFolder + "/identity");
    if (!stored) {
        return tl::unexpected(stored.error());
    }
    this->memberIdentity = *stored;
    if (stored->empty()) {
        this->memberIdentity = name + "." + randomHex(IdentityBytes);
        return this->replaceFile("identity", this->memberIdentity);
    }
    return {};
}

Result<RaftPersistentState> RaftStorage::open(const std::string &dataFolder)
{
    this->folder = dataFolder;
    std::error_code error;
    std::filesystem::create_directories(dataFolder, error);
    RaftPersistentState restored;
    Result<void> done = this->readSnapshot(restored);
    if (done) {
        done = this->readLog(restored);
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
    const Result<std::string> bytes = readFileOrEmpty(this->folder + "/snapshot");
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

Result<void> RaftStorage::readLog(RaftPersistentState &restored)
{
    const std::string path = this->folder + "/log";
    const Result<std::string> bytes = readFileOrEmpty(path);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    if (!std::filesystem::exists(path)) {
        return this->replaceLog(RaftCompaction{});
    }
    // A log file is put in place complete, with the base as its first record.
    const auto base = parseRecord(*bytes, FileHeader.size());
    const bool hasHeader = bytes->compare(0, FileHeader.size(), FileHeader) == 0;
    if (!hasHeader || !base || base->payload[0] != static_cast<char>(RecordKind::Base)) {
        return fail(ErrorKind::StorageCorrupt, path + " has no header of a known version");
    }
    std::size_t offset = FileHeader.size();
    for (auto record = parseRecord(*bytes, offset); record; record = parseRecord(*bytes, offset)) {
        if (!replayRecord(restored, record->payload)) {
            return fail(ErrorKind::StorageCorrupt, path + ": record out of sequence at byte " + std::to_string(offset));
        }
        offset += RecordHeaderBytes + record->payload.size();
    }
    if (offset < restored.initialBytes || (offset < bytes->size() && laterBatchFollows(*bytes, offset))) {
        return fail(ErrorKind::StorageCorrupt, path + " is damaged at byte " + std::to_string(offset));
    }
    this->logSize = offset;
    Result<void> opened = this->openLog();
    if (opened && offset < bytes->size() && ::ftruncate(this->descriptor, static_cast<off_t>(offset)) != 0) {
        return failErrno("cutting the torn end of " + path);
    }
    return opened;
}

Result<void> RaftStorage::openLog()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
    const std::string path = this->folder + "/log";
    this->descriptor = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    return this->descriptor < 0 ? Result<void>(failErrno("opening " + path)) : Result<void>();
}

Result<void> RaftStorage::write(const std::vector<RaftActions> &batches)
{
    std::string bytes;
    for (const RaftActions &batch : batches) {
        if (batch.hardState) {
            this->lastHardState = *batch.hardState;
        }
        if (batch.install) {
            bytes.clear(); // The snapshot replaces everything before it.
            const RaftSnapshot &snapshot = *batch.install;
            Result<void> done =
                this->compact(RaftCompaction{snapshot, this->lastHardState, snapshot.index, snapshot.term, {}});
            if (!done) {
                return done;
            }
        } else if (batch.hardState) {
            appendRecord(bytes, this->logSize, encodeHardState(this->lastHardState));
        }
        appendEntryRecords(bytes, this->logSize, batch.append);
    }
    return bytes.empty() ? Result<void>() : this->writeBytes(bytes);
}

Result<void> RaftStorage::writeBytes(const std::string &bytes)
{
    if (this->writeFailed) {
        return fail(ErrorKind::StorageFailed, "an earlier write failed");
    }
    const ssize_t written = ::write(this->descriptor, bytes.data(), bytes.size());
    if (written != static_cast<ssize_t>(bytes.size()) || ::fdatasync(this->descriptor) != 0) {
        this->writeFailed = true;
        return failErrno("writing the log");
    }
    this->logSize += bytes.size();
    return {};
}

Result<void> RaftStorage::compact(const RaftCompaction &compaction)
{
    std::string bytes(FileHeader);
    appendRecord(bytes, 0, encodeSnapshot(compaction.snapshot));
    Result<void> done = this->replaceFile("snapshot", bytes);
    if (!done) {
        return done;
    }
    return this->replaceLog(compaction);
}

Result<void> RaftStorage::replaceLog(const RaftCompaction &compaction)
{
    std::string records;
    appendRecord(records, 0, encodeHardState(compaction.hardState));
    appendEntryRecords(records, 0, compaction.entries);
    std::string bytes(FileHeader);
    const std::uint64_t initialBytes = FileHeader.size() + BaseRecordBytes + records.size();
    appendRecord(bytes, 0, encodeBase(compaction.baseIndex, compaction.baseTerm, initialBytes));
    bytes += records;
    Result<void> done = this->replaceFile("log", bytes);
    if (!done) {
        return done;
    }
    this->logSize = bytes.size();
    return this->openLog();
}

Result<void> RaftStorage::replaceFile(const std::string &name, const std::string &bytes)
{
    const std::string path = this->folder + "/" + name;
    const std::string temporaryPath = path + ".new";
    const int file = ::open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, DataFileMode);
    if (file < 0) {
        return failErrno("opening " + temporaryPath);
    }
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const ssize_t written = ::write(file, bytes.data() + offset, bytes.size() - offset);
        if (written <= 0) {
            break;
        }
        offset += static_cast<std::size_t>(written);
    }
    const bool synced = offset == bytes.size() && ::fsync(file) == 0;
    ::close(file);
    if (!synced || ::rename(temporaryPath.c_str(), path.c_str()) != 0) {
        this->writeFailed = true;
        return failErrno("writing " + path);
    }
    return syncFolder(this->folder);
}

} // namespace Chestnuthook
