/** @file record_reader_base.cpp  Moves a window over a log file. */
#include "consensus/record_reader_base.h"

#include <algorithm>
#include <utility>

namespace Chestnuthook
{

RecordReader::RecordReader(FileSystem &files, std::string path, std::uint64_t offset)
    : files(files)
    , path(std::move(path))
    , windowStart(offset)
{
}

Result<void> RecordReader::fill(std::size_t bytes)
{
    const std::size_t held = this->window.size() - this->position;
    if (this->isWholeRead || held >= bytes) {
        return {};
    }
    this->window.erase(0, this->position);
    this->windowStart += std::exchange(this->position, 0);
    const std::size_t wanted = std::max(bytes - held, ReadBytes);
    const Result<std::string> part = this->files.readRange(this->path, this->windowStart + this->window.size(), wanted);
    if (!part) {
        return tl::unexpected(part.error());
    }
    this->isWholeRead = part->size() < wanted;
    this->window += *part;
    return {};
}

Result<std::optional<ParsedRecord>> RecordReader::next()
{
    Result<void> filled = this->fill(RecordHeaderBytes);
    const auto header = parseHeader(this->window, this->position);
    if (filled && header) {
        filled = this->fill(RecordHeaderBytes + header->payloadBytes);
    }
    if (!filled) {
        return tl::unexpected(filled.error());
    }
    const auto record = parseRecord(this->window, this->position);
    if (record) {
        this->position += RecordHeaderBytes + record->payload.size();
    }
    return record;
}

Result<bool> RecordReader::laterBatchFollows() const
{
    const std::uint64_t damaged = this->offset();
    std::uint64_t start = damaged + 1;
    while (true) {
        const Result<std::string> part = this->files.readRange(this->path, start, ReadBytes);
        if (!part) {
            return tl::unexpected(part.error());
        }
        for (std::size_t i = 0; i + RecordHeaderBytes <= part->size(); ++i) {
            const auto header = parseHeader(*part, i);
            if (!header || header->batch <= damaged || header->batch > start + i) {
                continue;
            }
            const Result<std::string> record =
                this->files.readRange(this->path, start + i, RecordHeaderBytes + header->payloadBytes);
            if (!record) {
                return tl::unexpected(record.error());
            }
            if (parseRecord(*record, 0)) {
                return true;
            }
        }
        if (part->size() < ReadBytes) {
            return false;
        }
        start += part->size() - RecordHeaderBytes + 1; // A header may lie across the end of the part.
    }
}

} // namespace Chestnuthook
