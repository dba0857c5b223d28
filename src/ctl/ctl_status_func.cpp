/** @file ctl_status_func.cpp  The verb status: prints members, entries, slots, revisions and freshness. */
#include "ctl/ctl_status_func.h"

#include <algorithm>
#include <map>

#include "ctl/ctl_verb_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::uint64_t LateHeartbeatMs = 1500; ///< Half of the freshness bound of 3 s.

MemberSummary readMember(const std::string &address, Wire::Status::Reader status)
{
    MemberSummary member;
    member.address = address;
    member.id = textOf(status.getMember());
    member.leader = textOf(status.getLeader());
    member.term = status.getTerm();
    member.fleetIndex = status.getFleetIndex();
    member.journalIndex = status.getJournalIndex();
    member.revision = status.getRevision();
    member.programs = status.getPrograms();
    member.confirmed = status.getConfirmed();
    return member;
}

/** Merges the entries that a member reports into @p entries, and keeps the report with the highest index of each. */
void mergeEntries(Wire::Status::Reader status, std::map<std::string, EntrySummary> &entries)
{
    for (const auto row : status.getEntries()) {
        EntrySummary entry;
        entry.id = textOf(row.getEntry().getId());
        entry.address = textOf(row.getEntry().getAddress());
        entry.dataCentre = textOf(row.getEntry().getDataCentre());
        entry.draining = row.getEntry().getState() == Wire::EntryState::DRAINING;
        entry.inForce = row.getInForceRevision();
        entry.haveIndex = row.getHaveIndex();
        entry.heardMsAgo = row.getHeardMsAgo();
        entry.heard = entry.haveIndex != 0 || entry.heardMsAgo != 0;
        const auto known = entries.find(entry.id);
        if (known == entries.end() || known->second.haveIndex < entry.haveIndex) {
            entries[entry.id] = entry;
        }
    }
}

std::map<std::string, std::size_t> slotsPerEntry(const FleetState &state)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[slot, row] : state.slots.all()) {
        ++counts[row.record.owner.text];
    }
    return counts;
}

/** Returns the role of a member for display. @p term is the term of the leader that a quorum confirmed; a partitioned
 * member soon has a different term and is shown as unconfirmed. */
std::string memberState(const CtlOptions &options, const MemberSummary &member, std::uint64_t term)
{
    if (member.confirmed) {
        return coloured(options, ColourGreen, "leader");
    }
    const bool follows = term != 0 && member.term == term && !member.leader.empty();
    return follows ? coloured(options, ColourGreen, "follower") : coloured(options, ColourYellow, "unconfirmed");
}

std::vector<Words> memberRows(const CtlOptions &options, const FleetSummary &summary)
{
    std::uint64_t term = 0;
    for (const MemberSummary &member : summary.members) {
        term = member.confirmed ? std::max(term, member.term) : term;
    }
    std::vector<Words> rows = {{"MEMBER", "ADDRESS", "STATE", "TERM", "REVISION", "FLEET", "JOURNAL", "PROGRAMS"}};
    for (const MemberSummary &member : summary.members) {
        if (!member.fault.empty()) {
            rows.push_back({"?", member.address, coloured(options, ColourRed, "down: " + member.fault)});
            continue;
        }
        rows.push_back({member.id, member.address, memberState(options, member, term), std::to_string(member.term),
            std::to_string(member.revision), std::to_string(member.fleetIndex), std::to_string(member.journalIndex),
            std::to_string(member.programs)});
    }
    return rows;
}

