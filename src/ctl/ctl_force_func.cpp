/** @file ctl_force_func.cpp  Compares what entries say to hold with a change's log index. */
#include "ctl/ctl_force_func.h"

#include "ctl/ctl_status_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto ForcePollPeriod = std::chrono::milliseconds(100);

/** What is known of a change's force. */
struct ForceOutcome
{
    bool confirmed = false; ///< A quorum confirmed the list of entries.
    std::size_t entries = 0; ///< Entries with a lease.
    std::vector<EntryGlance> lagging; ///< Entries that hold an older copy.
};

ForceOutcome readForce(CtlSession &session, const CtlOptions &options, std::uint64_t index)
{
    const FleetGlance glance = readGlance(session, options.controls);
    ForceOutcome outcome;
    outcome.confirmed = glance.confirmed;
    outcome.entries = glance.entries.size();
    for (const EntryGlance &entry : glance.entries) {
        if (entry.haveIndex < index) {
            outcome.lagging.push_back(entry);
        }
    }
    return outcome;
}

ForceOutcome waitForForce(CtlSession &session, const CtlOptions &options, std::uint64_t index)
{
    const auto until = std::chrono::steady_clock::now() + options.wait;
    while (true) {
        ForceOutcome outcome = readForce(session, options, index);
        const bool done = outcome.confirmed && outcome.lagging.empty();
        if (done || std::chrono::steady_clock::now() >= until) {
            return outcome;
        }
        session.pause(ForcePollPeriod);
    }
}

} // namespace

CtlExit finishInForce(CtlSession &session, const CtlOptions &options, const Submitted &change, std::string text,
    Poco::JSON::Object object)
{
    const ForceOutcome outcome = waitForForce(session, options, change.index);
    const bool inForce = outcome.confirmed && outcome.lagging.empty();
    Poco::JSON::Array names;
    for (const EntryGlance &entry : outcome.lagging) {
        names.add(entry.id);
        text += entry.id + " lags: it holds index " + std::to_string(entry.haveIndex) + " of "
            + std::to_string(change.index) + ", heard " + std::to_string(entry.heardMsAgo) + " ms ago\n";
    }
    text += inForce ? outcome.entries == 0 ? "accepted; no entry holds a lease yet\n" : "in force on all entries\n"
                    : "accepted, not yet known to be in force everywhere; remedy: look at `status` and wait; an entry "
                      "that isn't heard admits nothing after 3 s\n";
    object.set("in_force", inForce);
    object.set("lagging", names);
    printResult(options, text, object);
    return inForce ? CtlExit::Done : CtlExit::NotInForce;
}

} // namespace Chestnuthook
