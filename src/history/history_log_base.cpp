/** @file history_log_base.cpp  Reads and writes the segment files `history-<number>`. */
#include "history/history_log_base.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include "consensus/log_record_internal.h"
#include "core/file_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::string_view NamePrefix = "history-";

} // namespace

HistoryLog::~HistoryLog()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

std::string HistoryLog::pathOf(std::uint64_t number) const
{
    return this->folder + "/" + std::string(NamePrefix) + std::to_string(number);
}

Result<void> HistoryLog::open(
    const std::string &dataFolder, const std::function<std::uint64_t(std::string_view)> &onRecord)
{
    this->folder = dataFolder;
    std::error_code error;
    std::filesystem::create_directories(dataFolder, error);
    std::vector<std::uint64_t> numbers;
    for (const auto &entry : std::filesystem::directory_iterator(dataFolder, error)) {
        const std::string name = entry.path().filename();
        if (name.starts_with(NamePrefix)) {
            numbers.push_back(std::strtoull(name.c_str() + NamePrefix.size(), nullptr, 10));
        }
    }
    if (error) {
        return fail(ErrorKind::StorageFailed, "listing " + dataFolder + ": " + error.message());
    }
    std::sort(numbers.begin(), numbers.end());
    for (const std::uint64_t number : numbers) {
        Segment segment{number, 0};
        Result<void> done = this->readSegment(segment, number == numbers.back(), onRecord);
        if (!done) {
            return done;
        }
        this->segments.push_back(segment);
    }
    return this->startSegment();
}

Result<void> HistoryLog::readSegment(
    Segment &segment, bool isLast, const std::function<std::uint64_t(std::string_view)> &onRecord)
{
    const std::string path = this->pathOf(segment.number);
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return fail(ErrorKind::StorageFailed, "can't read " + path);
    }
    const std::string bytes(std::istreambuf_iterator<char>(stream), {});
    std::size_t offset = 0;
    for (auto record = parseRecord(bytes, offset); record; record = parseRecord(bytes, offset)) {
        segment.lastExpiryMs = std::max(segment.lastExpiryMs, onRecord(record->payload));
        offset += RecordHeaderBytes + record->payload.size();
    }
    if (offset == bytes.size()) {
        return {};
    }
    if (!isLast) { // A segment is synced completely before the next one is created, so only the last can be torn.
        return fail(ErrorKind::StorageCorrupt, path + " is corrupt at byte " + std::to_string(offset));
    }
    const int file = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
    const bool cut = file >= 0 && ::ftruncate(file, static_cast<off_t>(offset)) == 0 && ::fsync(file) == 0;
    if (file >= 0) {
        ::close(file);
    }
    return cut ? Result<void>() : Result<void>(failErrno("truncating the torn end of " + path));
}

Result<void> HistoryLog::startSegment()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
    const std::uint64_t number = this->segments.empty() ? 1 : this->segments.back().number + 1;
    const std::string path = this->pathOf(number);
    this->descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, DataFileMode);
    if (this->descriptor < 0) {
        return failErrno("opening " + path);
    }
    this->segments.push_back(Segment{number, 0});
    this->size = 0;
    return syncFolder(this->folder);
}

void HistoryLog::append(std::string_view record, std::uint64_t expiresMs)
{
    appendRecord(this->unsynced, this->size, record);
    this->segments.back().lastExpiryMs = std::max(this->segments.back().lastExpiryMs, expiresMs);
}

Result<void> HistoryLog::sync()
{
    if (this->failed) {
        return fail(ErrorKind::StorageFailed, "an earlier write to the history log failed");
    }
    std::size_t offset = 0;
    while (offset < this->unsynced.size()) {
        const ssize_t written =
            ::write(this->descriptor, this->unsynced.data() + offset, this->unsynced.size() - offset);
        if (written <= 0) {
            break;
        }
        offset += static_cast<std::size_t>(written);
    }
    if (offset != this->unsynced.size() || ::fdatasync(this->descriptor) != 0) {
        this->failed = true;
        return failErrno("writing the history log");
    }
    this->size += this->unsynced.size();
    this->unsynced.clear();
    return this->size < SegmentBytes ? Result<void>() : this->startSegment();
}

Result<void> HistoryLog::removeExpired(std::uint64_t nowMs)
{
    bool removed = false;
    while (this->segments.size() > 1 && this->segments.front().lastExpiryMs < nowMs) {
        if (::unlink(this->pathOf(this->segments.front().number).c_str()) != 0) {
            return failErrno("deleting an expired history segment");
        }
        this->segments.pop_front();
        removed = true;
    }
    return removed ? syncFolder(this->folder) : Result<void>();
}

} // namespace Chestnuthook
