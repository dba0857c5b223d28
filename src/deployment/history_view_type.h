/** @file history_view_type.h  Which instances hold the history of turns, and the pure rules by which that changes. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rpc/deployment.capnp.h"

namespace Chestnuthook
{

/** One member; another data folder at the same address is another member. */
struct HistoryMember
{
    std::string identity; ///< Of the data folder.
    std::string name; ///< Of the instance.
    std::string address; ///< RPC address.
    bool operator==(const HistoryMember &) const = default;
};

/** A version of the membership. Reads need answers of a majority of `current`; writes need acks of a majority of
 * `current` and, during a change, of `next` too. So a member of `next` that has copied what a majority of `current`
 * held when it took notice of this version holds all that was ever acknowledged. */
struct HistoryView
{
    std::uint64_t version = 0; ///< 0 where there is none yet.
    std::vector<HistoryMember> current; ///< Members whose data is complete.
    std::vector<HistoryMember> next; ///< Members after the change under way; empty where there is none.
    bool operator==(const HistoryView &) const = default;

    [[nodiscard]] bool isChanging() const
    {
        return !this->next.empty();
    }
    /** All members, each once. */
    [[nodiscard]] std::vector<HistoryMember> members() const;
    [[nodiscard]] bool isCurrent(const std::string &identity) const;
    [[nodiscard]] bool isMember(const std::string &identity) const;
    [[nodiscard]] bool mayRead(const std::set<std::string> &answered) const;
    [[nodiscard]] bool mayWrite(const std::set<std::string> &acknowledged) const;
};

[[nodiscard]] HistoryView readView(Wire::HistoryView::Reader reader);
void writeView(Wire::HistoryView::Builder builder, const HistoryView &view);

/** An instance that can hold history, as control knows it. */
struct HistoryCandidate
{
    HistoryMember member; ///< Who it is.
    std::string dataCentre; ///< Where.
    bool alive = false; ///< Heard lately.
    bool lost = false; ///< Silent for so long that it is replaced where another stands by.
    bool retiring = false; ///< To be emptied.
    std::uint64_t copiedView = 0; ///< View for which it has copied all; 0 for none.
};

/** The view to propose in place of @p view, if any. @p size is the number of members wanted. */
[[nodiscard]] std::optional<HistoryView> planHistoryView(
    const HistoryView &view, const std::vector<HistoryCandidate> &candidates, std::size_t size);

/** Whether @p name can be emptied: it is no member, or another can take its place. */
[[nodiscard]] bool mayRetire(
    const HistoryView &view, const std::vector<HistoryCandidate> &candidates, const std::string &name);

} // namespace Chestnuthook
