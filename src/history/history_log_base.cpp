/** @file history_log_base.cpp  Reads and writes the segment files `history-<number>`. */
#include "history/history_log_base.h"

#include <algorithm>
#include <vector>

#include "consensus/log_record_internal.h"
#include "consensus/record_reader_base.h"

namespace Chestnuthook
{

namespace
{

constexpr std::string_view NamePrefix = "history-";

} // namespace

HistoryLog::HistoryLog(FileSystem &files, std::uint64_t segmentBytes)
    : files(files)
    , segmentBytes(segmentBytes)
{
}

HistoryLog::~HistoryLog()
{
    if (this->descriptor >= 0) {
        this->files.close(this->descriptor);
    }
}

std::string HistoryLog::pathOf(std::uint64_t number) const
{
    return this->folder + "/" + std::string(NamePrefix) + std::to_string(number);
}

Result<void> HistoryLog::open(
    const std::string &dataFolder, const std::function<std::uint64_t(std::string_view)> &onRecord)
{
    return this->open(dataFolder, [&onRecord](std::string_view record, const RecordLocation & /*location*/) {
        return onRecord(record);
    });
}

Result<void> HistoryLog::open(const std::string &dataFolder, const RecordVisitor &onRecord)
{
    this->folder = dataFolder;
    Result<void> created = createFolder(this->files, dataFolder);
    if (!created) {
        return created;
    }
    const auto names = this->files.list(dataFolder);
    if (!names) {
        return tl::unexpected(names.error());
    }
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : *names) {
        if (name.starts_with(NamePrefix)) {
            numbers.push_back(std::strtoull(name.c_str() + NamePrefix.size(), nullptr, 10));
        }
    }
    std::sort(numbers.begin(), numbers.end());
    for (const std::uint64_t number : numbers) {
        Segment segment;
        segment.number = number;
        Result<void> done = this->readSegment(segment, number == numbers.back(), onRecord);
        if (!done) {
            return done;
        }
        this->segments.push_back(segment);
    }
    return this->startSegment();
}

Result<void> HistoryLog::forEachRecord(const RecordVisitor &onRecord)
{
    for (const Segment &known : this->segments) {
        Segment segment;
        segment.number = known.number;
        const Result<bool> isWhole = this->readRecords(segment, onRecord);
        if (!isWhole) {
            return tl::unexpected(isWhole.error());
        }
    }
    return {};
}

Result<bool> HistoryLog::readRecords(Segment &segment, const RecordVisitor &onRecord)
{
    RecordReader reader(this->files, this->pathOf(segment.number), 0);
    while (true) {
        const auto record = reader.next();
        if (!record) {
            return tl::unexpected(record.error());
        }
        if (!*record) {
            return reader.isAtEnd();
        }
        const auto size = static_cast<std::uint32_t>(reader.offset() - segment.bytes);
        const RecordLocation location{segment.number, segment.bytes, size};
        segment.lastExpiryMs = std::max(segment.lastExpiryMs, onRecord((*record)->payload, location));
        segment.bytes = reader.offset();
    }
}

Result<void> HistoryLog::readSegment(Segment &segment, bool isLast, const RecordVisitor &onRecord)
{
    const std::string path = this->pathOf(segment.number);
    const Result<bool> isWhole = this->readRecords(segment, onRecord);
    if (!isWhole) {
        return tl::unexpected(isWhole.error());
    }
    if (!isLast) { // A segment is synced completely before the next one is created, so only the last can be torn.
        return *isWhole ? Result<void>()
                        : Result<void>(fail(
                            ErrorKind::StorageCorrupt, path + " is corrupt at byte " + std::to_string(segment.bytes)));
    }
    const Result<int> file = this->files.open(path, OpenMode::Append);
    if (!file) {
        return tl::unexpected(file.error());
    }
    Result<void> done = *isWhole ? Result<void>() : this->files.truncate(*file, segment.bytes);
    if (done) { // The process that wrote the records may have ended before it synced them.
        done = this->files.sync(*file);
    }
    this->files.close(*file);
    return done;
}

Result<void> HistoryLog::startSegment()
{
    if (this->descriptor >= 0) {
        this->files.close(this->descriptor);
    }
    const std::uint64_t number = this->segments.empty() ? 1 : this->segments.back().number + 1;
    const Result<int> file = this->files.open(this->pathOf(number), OpenMode::Append);
    this->descriptor = file.value_or(-1);
    if (!file) {
        return tl::unexpected(file.error());
    }
    this->segments.push_back(Segment{});
    this->segments.back().number = number;
    this->size = 0;
    return this->files.syncFolder(this->folder);
}

RecordLocation HistoryLog::append(std::string_view record, std::uint64_t expiresMs)
{
    Segment &segment = this->segments.back();
    const std::size_t start = this->unsynced.size();
    appendRecord(this->unsynced, this->size, record);
    segment.lastExpiryMs = std::max(segment.lastExpiryMs, expiresMs);
    return {segment.number, this->size + start, static_cast<std::uint32_t>(this->unsynced.size() - start)};
}

Result<std::string> HistoryLog::read(const RecordLocation &location) const
{
    const std::string path = this->pathOf(location.segment);
    const Result<std::string> bytes = this->files.readRange(path, location.offset, location.bytes);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    const auto record = parseRecord(*bytes, 0);
    if (!record) {
        return fail(ErrorKind::StorageCorrupt, path + " is corrupt at byte " + std::to_string(location.offset));
    }
    return std::string(record->payload);
}

std::uint64_t HistoryLog::bytes() const
{
    std::uint64_t total = 0;
    for (const Segment &segment : this->segments) {
        total += segment.bytes;
    }
    return total;
}

Result<void> HistoryLog::sync()
{
    if (this->failed) {
        return fail(ErrorKind::StorageFailed, "an earlier write to the history log failed");
    }
    Result<void> done = this->files.write(this->descriptor, this->unsynced);
    if (done) {
        done = this->files.sync(this->descriptor);
    }
    if (!done) {
        this->failed = true;
        return done;
    }
    this->size += this->unsynced.size();
    this->segments.back().bytes = this->size;
    this->unsynced.clear();
    return this->size < this->segmentBytes ? Result<void>() : this->startSegment();
}

Result<void> HistoryLog::removeExpired(std::uint64_t nowMs)
{
    bool removed = false;
    while (this->segments.size() > 1 && this->segments.front().lastExpiryMs < nowMs) {
        Result<void> done = this->files.remove(this->pathOf(this->segments.front().number));
        if (!done) {
            return done;
        }
        this->segments.pop_front();
        removed = true;
    }
    return removed ? this->files.syncFolder(this->folder) : Result<void>();
}

} // namespace Chestnuthook
