/** @file raft_log_base.cpp  Entries of a log by index. */
#include "consensus/raft_log_base.h"

#include <algorithm>
#include <utility>

namespace Chestnuthook
{

RaftLog::RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, std::vector<RaftEntry> entries)
    : base(baseIndex)
    , termOfBase(baseTerm)
{
    for (RaftEntry &entry : entries) {
        this->append(std::move(entry));
    }
}

std::uint64_t RaftLog::termAt(std::uint64_t index) const
{
    if (index == this->base) {
        return this->termOfBase;
    }
    return index > this->base && index <= this->lastIndex() ? this->at(index).term : 0;
}

std::uint64_t RaftLog::endOf(std::uint64_t index) const
{
    return index <= this->base ? this->endOfBase : this->slots[std::min(index, this->lastIndex()) - this->base - 1].end;
}

std::uint64_t RaftLog::bytesBetween(std::uint64_t after, std::uint64_t last) const
{
    if (this->slots.empty() || last <= after) {
        return 0;
    }
    return this->endOf(last) - this->endOf(after);
}

std::uint64_t RaftLog::firstWithin(std::uint64_t last, std::uint64_t maxEntries, std::uint64_t maxBytes) const
{
    std::uint64_t first = std::min(last, this->lastIndex()) + 1;
    while (first > this->firstIndex() && last - first + 2 <= maxEntries
        && this->bytesBetween(first - 2, last) <= maxBytes) {
        --first;
    }
    return first;
}

void RaftLog::append(RaftEntry entry)
{
    const std::uint64_t end = (this->slots.empty() ? this->endOfBase : this->slots.back().end) + entry.bytes();
    this->slots.push_back({std::move(entry), end});
}

void RaftLog::truncateFrom(std::uint64_t index)
{
    this->slots.resize(index - this->base - 1);
}

void RaftLog::dropTo(std::uint64_t index)
{
    if (index <= this->base) {
        return;
    }
    this->termOfBase = this->termAt(index);
    this->endOfBase = this->endOf(index);
    this->slots.erase(this->slots.begin(), this->slots.begin() + static_cast<std::ptrdiff_t>(index - this->base));
    this->base = index;
}

void RaftLog::reset(std::uint64_t index, std::uint64_t term)
{
    this->slots.clear();
    this->base = index;
    this->termOfBase = term;
}

} // namespace Chestnuthook
