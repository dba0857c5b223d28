/** @file log_record_internal.h  Format of records in the log and snapshot files. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/raft_type.h"

namespace Chestnuthook
{

constexpr std::size_t RecordHeaderBytes = 20;

/** The header of a record. */
struct RecordHeader
{
    std::uint32_t payloadBytes = 0; ///< Size of the content that follows.
    std::uint64_t batch = 0; ///< File offset at which its batch began.
};

/** A complete record within the bytes of a file. */
struct ParsedRecord
{
    std::uint64_t batch = 0; ///< File offset at which its batch began.
    std::string_view payload; ///< Content without the record header.
};

enum class RecordKind : char { Base = 'B', HardState = 'H', Entry = 'E', Snapshot = 'S' };

/** Appends a record with header and checksums to @p bytes. */
void appendRecord(std::string &bytes, std::uint64_t batch, std::string_view payload);

/** Returns the header at @p offset, or nothing if it is incomplete or its checksum differs. */
[[nodiscard]] std::optional<RecordHeader> parseHeader(std::string_view bytes, std::size_t offset);

/** Returns the record at @p offset, or nothing if it is incomplete or a checksum differs. */
[[nodiscard]] std::optional<ParsedRecord> parseRecord(std::string_view bytes, std::size_t offset);

/** @p initialBytes is the size of a new log file, which is written and synced before it replaces the old one. */
[[nodiscard]] std::string encodeBase(std::uint64_t index, std::uint64_t term, std::uint64_t initialBytes);
[[nodiscard]] std::string encodeHardState(const RaftHardState &hardState);
[[nodiscard]] std::string encodeEntry(const RaftEntry &entry);
/** Size of the record of @p entry with its header. */
[[nodiscard]] std::uint64_t entryRecordBytes(const RaftEntry &entry);
[[nodiscard]] std::string encodeSnapshot(const RaftSnapshot &snapshot);

/** Applies a record of a log to @p restored. @return false if it is malformed or out of sequence. */
[[nodiscard]] bool replayRecord(RaftPersistentState &restored, std::string_view payload);
[[nodiscard]] bool decodeSnapshot(RaftSnapshot &snapshot, std::string_view payload);

} // namespace Chestnuthook
