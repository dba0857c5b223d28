/** @file history_member_base.h  One history member: serves its table to gateways, syncs before it acknowledges, and
 * copies what the others hold when it joins. */
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <kj/async.h>

#include "deployment/deployment_watcher_base.h"
#include "history/history_log_base.h"
#include "history/history_table_base.h"
#include "rpc/control_loop_base.h"
#include "rpc/history.capnp.h"

namespace Chestnuthook
{

/** For the control thread. */
class HistoryMemberDaemon
{
public:
    HistoryMemberDaemon(ControlLoop &loop, DeploymentWatcher &watcher);

    /** Errors: StorageFailed, StorageCorrupt. */
    [[nodiscard]] Result<void> open(const std::string &folder, const std::string &name);
    void start();
    /** To be called after each update of the watcher. */
    void onViewChanged();

    [[nodiscard]] Wire::HistoryStore::Client makeService();
    [[nodiscard]] const std::string &identity() const
    {
        return this->ownIdentity;
    }
    /** View for which all is copied; 0 for none. */
    [[nodiscard]] std::uint64_t copiedView() const
    {
        return this->copied;
    }
    /** Called with the error when the folder can't be written any more. */
    std::function<void(const Error &)> onStorageFailed;

    // For the HistoryStore service.
    /** Whether a call for @p calledIdentity under @p view may be served; takes notice of a newer view. */
    [[nodiscard]] Wire::HistoryStatus check(const std::string &calledIdentity, std::uint64_t view);
    void add(const HistoryRecord &record);
    /** Resolves once all that was added lasts. */
    [[nodiscard]] kj::Promise<void> synced();

    HistoryTable table; ///< What this member holds; the log holds the same.

private:
    kj::Promise<void> copyAll(std::uint64_t version);
    kj::Promise<void> copyFrom(HistoryMember from, std::uint64_t version, std::uint64_t position);
    void syncNow();

    ControlLoop &loop; ///< Outlives this.
    DeploymentWatcher &watcher; ///< Outlives this.
    std::string ownIdentity; ///< Of the data folder.
    HistoryLog log; ///< The durable records.
    std::uint64_t copied = 0; ///< View for which all is copied.
    std::uint64_t copying = 0; ///< View for which a copy is under way; 0 for none.
    std::set<std::string> copiedFrom; ///< Members whose records are here, for `copying`.
    kj::Maybe<kj::ForkedPromise<void>> syncing; ///< The next sync, while it is planned.
    TimerSubscription expiring; ///< Drops what has expired.
};

} // namespace Chestnuthook
