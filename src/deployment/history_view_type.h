/** @file history_view_type.h  Membership view of the replicated history store, and the rules for changing it. No I/O,
 * no clock. */
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

/** A member of the history store. Another data folder at the same address is another member. */
struct HistoryMember
{
    std::string identity; ///< Identity of the data folder.
    std::string name; ///< Name of the instance.
    std::string address; ///< RPC address.
    bool operator==(const HistoryMember &) const = default;
};

/** A version of the membership. A read needs responses from a majority of `current`. A write needs acks from a majority
 * of `current` and, during a change, also from a majority of `next`. A member rejects calls under older versions once
 * it has seen a newer one. So a member of `next` that has copied from a majority of `current`, after these have seen
 * this version, holds every acknowledged record. */
struct HistoryView
{
    std::uint64_t version = 0; ///< 0 if there is no view yet.
    std::vector<HistoryMember> current; ///< Members whose data is complete.
    std::vector<HistoryMember> next; ///< Members after the change in progress; empty if there is none.
    bool operator==(const HistoryView &) const = default;

    [[nodiscard]] bool isChanging() const
    {
        return !this->next.empty();
    }
    /** Members of `current` and `next`, each once. */
    [[nodiscard]] std::vector<HistoryMember> members() const;
    [[nodiscard]] bool isCurrent(const std::string &identity) const;
    [[nodiscard]] bool isMember(const std::string &identity) const;
    [[nodiscard]] bool hasReadQuorum(const std::set<std::string> &answered) const;
    [[nodiscard]] bool hasWriteQuorum(const std::set<std::string> &acknowledged) const;
};

[[nodiscard]] HistoryView readView(Wire::HistoryView::Reader reader);
void writeView(Wire::HistoryView::Builder builder, const HistoryView &view);

/** An instance that can be a history member, as the leader knows it. */
struct HistoryCandidate
{
    HistoryMember member; ///< Identity, name and address.
    std::string dataCentre; ///< Data centre of the instance.
    bool alive = false; ///< Has reported recently.
    bool lost = false; ///< Silent for so long that it is replaced if a spare instance exists.
    bool retiring = false; ///< An operator has asked for its removal.
    std::uint64_t copiedView = 0; ///< Version of the view for which its copy is complete; 0 for none.
};

/** The view to propose after @p view, if any. @p size is the intended number of members. */
[[nodiscard]] std::optional<HistoryView> planHistoryView(
    const HistoryView &view, const std::vector<HistoryCandidate> &candidates, std::size_t size);

/** Whether the instance @p name can be retired: it isn't a member, or a spare instance can replace it. */
[[nodiscard]] bool canRetire(
    const HistoryView &view, const std::vector<HistoryCandidate> &candidates, const std::string &name);

} // namespace Chestnuthook