std::vector<Words> entryRows(const CtlOptions &options, const FleetSummary &summary, std::uint64_t revision,
    const std::map<std::string, std::size_t> &slots)
{
    std::vector<Words> rows = {{"ENTRY", "ADDRESS", "DATA CENTRE", "STATE", "SLOTS", "IN FORCE", "HEARD"}};
    for (const EntrySummary &entry : summary.entries) {
        const auto owned = slots.find(entry.id);
        const bool late = !entry.heard || entry.heardMsAgo > LateHeartbeatMs;
        const std::string heard = entry.heard ? std::to_string(entry.heardMsAgo) + " ms ago" : "not yet";
        rows.push_back({entry.id, entry.address, entry.dataCentre,
            entry.draining ? coloured(options, ColourYellow, "draining") : coloured(options, ColourGreen, "live"),
            std::to_string(owned == slots.end() ? 0 : owned->second),
            coloured(options, entry.inForce < revision ? ColourYellow : ColourGreen, std::to_string(entry.inForce)),
            coloured(options, late ? ColourRed : ColourGreen, heard)});
    }
    return rows;
}

Poco::JSON::Object statusJson(
    const FleetSummary &summary, std::uint64_t revision, const std::map<std::string, std::size_t> &slots)
{
    Poco::JSON::Array members;
    for (const MemberSummary &member : summary.members) {
        Poco::JSON::Object row(Poco::JSON_PRESERVE_KEY_ORDER);
        row.set("address", member.address);
        row.set("up", member.fault.empty());
        row.set("fault", member.fault);
        row.set("member", member.id);
        row.set("leader", member.leader);
        row.set("confirmed", member.confirmed);
        row.set("term", member.term);
        row.set("revision", member.revision);
        row.set("fleet_index", member.fleetIndex);
        row.set("journal_index", member.journalIndex);
        row.set("programs", member.programs);
        members.add(row);
    }
    Poco::JSON::Array entries;
    for (const EntrySummary &entry : summary.entries) {
        const auto owned = slots.find(entry.id);
        Poco::JSON::Object row(Poco::JSON_PRESERVE_KEY_ORDER);
        row.set("entry", entry.id);
        row.set("address", entry.address);
        row.set("data_centre", entry.dataCentre);
        row.set("draining", entry.draining);
        row.set("slots", owned == slots.end() ? 0 : owned->second);
        row.set("in_force_revision", entry.inForce);
        row.set("have_index", entry.haveIndex);
        row.set("heard_ms_ago", entry.heard ? Poco::Dynamic::Var(entry.heardMsAgo) : Poco::Dynamic::Var());
        entries.add(row);
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("revision", revision);
    object.set("confirmed", summary.confirmed);
    object.set("members", members);
    object.set("entries", entries);
    return object;
}

} // namespace

FleetSummary readFleetSummary(CtlSession &session, const std::vector<std::string> &addresses)
{
    FleetSummary summary;
    std::map<std::string, EntrySummary> entries;
    const auto responses = session.status(addresses);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const std::string &address = addresses[i];
        const auto &response = responses[i];
        if (!response) {
            MemberSummary down;
            down.address = address;
            down.fault = response.error().what;
            summary.members.push_back(std::move(down));
            continue;
        }
        const auto status = response->getStatus();
        summary.members.push_back(readMember(address, status));
        if (status.getConfirmed()) {
            summary.confirmed = true;
            mergeEntries(status, entries);
        }
    }
    for (auto &[id, entry] : entries) {
        summary.entries.push_back(std::move(entry));
    }
    return summary;
}

CtlExit ctlStatus(CtlSession &session, const CtlOptions &options, const Words & /*words*/)
{
    const FleetSummary summary = readFleetSummary(session, options.controls);
    const Result<FleetState> state = summary.confirmed ? session.readFleet() : Result<FleetState>();
    const bool known = summary.confirmed && state.has_value();
    const std::uint64_t revision = known ? state->revision().value : 0;
    const auto slots = known ? slotsPerEntry(*state) : std::map<std::string, std::size_t>();
    std::string text = formatColumns(memberRows(options, summary));
    if (known) {
        text += "\n" + formatColumns(entryRows(options, summary, revision, slots)) + "\nrevision "
            + std::to_string(revision) + "\n";
    } else {
        text += "\nno member could confirm its answer with a quorum; remedy: bring up a majority of the members\n";
    }
    printResult(options, text, statusJson(summary, revision, slots));
    return known ? CtlExit::Done : CtlExit::Failed;
}

} // namespace Chestnuthook
