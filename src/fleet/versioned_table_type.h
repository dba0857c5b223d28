/** @file versioned_table_type.h  A table that stores the log index of the last change of each record, so that holders
 * of an older copy are sent only the changes. Removed records stay as tombstones until they are pruned. */
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
        Record record; ///< Current record, or the last one before its removal.
        std::uint64_t index = 0; ///< Log index of the last change.
        bool removed = false; ///< The row is a tombstone.
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

    /** Sets the record of @p key at log index @p index. */
    void put(const Key &key, Record record, std::uint64_t index)
    {
        const auto row = this->rows.try_emplace(key).first;
        this->updateIndex(row, index);
        row->second.record = std::move(record);
        row->second.removed = false;
    }

    /** Replaces the record of @p key with a tombstone at log index @p index. Does nothing if there is no row. */
    void remove(const Key &key, std::uint64_t index)
    {
        const auto row = this->rows.find(key);
        if (row != this->rows.end()) {
            this->updateIndex(row, index);
            row->second.removed = true;
        }
    }

    /** Returns the live record of @p key, or null. */
    [[nodiscard]] const Record *find(const Key &key) const
    {
        const auto row = this->rows.find(key);
        return row == this->rows.end() || row->second.removed ? nullptr : &row->second.record;
    }

    /** Returns all rows, including tombstones, in key order. */
    [[nodiscard]] const std::map<Key, Row> &all() const
    {
        return this->rows;
    }

    /** Calls @p visitor with the key and row of each row changed after @p index, including tombstones, in order of
     * change. The cost depends on the number of changes, not on the size of the table. */
    template<typename Visitor>
    void forChangesAfter(std::uint64_t index, Visitor &&visitor) const
    {
        for (auto change = this->changes.lower_bound({index + 1, nullptr}); change != this->changes.end(); ++change) {
            visitor(*change->second, this->rows.find(*change->second)->second);
        }
    }

    /** Returns the number of rows changed after @p index, including tombstones. */
    [[nodiscard]] std::size_t countChangesAfter(std::uint64_t index) const
    {
        return static_cast<std::size_t>(
            std::distance(this->changes.lower_bound({index + 1, nullptr}), this->changes.end()));
    }

    /** Removes the tombstones older than @p index. */
    void prune(std::uint64_t index)
    {
        std::erase_if(this->rows, [this, index](const auto &row) {
            const bool expired = row.second.removed && row.second.index < index;
            if (expired) {
                this->changes.erase({row.second.index, &row.first});
            }
            return expired;
        });
    }

    [[nodiscard]] std::size_t liveCount() const
    {
        return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), [](const auto &row) {
            return !row.second.removed;
        }));
    }

private:
    void updateIndex(typename std::map<Key, Row>::iterator row, std::uint64_t index)
    {
        this->changes.erase({row->second.index, &row->first});
        this->changes.emplace(index, &row->first);
        row->second.index = index;
    }

    std::map<Key, Row> rows; ///< Sorted by key, so that equal states have equal snapshots.
    std::set<std::pair<std::uint64_t, const Key *>> changes; ///< Index of each row and a pointer to its key in `rows`.
};

} // namespace Chestnuthook
