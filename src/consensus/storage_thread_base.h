/** @file storage_thread_base.h  Runs the syncs of a member on a thread of their own: all that waits is written by one
 * write and one sync. */
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

/** Made, used and ended on the control thread. A failed write or sync ends the process: what the disk holds is unknown
 * then, and a later sync that works would not mean that earlier data lasts. */
class StorageThread
{
public:
    /** @p onSynced is called on the control thread with the number of the newest batch that lasts. */
    StorageThread(RaftStorage &storage, std::function<void(std::uint64_t)> onSynced);
    StorageThread(const StorageThread &) = delete;
    StorageThread &operator=(const StorageThread &) = delete;

    /** Writes what waits, then ends the thread. */
    ~StorageThread();

    void write(RaftActions actions);
    void compact(RaftCompaction compaction);

private:
    using Job = std::variant<RaftActions, RaftCompaction>;
    using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run();
    void add(Job job);
    void runJobs(std::deque<Job> jobs);
    void notify(std::uint64_t batch);
    kj::Promise<void> listen();

    RaftStorage &storage; ///< Outlives this; used by the thread only.
    std::function<void(std::uint64_t)> onSynced; ///< Called on the control thread.
    std::mutex mutex; ///< Guards what follows; not held over I/O.
    std::condition_variable wake; ///< Jobs came, or the end.
    std::deque<Job> waiting; ///< In order.
    bool ending = false; ///< The thread ends once nothing waits.
    std::uint64_t syncedBatch = 0; ///< Newest batch that lasts.
    Fulfiller fulfiller; ///< Wakes the control thread; null once used.
    kj::Promise<void> listening; ///< The control thread's wait.
    std::thread thread; ///< Last, so that all else is there when it starts.
};

} // namespace Chestnuthook
