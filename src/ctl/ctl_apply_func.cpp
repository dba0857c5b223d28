/** @file ctl_apply_func.cpp  validate, diff and apply. */
#include "ctl/ctl_force_func.h"
#include "ctl/ctl_submit_func.h"
#include "ctl/ctl_verb_func.h"
#include "ctl/declaration_change_func.h"

namespace Chestnuthook
{

namespace
{

Result<Submitted> submitChanges(CtlSession &session, const CtlOptions &options, std::uint64_t expected,
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

/** What the files would change in the fleet. */
struct Comparison
{
    FleetState state; ///< As the fleet holds it now.
    std::vector<DeclarationChange> changes; ///< From it to the files.
};

/** Reads the files and the fleet; complains of what is wrong and gives the exit code for it. */
tl::expected<Comparison, CtlExit> compareWithFleet(CtlSession &session, const CtlOptions &options, const Words &files)
{
    const DeclarationFiles read = readDeclarations(files);
    if (!read.faults.empty()) {
        return tl::unexpected(complainAll(options, read.faults));
    }
    Result<FleetState> state = session.readFleet();
    if (!state) {
        return tl::unexpected(complain(options, state.error()));
    }
    std::vector<DeclarationChange> changes = declarationChanges(*state, read.items);
    return Comparison{std::move(*state), std::move(changes)};
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
    const Result<Submitted> submitted = changes.empty() && !named ? Submitted{state.index(), expected}
                                                                  : submitChanges(session, options, expected, changes);
    if (!submitted) {
        return complain(options, submitted.error());
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("revision", submitted->revision);
    object.set("changes", changesJson(changes));
    const std::string text =
        changesText(options, changes) + "revision " + std::to_string(submitted->revision) + " accepted\n";
    return finishInForce(session, options, *submitted, text, object);
}

} // namespace Chestnuthook
