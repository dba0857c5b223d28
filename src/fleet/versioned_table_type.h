/** @file versioned_table_type.h  A table that knows at which log index each record changed last, so that any holder of
 * an older copy is sent just the changes. Removed records stay as tombstones until they are pruned. */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
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

    VersionedTable() = default;
    VersionedTable(VersionedTable &&) noexcept = default;
    VersionedTable &operator=(VersionedTable &&) noexcept = default;
    ~VersionedTable() = default;
    VersionedTable(const VersionedTable &other)
        : rows(other.rows)
    {
        for (const auto &[key, row] : this->rows) {
            this->changes.emplace(row.index, &key);
        }
    }
    VersionedTable &operator=(const VersionedTable &other)
    {
        return *this = VersionedTable(other);
    }

    /** Sets the record of @p key as of @p index. */
    void put(const Key &key, Record record, std::uint64_t index)
    {
        const auto row = this->rows.try_emplace(key).first;
        this->setIndex(row, index);
        row->second.record = std::move(record);
        row->second.removed = false;
    }

    /** Leaves a tombstone for @p key as of @p index; nothing where it isn't there. */
    void remove(const Key &key, std::uint64_t index)
    {
        const auto row = this->rows.find(key);
        if (row != this->rows.end()) {
            this->setIndex(row, index);
            row->second.removed = true;
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

    /** Calls @p take with the key and row of each change after @p index, tombstones too, the oldest change first. The
     * cost grows with the number of changes and not with the table. */
    template<typename Take>
    void forChangesAfter(std::uint64_t index, Take &&take) const
    {
        for (auto at = this->changes.lower_bound({index + 1, nullptr}); at != this->changes.end(); ++at) {
            take(*at->second, this->rows.find(*at->second)->second);
        }
    }

    /** How many rows changed after @p index. */
    [[nodiscard]] std::size_t countChangesAfter(std::uint64_t index) const
    {
        return static_cast<std::size_t>(
            std::distance(this->changes.lower_bound({index + 1, nullptr}), this->changes.end()));
    }

    /** Drops tombstones older than @p index. */
    void prune(std::uint64_t index)
    {
        std::erase_if(this->rows, [this, index](const auto &row) {
            const bool old = row.second.removed && row.second.index < index;
            if (old) {
                this->changes.erase({row.second.index, &row.first});
            }
            return old;
        });
    }

    [[nodiscard]] std::size_t liveCount() const
    {
        return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), [](const auto &row) {
            return !row.second.removed;
        }));
    }

private:
    void setIndex(typename std::map<Key, Row>::iterator row, std::uint64_t index)
    {
        this->changes.erase({row->second.index, &row->first});
        this->changes.emplace(index, &row->first);
        row->second.index = index;
    }

    std::map<Key, Row> rows; ///< Ordered, so that snapshots of equal states are equal.
    std::set<std::pair<std::uint64_t, const Key *>> changes; ///< The index of each row, with its key inside `rows`.
};

} // namespace Chestnuthook
