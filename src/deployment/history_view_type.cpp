/** @file history_view_type.cpp  Quorums of a view, its encoding, and planning of the next view. */
#include "deployment/history_view_type.h"

#include <algorithm>
#include <map>

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

bool hasIdentity(const std::vector<HistoryMember> &members, const std::string &identity)
{
    return std::any_of(members.begin(), members.end(), [&identity](const HistoryMember &member) {
        return member.identity == identity;
    });
}

bool hasMajority(const std::vector<HistoryMember> &members, const std::set<std::string> &identities)
{
    const auto count = std::count_if(members.begin(), members.end(), [&identities](const HistoryMember &member) {
        return identities.contains(member.identity);
    });
    return static_cast<std::size_t>(count) >= members.size() / 2 + 1;
}

const HistoryCandidate *findCandidate(const std::vector<HistoryCandidate> &candidates, const std::string &identity)
{
    const auto found =
        std::find_if(candidates.begin(), candidates.end(), [&identity](const HistoryCandidate &candidate) {
            return candidate.member.identity == identity;
        });
    return found == candidates.end() ? nullptr : &*found;
}

/** Whether the instance of @p member now has another data folder. */
bool isWiped(const HistoryMember &member, const std::vector<HistoryCandidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [&member](const HistoryCandidate &candidate) {
        return candidate.alive && candidate.member.identity != member.identity
            && (candidate.member.name == member.name || candidate.member.address == member.address);
    });
}

/** An alive instance outside of @p view, preferably in a data centre with few current members; null for none. */
const HistoryCandidate *pickSpare(const std::vector<HistoryCandidate> &candidates, const HistoryView &view)
{
    std::map<std::string, unsigned> used;
    for (const HistoryMember &member : view.current) {
        if (const HistoryCandidate *candidate = findCandidate(candidates, member.identity)) {
            ++used[candidate->dataCentre];
        }
    }
    const HistoryCandidate *best = nullptr;
    for (const HistoryCandidate &candidate : candidates) {
        if (!candidate.alive || candidate.retiring || view.isMember(candidate.member.identity)) {
            continue;
        }
        if (best == nullptr || used[candidate.dataCentre] < used[best->dataCentre]) {
            best = &candidate;
        }
    }
    return best;
}

HistoryView withReplacement(const HistoryView &view, const HistoryMember &leaving, const HistoryMember &joining)
{
    HistoryView plan{view.version + 1, view.current, view.current};
    std::replace(plan.next.begin(), plan.next.end(), leaving, joining);
    return plan;
}

std::optional<HistoryView> planInitialView(const std::vector<HistoryCandidate> &candidates, std::size_t size)
{
    HistoryView plan{1, {}, {}};
    while (plan.current.size() < size) {
        const HistoryCandidate *spare = pickSpare(candidates, plan);
        if (spare == nullptr) {
            return std::nullopt;
        }
        plan.current.push_back(spare->member);
    }
    return plan;
}

std::optional<HistoryView> finishChange(const HistoryView &view, const std::vector<HistoryCandidate> &candidates)
{
    for (const HistoryMember &member : view.next) {
        if (view.isCurrent(member.identity)) {
            continue;
        }
        const HistoryCandidate *joining = findCandidate(candidates, member.identity);
        if (joining == nullptr || isWiped(member, candidates) || joining->lost) {
            return HistoryView{view.version + 1, view.current, {}}; // Abort the change; the next call plans a new one.
        }
        if (joining->copiedView < view.version) {
            return std::nullopt;
        }
    }
    return HistoryView{view.version + 1, view.next, {}};
}

} // namespace

std::vector<HistoryMember> HistoryView::members() const
{
    std::vector<HistoryMember> all = this->current;
    for (const HistoryMember &member : this->next) {
        if (!this->isCurrent(member.identity)) {
            all.push_back(member);
        }
    }
    return all;
}

bool HistoryView::isCurrent(const std::string &identity) const
{
    return hasIdentity(this->current, identity);
}

bool HistoryView::isMember(const std::string &identity) const
{
    return this->isCurrent(identity) || hasIdentity(this->next, identity);
}

bool HistoryView::hasReadQuorum(const std::set<std::string> &answered) const
{
    return this->version != 0 && hasMajority(this->current, answered);
}

bool HistoryView::hasWriteQuorum(const std::set<std::string> &acknowledged) const
{
    return this->hasReadQuorum(acknowledged) && (this->next.empty() || hasMajority(this->next, acknowledged));
}

HistoryView readView(Wire::HistoryView::Reader reader)
{
    const auto readMembers = [](auto list) {
        std::vector<HistoryMember> members;
        for (const auto member : list) {
            members.push_back({textOf(member.getIdentity()), textOf(member.getName()), textOf(member.getAddress())});
        }
        return members;
    };
    return {reader.getVersion(), readMembers(reader.getCurrent()), readMembers(reader.getNext())};
}

void writeView(Wire::HistoryView::Builder builder, const HistoryView &view)
{
    const auto writeMembers = [](auto list, const std::vector<HistoryMember> &members) {
        for (unsigned i = 0; i < members.size(); ++i) {
            list[i].setIdentity(wireText(members[i].identity));
            list[i].setName(wireText(members[i].name));
            list[i].setAddress(wireText(members[i].address));
        }
    };
    builder.setVersion(view.version);
    writeMembers(builder.initCurrent(static_cast<unsigned>(view.current.size())), view.current);
    writeMembers(builder.initNext(static_cast<unsigned>(view.next.size())), view.next);
}

std::optional<HistoryView> planHistoryView(
    const HistoryView &view, const std::vector<HistoryCandidate> &candidates, std::size_t size)
{
    if (view.version == 0) {
        return planInitialView(candidates, size);
    }
    if (view.isChanging()) {
        return finishChange(view, candidates);
    }
    for (const HistoryMember &member : view.current) {
        const HistoryCandidate *candidate = findCandidate(candidates, member.identity);
        const bool wiped = isWiped(member, candidates);
        if (!wiped && candidate != nullptr && !candidate->lost && !candidate->retiring) {
            continue;
        }
        if (!wiped && candidate == nullptr) {
            continue; // Hasn't reported to this leader yet; it counts as lost after a timeout.
        }
        if (const HistoryCandidate *spare = pickSpare(candidates, view)) {
            return withReplacement(view, member, spare->member);
        }
    }
    return std::nullopt;
}

bool canRetire(const HistoryView &view, const std::vector<HistoryCandidate> &candidates, const std::string &name)
{
    const auto hasName = [&name](const HistoryMember &member) {
        return member.name == name;
    };
    const std::vector<HistoryMember> members = view.members();
    return std::none_of(members.begin(), members.end(), hasName)
        || std::any_of(candidates.begin(), candidates.end(), [&](const HistoryCandidate &candidate) {
               return candidate.alive && !candidate.retiring && candidate.member.name != name
                   && !view.isMember(candidate.member.identity);
           });
}

} // namespace Chestnuthook
