/** @file stream_progress_table_base.cpp  Adds, extends, finds and expires streams. */
#include "history/stream_progress_table_base.h"

#include <numeric>
#include <utility>

#include "core/hash_func.h"

namespace Chestnuthook
{

namespace
{

/** Approximate memory of a stream, an branch and an event without their texts. */
constexpr std::size_t StreamBytes = 512;
constexpr std::size_t BranchBytes = 256;
constexpr std::size_t PieceBytes = 96;

std::size_t bytesOf(const std::vector<StreamPiece> &pieces)
{
    return std::accumulate(pieces.begin(), pieces.end(), std::size_t{0}, [](std::size_t sum, const StreamPiece &piece) {
        return sum + PieceBytes + piece.id.size() + piece.output.size();
    });
}

std::size_t bytesOf(const StreamBranch &branch)
{
    return BranchBytes + 2 * branch.request.size() + branch.parent.size() + bytesOf(branch.pieces);
}

} // namespace

std::uint64_t turnHash(const std::string &target, const std::string &previousTurn, const std::string &body)
{
    return hash64(body, hash64(previousTurn, hash64(target)));
}

bool StreamProgressTable::reserve(Entry &entry, std::size_t count)
{
    if (this->usedBytes + count > this->maxBytes || entry.bytes + count > MaxStreamBytes) {
        return false;
    }
    this->usedBytes += count;
    entry.bytes += count;
    return true;
}

void StreamProgressTable::expire(Instant now)
{
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const auto entry = this->entries.find(this->expiries.begin()->second);
        this->usedBytes -= entry->second.bytes;
        this->entries.erase(entry);
        this->expiries.erase(this->expiries.begin());
    }
}

bool StreamProgressTable::begin(
    Instant now, const StreamKey &stream, std::uint64_t turn, unsigned members, Duration ttl)
{
    this->expire(now);
    if (stream.request.empty() || stream.request.size() > StreamOriginTable::MaxRequestIdBytes) {
        return false;
    }
    if (const auto known = this->entries.find(stream); known != this->entries.end()) {
        known->second.progress.isAmbiguous = true;
        return false;
    }
    Entry entry;
    StreamBranch first;
    first.request = stream.request;
    if (!this->reserve(entry, StreamBytes + 2 * (stream.request.size() + stream.customer.size()) + bytesOf(first))) {
        return false;
    }
    entry.progress.turn = turn;
    entry.progress.members = members;
    entry.progress.branches.emplace(stream.request, std::move(first));
    this->expiries.emplace(now + ttl, stream);
    this->entries.emplace(stream, std::move(entry));
    return true;
}

bool StreamProgressTable::add(
    const StreamKey &stream, const std::string &request, std::size_t position, std::vector<StreamPiece> pieces)
{
    const auto entry = this->entries.find(stream);
    if (entry == this->entries.end()) {
        return false;
    }
    const auto branch = entry->second.progress.branches.find(request);
    if (branch == entry->second.progress.branches.end()) {
        return false;
    }
    std::vector<StreamPiece> &held = branch->second.pieces;
    if (held.size() != position || !this->reserve(entry->second, bytesOf(pieces))) {
        return false;
    }
    held.insert(held.end(), std::make_move_iterator(pieces.begin()), std::make_move_iterator(pieces.end()));
    return true;
}

bool StreamProgressTable::resume(const StreamKey &stream, StreamBranch branch)
{
    const auto entry = this->entries.find(stream);
    if (entry == this->entries.end() || branch.request.empty() || branch.request == branch.parent
        || branch.request.size() > StreamOriginTable::MaxRequestIdBytes) {
        return false;
    }
    auto &branches = entry->second.progress.branches;
    if (const auto known = branches.find(branch.request); known != branches.end()) {
        return known->second == branch; // A call that is sent again.
    }
    if (!this->reserve(entry->second, bytesOf(branch))) {
        return false;
    }
    std::string request = branch.request;
    branches.emplace(std::move(request), std::move(branch));
    return true;
}

void StreamProgressTable::withdraw(const StreamKey &stream, const std::string &request)
{
    const auto entry = this->entries.find(stream);
    if (entry == this->entries.end()) {
        return;
    }
    auto &branches = entry->second.progress.branches;
    const auto branch = branches.find(request);
    if (branch == branches.end() || branch->second.parent.empty()
        || branch->second.pieces.size() != branch->second.resumedFrom) {
        return;
    }
    const std::size_t freed = bytesOf(branch->second);
    this->usedBytes -= freed;
    entry->second.bytes -= freed;
    branches.erase(branch);
}

std::optional<StreamProgress> StreamProgressTable::find(Instant now, const StreamKey &stream)
{
    this->expire(now);
    const auto entry = this->entries.find(stream);
    return entry == this->entries.end() ? std::nullopt : std::optional(entry->second.progress);
}

} // namespace Chestnuthook
