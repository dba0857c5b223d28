/** @file ctl_apply_func.cpp  validate, diff and apply. */
#include "ctl/ctl_status_func.h"
#include "ctl/ctl_submit_func.h"
#include "ctl/ctl_verb_func.h"
#include "ctl/declaration_change_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto ForcePollPeriod = std::chrono::milliseconds(100);

Result<std::uint64_t> submitChanges(CtlSession &session, const CtlOptions &options, std::uint64_t expected,
    const std::vector<DeclarationChange> &changes)
{
    CommandMessage message;
    auto applied = initCommand(message, options).initApply();
    applied.setExpectedRevision(expected);
    auto list = applied.initChanges(static_cast<unsigned>(changes.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setSection(changes[i].name.section);
        list[i].setName(changes[i].name.name);
        list[i].setJson(changes[i].after);
    }
    return submitCommand(session, message);
}

/** Waits until no live entry serves under an older revision. @return those that still do. */
std::vector<EntryGlance> waitForForce(CtlSession &session, const CtlOptions &options, std::uint64_t revision)
{
    const auto until = std::chrono::steady_clock::now() + options.wait;
    while (true) {
        std::vector<EntryGlance> lagging;
        const FleetGlance glance = readGlance(session, options.controls);
        for (const EntryGlance &entry : glance.entries) {
            if (entry.inForce < revision) {
                lagging.push_back(entry);
            }
        }
        const bool known = glance.confirmed && lagging.empty();
        if (known || std::chrono::steady_clock::now() >= until) {
            return lagging;
        }
        session.pause(ForcePollPeriod);
    }
}

CtlExit reportForce(CtlSession &session, const CtlOptions &options, std::uint64_t revision,
    const std::vector<DeclarationChange> &changes)
{
    const std::vector<EntryGlance> lagging = waitForForce(session, options, revision);
    std::string text = changesText(options, changes) + "revision " + std::to_string(revision) + " accepted\n";
    Poco::JSON::Array names;
    for (const EntryGlance &entry : lagging) {
        names.add(entry.id);
        text += entry.id + " lags: revision " + std::to_string(entry.inForce) + " is in force there, heard "
            + std::to_string(entry.heardMsAgo) + " ms ago\n";
    }
    if (lagging.empty()) {
        text += "in force on all entries\n";
    } else {
        text += "not in force everywhere; remedy: look at `status`, wait, or drain the entries that lag\n";
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("revision", revision);
    object.set("changes", changesJson(changes));
    object.set("in_force", lagging.empty());
    object.set("lagging", names);
    printResult(options, text, object);
    return lagging.empty() ? CtlExit::Done : CtlExit::NotInForce;
}

} // namespace

CtlExit ctlValidate(const CtlOptions &options, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return complainAll(options, read.faults);
    }
    Poco::JSON::Object object;
    object.set("declarations", read.items.size());
    printResult(options, std::to_string(read.items.size()) + " declarations are right\n", object);
    return CtlExit::Done;
}

CtlExit ctlDiff(CtlSession &session, const CtlOptions &options, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return complainAll(options, read.faults);
    }
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return complain(options, state.error());
    }
    const std::vector<DeclarationChange> changes = declarationChanges(*state, read.items);
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("revision", state->revision().value);
    object.set("changes", changesJson(changes));
    printResult(options,
        changesText(options, changes) + "against revision " + std::to_string(state->revision().value) + "\n", object);
    return CtlExit::Done;
}

CtlExit ctlApply(CtlSession &session, const CtlOptions &options, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return complainAll(options, read.faults);
    }
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return complain(options, state.error());
    }
    const std::vector<DeclarationChange> changes = declarationChanges(*state, read.items);
    const std::uint64_t expected = options.expectedRevision.value_or(state->revision().value);
    const bool named = options.expectedRevision.has_value() || !options.requestId.empty();
    const Result<std::uint64_t> revision =
        changes.empty() && !named ? expected : submitChanges(session, options, expected, changes);
    if (!revision) {
        return complain(options, revision.error());
    }
    return reportForce(session, options, *revision, changes);
}

} // namespace Chestnuthook
