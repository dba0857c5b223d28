/** @file ctl_apply_func.cpp  The verbs validate, diff and apply. */
#include "ctl/ctl_rollout_func.h"
#include "ctl/ctl_submit_func.h"
#include "ctl/ctl_verb_func.h"
#include "ctl/declaration_change_func.h"

namespace Chestnuthook
{

namespace
{

Result<SubmitResult> submitChanges(CtlSession &session, const CtlOptions &options, std::uint64_t expected,
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

/** Differences between the fleet state and the declaration files. */
struct Comparison
{
    FleetState state; ///< Current state of the fleet.
    std::vector<DeclarationChange> changes; ///< Changes that bring the fleet to the state of the files.
};

/** Compares the files with the fleet state. On failure, prints the errors and returns the exit code. */
tl::expected<Comparison, CtlExit> compareWithFleet(CtlSession &session, const CtlOptions &options, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return tl::unexpected(printFaults(options, read.faults));
    }
    Result<FleetState> state = session.readFleet();
    if (!state) {
        return tl::unexpected(printError(options, state.error()));
    }
    std::vector<DeclarationChange> changes = declarationChanges(*state, read.items);
    return Comparison{std::move(*state), std::move(changes)};
}

} // namespace

CtlExit ctlValidate(const CtlOptions &options, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return printFaults(options, read.faults);
    }
    Poco::JSON::Object object;
    object.set("declarations", read.items.size());
    printResult(options, std::to_string(read.items.size()) + " declarations are right\n", object);
    return CtlExit::Done;
}

CtlExit ctlDiff(CtlSession &session, const CtlOptions &options, const Words &files)
{
    const tl::expected<Comparison, CtlExit> compared = compareWithFleet(session, options, files);
    if (!compared) {
        return compared.error();
    }
    const auto &[state, changes] = *compared;
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("revision", state.revision().value);
    object.set("changes", changesJson(changes));
    printResult(options,
        changesText(options, changes) + "against revision " + std::to_string(state.revision().value) + "\n", object);
    return CtlExit::Done;
}

CtlExit ctlApply(CtlSession &session, const CtlOptions &options, const Words &files)
{
    const tl::expected<Comparison, CtlExit> compared = compareWithFleet(session, options, files);
    if (!compared) {
        return compared.error();
    }
    const auto &[state, changes] = *compared;
    const std::uint64_t expected = options.expectedRevision.value_or(state.revision().value);
    const bool named = options.expectedRevision.has_value() || !options.requestId.empty();
    const Result<SubmitResult> submitted = changes.empty() && !named
        ? SubmitResult{state.index(), expected}
        : submitChanges(session, options, expected, changes);
    if (!submitted) {
        return printError(options, submitted.error());
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("revision", submitted->revision);
    object.set("changes", changesJson(changes));
    const std::string text =
        changesText(options, changes) + "revision " + std::to_string(submitted->revision) + " accepted\n";
    return finishAfterRollout(session, options, *submitted, text, object);
}

} // namespace Chestnuthook
