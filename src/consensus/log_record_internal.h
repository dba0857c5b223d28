/** @file log_record_internal.h  The form of records in the log and snapshot files. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/raft_type.h"

namespace Chestnuthook
{

constexpr std::size_t RecordHeaderBytes = 20;

/** Where a whole record lies in the bytes of a file. */
struct ParsedRecord
{
    std::uint64_t batch = 0; ///< Offset at which its batch began.
    std::string_view payload; ///< Its bytes.
};

enum class RecordKind : char { Base = 'B', HardState = 'H', Entry = 'E', Snapshot = 'S' };

/** Appends a record to @p bytes. */
void appendRecord(std::string &bytes, std::uint64_t batch, std::string_view payload);

/** The whole and undamaged record at @p at, or nothing. */
[[nodiscard]] std::optional<ParsedRecord> parseRecord(std::string_view bytes, std::size_t at);

/** @p whole is the size of a log that was written and synced before it took the place of an older one. */
[[nodiscard]] std::string baseRecord(std::uint64_t index, std::uint64_t term, std::uint64_t whole);
[[nodiscard]] std::string hardStateRecord(const RaftHardState &hard);
[[nodiscard]] std::string entryRecord(const RaftEntry &entry);
[[nodiscard]] std::string snapshotRecord(const RaftSnapshot &snapshot);

/** Takes a record of a log into @p restored. @return false where it doesn't follow. */
[[nodiscard]] bool takeRecord(RaftRestored &restored, std::string_view payload);
[[nodiscard]] bool takeSnapshot(RaftSnapshot &snapshot, std::string_view payload);

} // namespace Chestnuthook
