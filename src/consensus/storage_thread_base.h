/** @file storage_thread_base.h  Runs the blocking writes of a member on their own thread. All queued batches are
 * written with one sync. */
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

#include <kj/async.h>

#include "consensus/raft_storage_base.h"

namespace Chestnuthook
{

/** Created, used and destroyed on the control thread. A failed write or sync terminates the process: the content of the
 * disk is then unknown, and a later successful sync would not prove that the earlier data is durable. A write for which
 * the disk has no room is undone and tried again; nothing is reported as durable until it has succeeded.
 *
 * A compaction contains all that was queued before it. It replaces these jobs if the disk is full, or if an earlier
 * compaction is still queued, so that a slow disk doesn't let the queue grow beyond the log of two snapshot intervals.
 */
class StorageThread
{
public:
    /** @p onSynced is called on the control thread with the number of the newest durable batch. */
    StorageThread(RaftStorage &storage, std::function<void(std::uint64_t)> onSynced);
    StorageThread(const StorageThread &) = delete;
    StorageThread &operator=(const StorageThread &) = delete;

    /** Writes all queued jobs, unless the disk is full, then stops the thread. */
    ~StorageThread();

    void write(RaftActions actions);
    void compact(RaftCompaction compaction);

    /** Whether a write waits for room on the disk. */
    [[nodiscard]] bool isDiskFull() const
    {
        return this->diskFull;
    }
    /** Whether a compaction is queued or running. */
    [[nodiscard]] bool isCompacting() const
    {
        return this->compactions != 0;
    }

private:
    struct Compaction
    {
        RaftCompaction content; ///< What to persist.
        std::uint64_t replacedBatch = 0; ///< Newest batch that it replaces; 0 for none.
    };
    using Job = std::variant<RaftActions, Compaction>;

    /** Jobs that are run together: batches, or one compaction. */
    struct Step
    {
        std::vector<RaftActions> batches; ///< Empty for a compaction.
        std::optional<Compaction> compaction; ///< Empty for batches.
        std::uint64_t newestBatch = 0; ///< Newest batch that is durable after it; 0 for none.
    };
    using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run();
    void enqueue(Job job);
    /** Takes the first jobs from the queue, which must not be empty. */
    Step takeStep();
    /** @return false, without any effect, if the disk has no room. */
    bool runStep(const Step &step);
    /** Waits until @p step may be tried again. @return false if it must not: a compaction has replaced it, or the
     * thread stops. */
    bool waitForRoom(const Step &step);
    /** Lets the newest queued compaction, if any, replace the jobs before it. @return that compaction. */
    Compaction *dropReplacedJobs();
    void notifySynced(std::uint64_t batch);
    kj::Promise<void> listenForSyncs();

    RaftStorage &storage; ///< Outlives this; used by the storage thread only.
    std::function<void(std::uint64_t)> onSynced; ///< Called on the control thread.
    std::mutex mutex; ///< Guards the queue, `stopping`, `syncedBatch` and `fulfiller`; not held during I/O.
    std::condition_variable jobAvailable; ///< Signalled on new jobs and on stop.
    std::deque<Job> queue; ///< Jobs to run, in order.
    std::atomic<unsigned> compactions{0}; ///< Number of compactions that are queued or running.
    std::atomic<bool> diskFull{false}; ///< See `isDiskFull`.
    bool stopping = false; ///< The thread ends once the queue is empty.
    std::uint64_t syncedBatch = 0; ///< Newest durable batch.
    Fulfiller fulfiller; ///< Notifies the control thread; null once used.
    kj::Promise<void> syncListener; ///< Receives the notifications on the control thread.
    std::thread thread; ///< Declared last, so that it starts after all other members exist.
};

} // namespace Chestnuthook
