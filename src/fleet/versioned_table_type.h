/** @file versioned_table_type.h  A table that knows at which log index each record changed last, so that any holder of
 * an older copy is sent just the changes. Removed records stay as tombstones until they are pruned. */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace Chestnuthook
{

template<typename Key, typename Record>
class VersionedTable
{
public:
    struct Row
    {
        Record record; ///< The record; the last one where it was removed.
        std::uint64_t index = 0; ///< Log index of the last change.
        bool removed = false; ///< A tombstone.
    };

    /** Sets the record of @p key as of @p index. */
    void put(const Key &key, Record record, std::uint64_t index)
    {
        this->rows[key] = Row{std::move(record), index, false};
    }

    /** Leaves a tombstone for @p key as of @p index; nothing where it isn't there. */
    void remove(const Key &key, std::uint64_t index)
    {
        const auto row = this->rows.find(key);
        if (row != this->rows.end()) {
            row->second.removed = true;
            row->second.index = index;
        }
    }

    /** The live record of @p key, or null. */
    [[nodiscard]] const Record *find(const Key &key) const
    {
        const auto row = this->rows.find(key);
        return row == this->rows.end() || row->second.removed ? nullptr : &row->second.record;
    }

    /** All rows with tombstones, in the order of their keys. */
    [[nodiscard]] const std::map<Key, Row> &all() const
    {
        return this->rows;
    }

    /** Drops tombstones older than @p index. */
    void prune(std::uint64_t index)
    {
        std::erase_if(this->rows, [index](const auto &row) {
            return row.second.removed && row.second.index < index;
        });
    }

    [[nodiscard]] std::size_t liveCount() const
    {
        return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), [](const auto &row) {
            return !row.second.removed;
        }));
    }

private:
    std::map<Key, Row> rows; ///< Ordered, so that snapshots of equal states are equal.
};

} // namespace Chestnuthook
