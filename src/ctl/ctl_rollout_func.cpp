/** @file ctl_rollout_func.cpp  Compares the log index that the entries have reached with that of a change. */
#include "ctl/ctl_rollout_func.h"

#include "ctl/ctl_status_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto RolloutPollInterval = std::chrono::milliseconds(100);

/** Progress of a change on its way to the entries. */
struct RolloutStatus
{
    bool confirmed = false; ///< The list of entries was confirmed by a quorum.
    std::size_t entries = 0; ///< Number of entries with a lease.
    std::vector<EntrySummary> lagging; ///< Entries that haven't reached the change.
};

RolloutStatus readRolloutStatus(CtlSession &session, const CtlOptions &options, std::uint64_t index)
{
    const FleetSummary summary = readFleetSummary(session, options.controls);
    RolloutStatus status;
    status.confirmed = summary.confirmed;
    status.entries = summary.entries.size();
    for (const EntrySummary &entry : summary.entries) {
        if (entry.haveIndex < index) {
            status.lagging.push_back(entry);
        }
    }
    return status;
}

RolloutStatus waitForRollout(CtlSession &session, const CtlOptions &options, std::uint64_t index)
{
    const auto deadline = std::chrono::steady_clock::now() + options.wait;
    while (true) {
        RolloutStatus status = readRolloutStatus(session, options, index);
        const bool done = status.confirmed && status.lagging.empty();
        if (done || std::chrono::steady_clock::now() >= deadline) {
            return status;
        }
        session.pause(RolloutPollInterval);
    }
}

} // namespace

CtlExit finishAfterRollout(CtlSession &session, const CtlOptions &options, const SubmitResult &change, std::string text,
    Poco::JSON::Object object)
{
    const RolloutStatus status = waitForRollout(session, options, change.index);
    const bool inForce = status.confirmed && status.lagging.empty();
    Poco::JSON::Array names;
    for (const EntrySummary &entry : status.lagging) {
        names.add(entry.id);
        text += entry.id + " lags: it holds index " + std::to_string(entry.haveIndex) + " of "
            + std::to_string(change.index) + ", heard " + std::to_string(entry.heardMsAgo) + " ms ago\n";
    }
    text += inForce ? status.entries == 0 ? "accepted; no entry holds a lease yet\n" : "in force on all entries\n"
                    : "accepted, not yet known to be in force everywhere; remedy: look at `status` and wait; an entry "
                      "that isn't heard admits nothing after 3 s\n";
    object.set("in_force", inForce);
    object.set("lagging", names);
    printResult(options, text, object);
    return inForce ? CtlExit::Done : CtlExit::NotInForce;
}

} // namespace Chestnuthook
