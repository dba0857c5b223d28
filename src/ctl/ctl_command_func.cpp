/** @file ctl_command_func.cpp  validate, diff, apply, keys and status. */
#include "ctl/ctl_command_func.h"

#include <array>
#include <iostream>

#include <capnp/message.h>
#include <gflags/gflags.h>

#include "core/hash_func.h"
#include "core/settings_func.h"
#include "ctl/ctl_members_func.h"
#include "ctl/declaration_file_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"
#include "table/error_table.h"

DECLARE_string(controls);

namespace Chestnuthook
{

namespace
{

using Words = std::vector<std::string>;
using Command = capnp::MallocMessageBuilder;

constexpr std::size_t KeyBytes = 24;
constexpr std::size_t RequestIdBytes = 12;

/** One difference between the files and the fleet. */
struct Change
{
    DeclarationName name; ///< What changes.
    std::string json; ///< The new object; empty where it goes.
    bool added = false; ///< It wasn't there.
};

CtlExit complain(const Error &error)
{
    std::cerr << errorText(error) << '\n';
    return error.kind == ErrorKind::StaleRevision ? CtlExit::Lost : CtlExit::Failed;
}

CtlExit complainAll(const std::vector<Error> &faults)
{
    for (const Error &fault : faults) {
        std::cerr << fault.what << '\n';
    }
    return CtlExit::BadDeclaration;
}

std::vector<Change> changesBetween(const FleetState &state, const DeclaredItems &items)
{
    std::vector<Change> changes;
    for (const auto &[name, item] : items) {
        const DeclarationRecord *known = state.declarations.find(name);
        if (known == nullptr || known->json != item.json) {
            changes.push_back(Change{name, item.json, known == nullptr});
        }
    }
    for (const auto &[name, row] : state.declarations.all()) {
        if (!row.removed && !items.contains(name)) {
            changes.push_back(Change{name, "", false});
        }
    }
    return changes;
}

void printChanges(const std::vector<Change> &changes)
{
    for (const Change &change : changes) {
        const char *sign = change.json.empty() ? "-" : change.added ? "+" : "~";
        std::cout << sign << ' ' << change.name.section << '.' << change.name.name << ' ' << change.json << '\n';
    }
    std::cout << changes.size() << " changes\n";
}

Result<Wire::FleetReply::Reader> replyOf(FlatMessage &message)
{
    const auto reply = message.root<Wire::FleetReply>();
    if (reply.isFailure()) {
        return tl::unexpected(readFailure(reply.getFailure()));
    }
    return reply;
}

Result<std::uint64_t> submitCommand(CtlSession &session, Command &command)
{
    const Result<std::string> bytes = session.submit(flatBytes(command));
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    FlatMessage message(*bytes);
    const auto reply = replyOf(message);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    return reply->getRevision();
}

Wire::FleetCommand::Builder initCommand(Command &message)
{
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setRequestId("ctl-" + randomHex(RequestIdBytes));
    command.setNowMs(wallMsNow());
    return command;
}

CtlExit validate(const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return complainAll(read.faults);
    }
    std::cout << read.items.size() << " declarations are right\n";
    return CtlExit::Done;
}

CtlExit diff(CtlSession &session, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return complainAll(read.faults);
    }
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return complain(state.error());
    }
    printChanges(changesBetween(*state, read.items));
    return CtlExit::Done;
}

CtlExit apply(CtlSession &session, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return complainAll(read.faults);
    }
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return complain(state.error());
    }
    const std::vector<Change> changes = changesBetween(*state, read.items);
    Command message;
    auto command = initCommand(message);
    auto applied = command.initApply();
    applied.setExpectedRevision(state->revision().value);
    auto list = applied.initChanges(static_cast<unsigned>(changes.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setSection(changes[i].name.section);
        list[i].setName(changes[i].name.name);
        list[i].setJson(changes[i].json);
    }
    const Result<std::uint64_t> revision = submitCommand(session, message);
    if (!revision) {
        return complain(revision.error());
    }
    printChanges(changes);
    std::cout << "revision " << *revision << " accepted\n";
    return CtlExit::Done;
}

CtlExit issueKey(CtlSession &session, const std::string &tenant)
{
    const std::string key = "chk-" + randomHex(KeyBytes);
    const std::string id = "k-" + randomHex(RequestIdBytes);
    Command message;
    auto record = initCommand(message).initIssueKey();
    record.setId(id);
    record.setTenant(tenant);
    record.setHash(dataOf(sha256Raw(key)));
    const Result<std::uint64_t> revision = submitCommand(session, message);
    if (!revision) {
        return complain(revision.error());
    }
    std::cout << "id " << id << "\nkey " << key << '\n';
    return CtlExit::Done;
}

CtlExit withdrawKey(CtlSession &session, const std::string &id)
{
    Command message;
    initCommand(message).setWithdrawKey(id);
    const Result<std::uint64_t> revision = submitCommand(session, message);
    if (!revision) {
        return complain(revision.error());
    }
    std::cout << "key " << id << " withdrawn\n";
    return CtlExit::Done;
}

CtlExit listKeys(CtlSession &session)
{
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return complain(state.error());
    }
    for (const auto &[id, row] : state->keys.all()) {
        std::cout << id.text << ' ' << row.record.tenant.text << ' ' << (row.record.withdrawn ? "withdrawn" : "active")
                  << '\n';
    }
    return CtlExit::Done;
}

CtlExit status(CtlSession &session, const Words &addresses)
{
    bool answered = false;
    for (const std::string &address : addresses) {
        auto response = session.status(address);
        if (!response) {
            std::cout << "member " << address << " down: " << response.error().what << '\n';
            continue;
        }
        answered = true;
        const auto status = response->getStatus();
        std::cout << "member " << textOf(status.getMember()) << " term " << status.getTerm() << " revision "
                  << status.getRevision() << " confirmed " << (status.getConfirmed() ? "yes" : "no") << " programs "
                  << status.getPrograms() << '\n';
        for (const auto entry : status.getEntries()) {
            std::cout << "entry " << textOf(entry.getEntry().getId()) << ' ' << textOf(entry.getEntry().getAddress())
                      << " in_force " << entry.getInForceRevision() << " heard_ms_ago " << entry.getHeardMsAgo()
                      << '\n';
        }
    }
    return answered ? CtlExit::Done : CtlExit::Failed;
}

} // namespace

CtlExit runCtlCommand(CtlSession &session, const std::vector<std::string> &words)
{
    const std::string verb = words.empty() ? "" : words[0];
    const Words rest(words.begin() + (words.empty() ? 0 : 1), words.end());
    if (verb == "validate" && !rest.empty()) {
        return validate(rest);
    }
    if (verb == "diff" && !rest.empty()) {
        return diff(session, rest);
    }
    if (verb == "apply" && !rest.empty()) {
        return apply(session, rest);
    }
    if (verb == "keys" && rest.size() == 2 && rest[0] == "issue") {
        return issueKey(session, rest[1]);
    }
    if (verb == "keys" && rest.size() == 2 && rest[0] == "withdraw") {
        return withdrawKey(session, rest[1]);
    }
    if (verb == "keys" && rest == Words{"list"}) {
        return listKeys(session);
    }
    if (verb == "status" && rest.empty()) {
        return status(session, splitList(FLAGS_controls));
    }
    if (verb == "members") {
        return runMembersCommand(session, rest, splitList(FLAGS_controls));
    }
    std::cerr << "usage: chestnuthook-ctl validate|diff|apply FILE… | keys issue TENANT | keys withdraw ID | keys list "
                 "| status\n";
    return CtlExit::Usage;
}

} // namespace Chestnuthook
