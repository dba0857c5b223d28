/** @file ctl_drain_func.cpp  The verb drain: sets the state of an entry to draining, to which the entry reacts. */
#include "ctl/ctl_submit_func.h"
#include "ctl/ctl_verb_func.h"

namespace Chestnuthook
{

namespace
{

/** Finds an entry with a lease by its id or its name, which is the id up to the last `.`. @return null if none matches.
 */
const EntryRecord *findEntry(const FleetState &state, const std::string &name)
{
    for (const auto &[id, row] : state.entries.all()) {
        if (!row.removed && (id.text == name || id.text.substr(0, id.text.rfind('.')) == name)) {
            return &row.record;
        }
    }
    return nullptr;
}

} // namespace

CtlExit ctlDrain(CtlSession &session, const CtlOptions &options, const Words &words)
{
    const Result<FleetState> state = session.readFleet();
    if (!state) {
        return printError(options, state.error());
    }
    const EntryRecord *entry = findEntry(*state, words[0]);
    if (entry == nullptr) {
        return printError(options, Error{ErrorKind::NotFound, "no entry " + words[0] + " holds a lease", Ran::No, 0});
    }
    CommandMessage message;
    auto change = initCommand(message, options).initSetEntryState();
    change.setEntry(entry->id.text);
    change.setEpoch(entry->epoch.value);
    change.setState(Wire::EntryState::DRAINING);
    const Result<SubmitResult> submitted = submitCommand(session, message);
    if (!submitted) {
        return printError(options, submitted.error());
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("entry", entry->id.text);
    object.set("state", "draining");
    printResult(options, "entry " + entry->id.text + " drains; see status until it is gone\n", object);
    return CtlExit::Done;
}

} // namespace Chestnuthook
