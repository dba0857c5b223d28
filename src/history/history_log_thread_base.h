/** @file history_log_thread_base.h  Thread that writes the log of a history member, so that a slow disk doesn't block
 * the member's event loop. */
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <kj/async.h>

#include "history/history_log_base.h"

namespace Chestnuthook
{

/** Created, used and destroyed on the control thread. After a failure nothing more is written. */
class HistoryLogThread
{
public:
    /** A record for the log. */
    struct LogRecord
    {
        std::string bytes; ///< The encoded record.
        std::uint64_t expiresMs = 0; ///< Wall clock, milliseconds since 1970.
        std::string turn = {}; ///< Id of the turn that the record holds; empty for other records.
    };
    /** A turn and its newest durable record. */
    struct PlacedTurn
    {
        std::string turn; ///< Id of the turn.
        RecordLocation location; ///< Where the log holds it.
    };
    /** Outcome of the jobs so far. */
    struct Progress
    {
        std::uint64_t syncedBatch = 0; ///< Newest durable batch.
        std::vector<PlacedTurn> placed; ///< Durable since the progress before.
        std::uint64_t logBytes = 0; ///< Size of the log.
        Result<void> outcome; ///< The first error.
    };

    /** @p onProgress is called on the control thread after a sync, and once after an error. */
    HistoryLogThread(HistoryLog &log, std::function<void(const Progress &)> onProgress);
    HistoryLogThread(const HistoryLogThread &) = delete;
    HistoryLogThread &operator=(const HistoryLogThread &) = delete;
    /** Writes all queued records, then stops the thread. */
    ~HistoryLogThread();

    /** Writes and syncs @p records. All that is queued while a sync runs is covered by the next one.
     * @param batch number of the batch, higher than that of the one before. */
    void write(std::uint64_t batch, std::vector<LogRecord> records);
    /** Deletes segments that have expired before @p nowMs, in milliseconds since 1970. */
    void removeExpired(std::uint64_t nowMs);

private:
    void run();
    Result<void> runJobs(
        const std::vector<LogRecord> &records, std::uint64_t expiredBeforeMs, std::vector<PlacedTurn> &placed);
    kj::Promise<void> listen();

    HistoryLog &log; ///< Outlives this; used by the thread only.
    std::function<void(const Progress &)> onProgress; ///< Called on the control thread.
    std::mutex mutex; ///< Guards the members below; not held during I/O.
    std::condition_variable jobAvailable; ///< Signalled on new jobs and on stop.
    std::vector<LogRecord> queue; ///< Records to write.
    std::uint64_t queuedBatch = 0; ///< Newest batch in `queue`, or written.
    std::uint64_t expiredBefore = 0; ///< Argument of a pending `removeExpired`; 0 for none.
    bool stopping = false; ///< The thread ends once the queue is empty.
    Progress progress; ///< Of the jobs that are done.
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> fulfiller; ///< Wakes the control thread; null once used.
    kj::Promise<void> listener; ///< Calls `onProgress`.
    std::thread thread; ///< Declared last, so that it starts after all other members exist.
};

} // namespace Chestnuthook
