/** @file ctl_drain_func.cpp  drain: sets an entry's state, which the entry follows. */
#include "ctl/ctl_submit_func.h"
#include "ctl/ctl_verb_func.h"

namespace Chestnuthook
{

namespace
{

/** The live record of the entry whose id or name (the id before the last `.`) is @p name. */
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
        return complain(options, state.error());
    }
    const EntryRecord *entry = findEntry(*state, words[0]);
    if (entry == nullptr) {
        return complain(options, Error{ErrorKind::NotFound, "no entry " + words[0] + " holds a lease", Ran::No, 0});
    }
    CommandMessage message;
    auto change = initCommand(message, options).initSetEntryState();
    change.setEntry(entry->id.text);
    change.setEpoch(entry->epoch.value);
    change.setState(Wire::EntryState::DRAINING);
    const Result<Submitted> submitted = submitCommand(session, message);
    if (!submitted) {
        return complain(options, submitted.error());
    }
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("entry", entry->id.text);
    object.set("state", "draining");
    printResult(options, "entry " + entry->id.text + " drains; see status until it is gone\n", object);
    return CtlExit::Done;
}

} // namespace Chestnuthook
