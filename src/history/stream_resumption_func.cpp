/** @file stream_resumption_func.cpp  Merges the answers of history members. */
#include "history/stream_resumption_func.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Chestnuthook
{

namespace
{

using Branches = std::map<std::string, StreamBranch>;

/** All branches that some member knows, with the most events that one holds. Empty if they don't agree: one request id
 * was used for two resumptions. */
std::optional<Branches> mergeBranches(const std::vector<StreamProgress> &answers)
{
    Branches merged;
    for (const StreamProgress &answer : answers) {
        for (const auto &[request, branch] : answer.branches) {
            const auto [known, isNew] = merged.try_emplace(request, branch);
            if (known->second.parent != branch.parent || known->second.resumedFrom != branch.resumedFrom) {
                return std::nullopt;
            }
            if (!isNew && known->second.pieces.size() < branch.pieces.size()) {
                known->second.pieces = branch.pieces;
            }
        }
    }
    return merged;
}

/** Number of events of @p branch up to the one with @p id; empty if it has none. */
std::optional<std::size_t> countUpTo(const StreamBranch &branch, const std::string &id)
{
    const auto event = std::find_if(branch.pieces.begin(), branch.pieces.end(), [&id](const StreamPiece &piece) {
        return piece.id == id;
    });
    return event == branch.pieces.end() ? std::nullopt : std::optional<std::size_t>(event - branch.pieces.begin() + 1);
}

bool hasDistinctIds(const StreamBranch &branch)
{
    std::vector<std::string_view> ids;
    for (const StreamPiece &piece : branch.pieces) {
        ids.push_back(piece.id);
    }
    std::sort(ids.begin(), ids.end());
    return (ids.empty() || !ids.front().empty()) && std::adjacent_find(ids.begin(), ids.end()) == ids.end();
}

/** Whether @p branch leads back to the beginning of the stream, and nothing else was resumed from a branch on the way.
 */
bool isOnlyLine(const Branches &branches, const StreamBranch &branch)
{
    const StreamBranch *at = &branch;
    for (std::size_t depth = 0; depth < branches.size(); ++depth) {
        if (at->parent.empty()) {
            return true;
        }
        const bool isOnly = std::none_of(branches.begin(), branches.end(), [at](const auto &other) {
            return other.second.parent == at->parent && other.first != at->request;
        });
        const auto parent = branches.find(at->parent);
        if (!isOnly || parent == branches.end()) {
            return false;
        }
        at = &parent->second;
    }
    return false;
}

/** Whether the first @p count events of @p branch may have reached the client, and the last one through it. */
bool mayEndAt(const Branches &branches, const StreamBranch &branch, std::size_t count)
{
    if (count <= branch.resumedFrom) {
        return false; // Its parent brought them.
    }
    return std::none_of(branches.begin(), branches.end(), [&branch, count](const auto &other) {
        return other.second.parent == branch.request && other.second.resumedFrom < count;
    });
}

/** What @p last and the requests before it brought of the first @p count events of @p last. */
std::vector<StreamShare> sharesOf(const Branches &branches, const StreamBranch &last, std::size_t count)
{
    std::vector<StreamShare> shares;
    const auto begin = last.pieces.begin(); // The answers may lack some of the parents' own pieces.
    for (const StreamBranch *at = &last;; at = &branches.at(at->parent)) { // isOnlyLine() has found all of them.
        const auto events = std::count_if(begin + static_cast<std::ptrdiff_t>(at->resumedFrom),
            begin + static_cast<std::ptrdiff_t>(count), [](const StreamPiece &piece) {
                return !piece.output.empty();
            });
        shares.push_back({at->request, static_cast<unsigned>(events)});
        if (at->parent.empty()) {
            return shares;
        }
        count = at->resumedFrom;
    }
}

} // namespace

tl::expected<StreamBeginning, ResumptionDoubt> findStreamBeginning(
    const std::vector<StreamProgress> &answers, std::uint64_t turn, const std::string &lastEventId)
{
    unsigned members = 0;
    for (const StreamProgress &answer : answers) {
        if (answer.isAmbiguous) {
            return tl::unexpected(ResumptionDoubt::SeveralWriters);
        }
        if (answer.turn != turn) {
            return tl::unexpected(ResumptionDoubt::AnotherTurn);
        }
        members = std::max(members, answer.members);
    }
    if (2 * answers.size() <= members || answers.empty()) {
        return tl::unexpected(ResumptionDoubt::TooFewMembers);
    }
    const std::optional<Branches> merged = mergeBranches(answers);
    if (!merged) {
        return tl::unexpected(ResumptionDoubt::SeveralWriters);
    }
    const Branches &branches = *merged;
    const StreamBranch *found = nullptr;
    std::size_t foundCount = 0;
    for (const auto &[request, branch] : branches) {
        const auto count = countUpTo(branch, lastEventId);
        if (!count || !mayEndAt(branches, branch, *count)) {
            continue;
        }
        if (found != nullptr || !isOnlyLine(branches, branch)) {
            return tl::unexpected(ResumptionDoubt::SeveralWriters);
        }
        found = &branch;
        foundCount = *count;
    }
    if (found == nullptr) {
        return tl::unexpected(ResumptionDoubt::UnknownEvent);
    }
    if (!hasDistinctIds(*found)) {
        return tl::unexpected(ResumptionDoubt::WithoutIds);
    }
    StreamBeginning beginning;
    beginning.parent = found->request;
    beginning.pieces.assign(found->pieces.begin(), found->pieces.begin() + static_cast<std::ptrdiff_t>(foundCount));
    beginning.shares = sharesOf(branches, *found, foundCount);
    beginning.members = members;
    return beginning;
}

} // namespace Chestnuthook
