/** @file raft_log_base.h  The entries of a member's log in memory, with their sizes. No I/O. */
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "consensus/raft_type.h"

namespace Chestnuthook
{

/** Entries without gaps from `firstIndex` to `lastIndex`; those before are dropped. */
class RaftLog
{
public:
    RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, std::vector<RaftEntry> entries);

    [[nodiscard]] std::uint64_t baseIndex() const
    {
        return this->base;
    }
    [[nodiscard]] std::uint64_t baseTerm() const
    {
        return this->termOfBase;
    }
    [[nodiscard]] std::uint64_t firstIndex() const
    {
        return this->base + 1;
    }
    [[nodiscard]] std::uint64_t lastIndex() const
    {
        return this->base + this->slots.size();
    }
    /** Term of the entry at @p index; 0 if it is not in the log and not the last one dropped. */
    [[nodiscard]] std::uint64_t termAt(std::uint64_t index) const;
    [[nodiscard]] const RaftEntry &at(std::uint64_t index) const
    {
        return this->slots.at(index - this->base - 1).entry;
    }
    /** Size of the entries after @p after up to @p last; both are limited to the entries in the log. */
    [[nodiscard]] std::uint64_t bytesBetween(std::uint64_t after, std::uint64_t last) const;
    /** The first of the latest entries up to @p last that are at most @p maxEntries and take at most @p maxBytes; @p
     * last + 1 if there is none. */
    [[nodiscard]] std::uint64_t firstWithin(std::uint64_t last, std::uint64_t maxEntries, std::uint64_t maxBytes) const;

    void append(RaftEntry entry);
    /** Removes the entries from @p index on. */
    void truncateFrom(std::uint64_t index);
    /** Drops the entries up to @p index. */
    void dropTo(std::uint64_t index);
    /** Drops all entries; the next one follows @p index, whose entry had @p term. */
    void reset(std::uint64_t index, std::uint64_t term);

private:
    struct Slot
    {
        RaftEntry entry; ///< The entry.
        std::uint64_t end = 0; ///< Size of all entries up to this one since the log was created.
    };

    /** Size of all entries up to @p index since the log was created. */
    [[nodiscard]] std::uint64_t endOf(std::uint64_t index) const;

    std::uint64_t base = 0; ///< Entries up to this index are dropped.
    std::uint64_t termOfBase = 0; ///< Term of the entry at `base`.
    std::uint64_t endOfBase = 0; ///< See Slot::end.
    std::deque<Slot> slots; ///< Entries from `base` + 1 on.
};

} // namespace Chestnuthook
