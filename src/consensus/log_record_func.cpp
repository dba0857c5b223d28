/** @file log_record_func.cpp  Records as bytes; numbers are little-endian. */
#include <cstring>

#include "consensus/log_record_internal.h"
#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t CheckedHeaderBytes = 16;
constexpr std::size_t ChecksumAt = 4;
constexpr std::size_t BatchAt = 8;

template<typename Number>
void addNumber(std::string &bytes, Number number)
{
    bytes.append(reinterpret_cast<const char *>(&number), sizeof number);
}

template<typename Number>
Number numberAt(std::string_view bytes, std::size_t at)
{
    Number number = 0;
    std::memcpy(&number, bytes.data() + at, sizeof number);
    return number;
}

/** Reads the fields of a payload one after the other. */
class PayloadReader
{
public:
    explicit PayloadReader(std::string_view bytes)
        : bytes(bytes)
    {
    }
    std::uint64_t number()
    {
        if (this->at + sizeof(std::uint64_t) > this->bytes.size()) {
            this->whole = false;
            return 0;
        }
        const auto value = numberAt<std::uint64_t>(this->bytes, this->at);
        this->at += sizeof value;
        return value;
    }
    std::string text()
    {
        const std::uint64_t length = this->number();
        if (!this->whole || length > this->bytes.size() - this->at) {
            this->whole = false;
            return {};
        }
        std::string value(this->bytes.substr(this->at, length));
        this->at += length;
        return value;
    }

    std::string_view bytes; ///< The payload.
    std::size_t at = 1; ///< After the kind.
    bool whole = true; ///< No field was missing.
};

std::string payloadOf(RecordKind kind)
{
    return {static_cast<char>(kind)};
}

void addText(std::string &bytes, std::string_view text)
{
    addNumber<std::uint64_t>(bytes, text.size());
    bytes.append(text);
}

} // namespace

void appendRecord(std::string &bytes, std::uint64_t batch, std::string_view payload)
{
    std::string header;
    addNumber(header, static_cast<std::uint32_t>(payload.size()));
    addNumber(header, checksum32(payload));
    addNumber(header, batch);
    addNumber(header, checksum32(header));
    bytes += header;
    bytes.append(payload);
}

std::optional<ParsedRecord> parseRecord(std::string_view bytes, std::size_t at)
{
    if (at + RecordHeaderBytes > bytes.size()) {
        return std::nullopt;
    }
    const std::string_view header = bytes.substr(at, RecordHeaderBytes);
    if (checksum32(header.substr(0, CheckedHeaderBytes)) != numberAt<std::uint32_t>(header, CheckedHeaderBytes)) {
        return std::nullopt;
    }
    const auto length = numberAt<std::uint32_t>(header, 0);
    if (length > bytes.size() - at - RecordHeaderBytes) {
        return std::nullopt;
    }
    const std::string_view payload = bytes.substr(at + RecordHeaderBytes, length);
    if (length == 0 || checksum32(payload) != numberAt<std::uint32_t>(header, ChecksumAt)) {
        return std::nullopt;
    }
    return ParsedRecord{numberAt<std::uint64_t>(header, BatchAt), payload};
}

std::string baseRecord(std::uint64_t index, std::uint64_t term, std::uint64_t whole)
{
    std::string payload = payloadOf(RecordKind::Base);
    addNumber(payload, index);
    addNumber(payload, term);
    addNumber(payload, whole);
    return payload;
}

std::string hardStateRecord(const RaftHardState &hard)
{
    std::string payload = payloadOf(RecordKind::HardState);
    addNumber(payload, hard.term);
    addText(payload, hard.vote);
    return payload;
}

std::string entryRecord(const RaftEntry &entry)
{
    std::string payload = payloadOf(RecordKind::Entry);
    addNumber(payload, entry.index);
    addNumber(payload, entry.term);
    addNumber(payload, static_cast<std::uint64_t>(entry.kind));
    addText(payload, entry.data);
    return payload;
}

std::string snapshotRecord(const RaftSnapshot &snapshot)
{
    std::string payload = payloadOf(RecordKind::Snapshot);
    addNumber(payload, snapshot.index);
    addNumber(payload, snapshot.term);
    addText(payload, encodeMembership(snapshot.membership));
    addText(payload, snapshot.data);
    return payload;
}

bool takeSnapshot(RaftSnapshot &snapshot, std::string_view payload)
{
    PayloadReader reader(payload);
    snapshot.index = reader.number();
    snapshot.term = reader.number();
    snapshot.membership = decodeMembership(reader.text());
    snapshot.data = reader.text();
    return reader.whole && payload[0] == static_cast<char>(RecordKind::Snapshot);
}

bool takeRecord(RaftRestored &restored, std::string_view payload)
{
    PayloadReader reader(payload);
    if (payload[0] == static_cast<char>(RecordKind::Base)) {
        restored.baseIndex = reader.number();
        restored.baseTerm = reader.number();
        restored.wholeBytes = reader.number();
        restored.entries.clear();
        return reader.whole;
    }
    if (payload[0] == static_cast<char>(RecordKind::HardState)) {
        restored.hardState.term = reader.number();
        restored.hardState.vote = reader.text();
        return reader.whole;
    }
    RaftEntry entry;
    entry.index = reader.number();
    entry.term = reader.number();
    entry.kind = static_cast<RaftEntryKind>(reader.number());
    entry.data = reader.text();
    const std::uint64_t last = restored.baseIndex + restored.entries.size();
    const bool follows = entry.index > restored.baseIndex && entry.index <= last + 1;
    if (payload[0] != static_cast<char>(RecordKind::Entry) || !reader.whole || !follows) {
        return false;
    }
    restored.entries.resize(entry.index - restored.baseIndex - 1);
    restored.entries.push_back(std::move(entry));
    return true;
}

} // namespace Chestnuthook
