/** @file storage_thread_base.h  Runs the blocking writes of a member on their own thread. All queued batches are
 * written with one write and one sync. */
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>

#include <kj/async.h>

#include "consensus/raft_storage_base.h"

namespace Chestnuthook
{

/** Created, used and destroyed on the control thread. A failed write or sync terminates the process: the content of the
 * disk is then unknown, and a later successful sync would not prove that the earlier data is durable. */
class StorageThread
{
public:
    /** @p onSynced is called on the control thread with the number of the newest durable batch. */
    StorageThread(RaftStorage &storage, std::function<void(std::uint64_t)> onSynced);
    StorageThread(const StorageThread &) = delete;
    StorageThread &operator=(const StorageThread &) = delete;

    /** Writes all queued jobs, then stops the thread. */
    ~StorageThread();

    void write(RaftActions actions);
    void compact(RaftCompaction compaction);

private:
    using Job = std::variant<RaftActions, RaftCompaction>;
    using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run();
    void enqueue(Job job);
    void runJobs(std::deque<Job> jobs);
    void notifySynced(std::uint64_t batch);
    kj::Promise<void> listenForSyncs();

    RaftStorage &storage; ///< Outlives this; used by the storage thread only.
    std::function<void(std::uint64_t)> onSynced; ///< Called on the control thread.
    std::mutex mutex; ///< Guards the queue, `stopping`, `syncedBatch` and `fulfiller`; not held during I/O.
    std::condition_variable jobAvailable; ///< Signalled on new jobs and on stop.
    std::deque<Job> queue; ///< Jobs to run, in order.
    bool stopping = false; ///< The thread ends once the queue is empty.
    std::uint64_t syncedBatch = 0; ///< Newest durable batch.
    Fulfiller fulfiller; ///< Notifies the control thread; null once used.
    kj::Promise<void> syncListener; ///< Receives the notifications on the control thread.
    std::thread thread; ///< Declared last, so that it starts after all other members exist.
};

} // namespace Chestnuthook
