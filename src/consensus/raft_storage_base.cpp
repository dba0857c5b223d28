/** @file raft_storage_base.cpp  Files of a member: `identity`, `log` and `snapshot`. */
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

/** First bytes of our files; the number grows when the form of records changes. */
constexpr std::string_view FileHead = "CHESTNUT0001\n";

Result<std::string> readWhole(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::filesystem::exists(path) ? Result<std::string>(fail(ErrorKind::StorageFailed, "can't read " + path))
                                             : Result<std::string>(std::string());
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

/** Whether a whole record of a later batch lies after @p at: then what is at @p at was synced and has been damaged. */
bool laterBatchFollows(std::string_view bytes, std::size_t at)
{
    for (std::size_t i = at + 1; i + RecordHeaderBytes <= bytes.size(); ++i) {
        const auto record = parseRecord(bytes, i);
        if (record && record->batch > at && record->batch <= i) {
            return true;
        }
    }
    return false;
}

void addRecords(std::string &bytes, std::uint64_t batch, const std::vector<RaftEntry> &entries)
{
    for (const RaftEntry &entry : entries) {
        appendRecord(bytes, batch, entryRecord(entry));
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
    const Result<std::string> known = readWhole(dataFolder + "/identity");
    if (!known) {
        return tl::unexpected(known.error());
    }
    this->folderIdentity = *known;
    if (known->empty()) {
        this->folderIdentity = name + "." + randomHex(IdentityBytes);
        return this->replaceFile("identity", this->folderIdentity);
    }
    return {};
}

Result<RaftRestored> RaftStorage::open(const std::string &dataFolder)
{
    this->folder = dataFolder;
    std::error_code error;
    std::filesystem::create_directories(dataFolder, error);
    RaftRestored restored;
    Result<void> done = this->readSnapshot(restored);
    if (done) {
        done = this->readLog(restored);
    }
    if (!done) {
        return tl::unexpected(done.error());
    }
    const std::uint64_t last = restored.baseIndex + restored.entries.size();
    const RaftSnapshot &snapshot = restored.snapshot;
    const bool meets = snapshot.index >= restored.baseIndex && snapshot.index <= last
        && (snapshot.index == restored.baseIndex
            || restored.entries[snapshot.index - restored.baseIndex - 1].term == snapshot.term);
    if (!meets && snapshot.index < restored.baseIndex) {
        return fail(ErrorKind::StorageCorrupt, "the log starts after the snapshot ends");
    }
    if (!meets) { // A snapshot that was received; the shorter log was not written any more.
        restored.baseIndex = snapshot.index;
        restored.baseTerm = snapshot.term;
        restored.entries.clear();
        done = this->compact(RaftCompaction{snapshot, restored.hardState, snapshot.index, snapshot.term, {}});
        if (!done) {
            return tl::unexpected(done.error());
        }
    }
    this->hard = restored.hardState;
    return restored;
}

Result<void> RaftStorage::readSnapshot(RaftRestored &restored)
{
    const Result<std::string> bytes = readWhole(this->folder + "/snapshot");
    if (!bytes || bytes->empty()) {
        return bytes ? Result<void>() : tl::unexpected(bytes.error());
    }
    const auto record = parseRecord(*bytes, FileHead.size());
    const bool known = bytes->compare(0, FileHead.size(), FileHead) == 0;
    if (!known || !record || !takeSnapshot(restored.snapshot, record->payload)) {
        return fail(ErrorKind::StorageCorrupt, this->folder + "/snapshot");
    }
    return {};
}

Result<void> RaftStorage::readLog(RaftRestored &restored)
{
    const std::string path = this->folder + "/log";
    const Result<std::string> bytes = readWhole(path);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    if (!std::filesystem::exists(path)) {
        return this->replaceLog(RaftCompaction{});
    }
    // Each log takes its place whole, with its base as first record.
    const auto base = parseRecord(*bytes, FileHead.size());
    const bool known = bytes->compare(0, FileHead.size(), FileHead) == 0;
    if (!known || !base || base->payload[0] != static_cast<char>(RecordKind::Base)) {
        return fail(ErrorKind::StorageCorrupt, path + " has no head of a known version");
    }
    std::size_t at = FileHead.size();
    for (auto record = parseRecord(*bytes, at); record; record = parseRecord(*bytes, at)) {
        if (!takeRecord(restored, record->payload)) {
            return fail(ErrorKind::StorageCorrupt, path + ": a record doesn't follow, byte " + std::to_string(at));
        }
        at += RecordHeaderBytes + record->payload.size();
    }
    if (at < restored.wholeBytes || (at < bytes->size() && laterBatchFollows(*bytes, at))) {
        return fail(ErrorKind::StorageCorrupt, path + " at byte " + std::to_string(at));
    }
    this->end = at;
    Result<void> opened = this->openLog();
    if (opened && at < bytes->size() && ::ftruncate(this->descriptor, static_cast<off_t>(at)) != 0) {
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
            this->hard = *batch.hardState;
        }
        if (batch.install) {
            bytes.clear(); // The snapshot replaces all that came before it.
            const RaftSnapshot &snapshot = *batch.install;
            Result<void> done = this->compact(RaftCompaction{snapshot, this->hard, snapshot.index, snapshot.term, {}});
            if (!done) {
                return done;
            }
        } else if (batch.hardState) {
            appendRecord(bytes, this->end, hardStateRecord(this->hard));
        }
        addRecords(bytes, this->end, batch.append);
    }
    return bytes.empty() ? Result<void>() : this->writeBytes(bytes);
}

Result<void> RaftStorage::writeBytes(const std::string &bytes)
{
    if (this->failed) {
        return fail(ErrorKind::StorageFailed, "an earlier write failed");
    }
    const ssize_t written = ::write(this->descriptor, bytes.data(), bytes.size());
    if (written != static_cast<ssize_t>(bytes.size()) || ::fdatasync(this->descriptor) != 0) {
        this->failed = true;
        return failErrno("writing the log");
    }
    this->end += bytes.size();
    return {};
}

Result<void> RaftStorage::compact(const RaftCompaction &compaction)
{
    std::string bytes(FileHead);
    appendRecord(bytes, 0, snapshotRecord(compaction.snapshot));
    Result<void> done = this->replaceFile("snapshot", bytes);
    if (!done) {
        return done;
    }
    return this->replaceLog(compaction);
}

Result<void> RaftStorage::replaceLog(const RaftCompaction &compaction)
{
    std::string kept;
    appendRecord(kept, 0, hardStateRecord(compaction.hardState));
    addRecords(kept, 0, compaction.entries);
    std::string bytes(FileHead);
    const std::uint64_t whole = FileHead.size() + BaseRecordBytes + kept.size();
    appendRecord(bytes, 0, baseRecord(compaction.baseIndex, compaction.baseTerm, whole));
    bytes += kept;
    Result<void> done = this->replaceFile("log", bytes);
    if (!done) {
        return done;
    }
    this->end = bytes.size();
    return this->openLog();
}

Result<void> RaftStorage::replaceFile(const std::string &name, const std::string &bytes)
{
    const std::string path = this->folder + "/" + name;
    const std::string temporary = path + ".new";
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, DataFileMode);
    if (file < 0) {
        return failErrno("opening " + temporary);
    }
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t written = ::write(file, bytes.data() + at, bytes.size() - at);
        if (written <= 0) {
            break;
        }
        at += static_cast<std::size_t>(written);
    }
    const bool synced = at == bytes.size() && ::fsync(file) == 0;
    ::close(file);
    if (!synced || ::rename(temporary.c_str(), path.c_str()) != 0) {
        this->failed = true;
        return failErrno("writing " + path);
    }
    return syncFolder(this->folder);
}

} // namespace Chestnuthook
