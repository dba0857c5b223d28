/** @file log_record_func.cpp  Encodes and decodes records; numbers are little-endian. */
#include <cstring>

#include "consensus/log_record_internal.h"
#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::size_t CheckedHeaderBytes = 16;
constexpr std::size_t ChecksumOffset = 4;
constexpr std::size_t BatchOffset = 8;

template<typename Number>
void appendNumber(std::string &bytes, Number number)
{
    bytes.append(reinterpret_cast<const char *>(&number), sizeof number);
}

template<typename Number>
Number readNumberAt(std::string_view bytes, std::size_t offset)
{
    Number number = 0;
    std::memcpy(&number, bytes.data() + offset, sizeof number);
    return number;
}

/** Reads the fields of a payload in sequence. */
class PayloadReader
{
public:
    explicit PayloadReader(std::string_view bytes)
        : bytes(bytes)
    {
    }
    std::uint64_t readNumber()
    {
        if (this->offset + sizeof(std::uint64_t) > this->bytes.size()) {
            this->complete = false;
            return 0;
        }
        const auto value = readNumberAt<std::uint64_t>(this->bytes, this->offset);
        this->offset += sizeof value;
        return value;
    }
    std::string readText()
    {
        const std::uint64_t length = this->readNumber();
        if (!this->complete || length > this->bytes.size() - this->offset) {
            this->complete = false;
            return {};
        }
        std::string value(this->bytes.substr(this->offset, length));
        this->offset += length;
        return value;
    }

    std::string_view bytes; ///< The payload.
    std::size_t offset = 1; ///< Offset of the next field; starts after the kind.
    bool complete = true; ///< False once a field was missing or cut.
};

std::string beginPayload(RecordKind kind)
{
    return {static_cast<char>(kind)};
}

void appendText(std::string &bytes, std::string_view text)
{
    appendNumber<std::uint64_t>(bytes, text.size());
    bytes.append(text);
}

} // namespace

void appendRecord(std::string &bytes, std::uint64_t batch, std::string_view payload)
{
    std::string header;
    appendNumber(header, static_cast<std::uint32_t>(payload.size()));
    appendNumber(header, checksum32(payload));
    appendNumber(header, batch);
    appendNumber(header, checksum32(header));
    bytes += header;
    bytes.append(payload);
}

std::optional<RecordHeader> parseHeader(std::string_view bytes, std::size_t offset)
{
    if (offset + RecordHeaderBytes > bytes.size()) {
        return std::nullopt;
    }
    const std::string_view header = bytes.substr(offset, RecordHeaderBytes);
    if (checksum32(header.substr(0, CheckedHeaderBytes)) != readNumberAt<std::uint32_t>(header, CheckedHeaderBytes)) {
        return std::nullopt;
    }
    return RecordHeader{readNumberAt<std::uint32_t>(header, 0), readNumberAt<std::uint64_t>(header, BatchOffset)};
}

std::optional<ParsedRecord> parseRecord(std::string_view bytes, std::size_t offset)
{
    const auto header = parseHeader(bytes, offset);
    if (!header || header->payloadBytes == 0 || header->payloadBytes > bytes.size() - offset - RecordHeaderBytes) {
        return std::nullopt;
    }
    const std::string_view payload = bytes.substr(offset + RecordHeaderBytes, header->payloadBytes);
    if (checksum32(payload) != readNumberAt<std::uint32_t>(bytes, offset + ChecksumOffset)) {
        return std::nullopt;
    }
    return ParsedRecord{header->batch, payload};
}

std::string encodeBase(std::uint64_t index, std::uint64_t term, std::uint64_t initialBytes)
{
    std::string payload = beginPayload(RecordKind::Base);
    appendNumber(payload, index);
    appendNumber(payload, term);
    appendNumber(payload, initialBytes);
    return payload;
}

std::string encodeHardState(const RaftHardState &hardState)
{
    std::string payload = beginPayload(RecordKind::HardState);
    appendNumber(payload, hardState.term);
    appendText(payload, hardState.vote);
    return payload;
}

std::uint64_t entryRecordBytes(const RaftEntry &entry)
{
    constexpr std::uint64_t Numbers = 4; // Index, term, kind and the length of the data.
    return RecordHeaderBytes + sizeof(RecordKind) + Numbers * sizeof(std::uint64_t) + entry.data.size();
}

std::string encodeEntry(const RaftEntry &entry)
{
    std::string payload = beginPayload(RecordKind::Entry);
    payload.reserve(entryRecordBytes(entry));
    appendNumber(payload, entry.index);
    appendNumber(payload, entry.term);
    appendNumber(payload, static_cast<std::uint64_t>(entry.kind));
    appendText(payload, entry.data);
    return payload;
}

std::string encodeSnapshot(const RaftSnapshot &snapshot)
{
    std::string payload = beginPayload(RecordKind::Snapshot);
    appendNumber(payload, snapshot.index);
    appendNumber(payload, snapshot.term);
    appendText(payload, encodeMembership(snapshot.membership));
    appendText(payload, snapshot.data);
    return payload;
}

bool decodeSnapshot(RaftSnapshot &snapshot, std::string_view payload)
{
    PayloadReader reader(payload);
    snapshot.index = reader.readNumber();
    snapshot.term = reader.readNumber();
    snapshot.membership = decodeMembership(reader.readText());
    snapshot.data = reader.readText();
    return reader.complete && payload[0] == static_cast<char>(RecordKind::Snapshot);
}

bool replayRecord(RaftPersistentState &restored, std::string_view payload)
{
    PayloadReader reader(payload);
    if (payload[0] == static_cast<char>(RecordKind::Base)) {
        restored.baseIndex = reader.readNumber();
        restored.baseTerm = reader.readNumber();
        restored.initialBytes = reader.readNumber();
        restored.entries.clear();
        return reader.complete;
    }
    if (payload[0] == static_cast<char>(RecordKind::HardState)) {
        restored.hardState.term = reader.readNumber();
        restored.hardState.vote = reader.readText();
        return reader.complete;
    }
    RaftEntry entry;
    entry.index = reader.readNumber();
    entry.term = reader.readNumber();
    entry.kind = static_cast<RaftEntryKind>(reader.readNumber());
    entry.data = reader.readText();
    const std::uint64_t last = restored.baseIndex + restored.entries.size();
    const bool inSequence = entry.index > restored.baseIndex && entry.index <= last + 1;
    if (payload[0] != static_cast<char>(RecordKind::Entry) || !reader.complete || !inSequence) {
        return false;
    }
    restored.entries.resize(entry.index - restored.baseIndex - 1);
    restored.entries.push_back(std::move(entry));
    return true;
}

} // namespace Chestnuthook
