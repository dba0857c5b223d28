/** @file history_log_thread_base.cpp  Job loop of the thread and its notifications to the control thread. */
#include "history/history_log_thread_base.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "core/timer_type.h"
#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

HistoryLogThread::HistoryLogThread(HistoryLog &log, std::function<void(const Progress &)> onProgress)
    : log(log)
    , onProgress(std::move(onProgress))
    , listener(this->listen())
    , thread([this]() {
        this->run();
    })
{
}

HistoryLogThread::~HistoryLogThread()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->jobAvailable.notify_one();
    this->thread.join();
}

void HistoryLogThread::write(std::uint64_t batch, std::vector<LogRecord> records)
{
    {
        const std::lock_guard lock(this->mutex);
        this->queue.insert(
            this->queue.end(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
        this->queuedBatch = batch;
    }
    this->jobAvailable.notify_one();
}

void HistoryLogThread::removeExpired(std::uint64_t nowMs)
{
    {
        const std::lock_guard lock(this->mutex);
        this->expiredBefore = nowMs;
    }
    this->jobAvailable.notify_one();
}

void HistoryLogThread::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->jobAvailable.wait(lock, [this]() {
            return this->stopping || !this->queue.empty() || this->expiredBefore != 0;
        });
        const bool isDone = this->queue.empty() && this->expiredBefore == 0;
        if (isDone || !this->progress.outcome) {
            return;
        }
        const std::vector<LogRecord> records = std::exchange(this->queue, {});
        const std::uint64_t expiredBeforeMs = std::exchange(this->expiredBefore, 0);
        const std::uint64_t batch = this->queuedBatch;
        lock.unlock();
        std::vector<PlacedTurn> placed;
        Result<void> done = this->runJobs(records, expiredBeforeMs, placed);
        lock.lock();
        this->progress.outcome = std::move(done);
        this->progress.logBytes = this->log.bytes();
        if (this->progress.outcome) {
            this->progress.syncedBatch = batch;
            std::move(placed.begin(), placed.end(), std::back_inserter(this->progress.placed));
        }
        const auto waiting = kj::mv(this->fulfiller);
        lock.unlock();
        if (waiting.get() != nullptr) {
            waiting->fulfill();
        }
        lock.lock();
    }
}

Result<void> HistoryLogThread::runJobs(
    const std::vector<LogRecord> &records, std::uint64_t expiredBeforeMs, std::vector<PlacedTurn> &placed)
{
    const auto start = std::chrono::steady_clock::now();
    for (const LogRecord &record : records) {
        const RecordLocation location = this->log.append(record.bytes, record.expiresMs);
        if (!record.turn.empty()) {
            placed.push_back({record.turn, location});
        }
    }
    Result<void> done = records.empty() ? Result<void>() : this->log.sync();
    logIfSlow("history sync", std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start));
    if (done && expiredBeforeMs != 0) { // Segments that can't be deleted lose nothing, so the member goes on.
        const Result<void> removed = this->log.removeExpired(expiredBeforeMs);
        if (!removed) {
            logEvent(EventKind::StorageFault, {{"error", errorText(removed.error())}});
        }
    }
    return done;
}

kj::Promise<void> HistoryLogThread::listen()
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::lock_guard lock(this->mutex);
        this->fulfiller = kj::mv(pair.fulfiller);
    }
    return pair.promise
        .then([this]() {
            auto next = this->listen(); // Before the progress is read, so that no notification is lost.
            Progress current;
            {
                const std::lock_guard lock(this->mutex);
                current = this->progress;
                this->progress.placed.clear();
            }
            this->onProgress(current);
            return next;
        })
        .eagerlyEvaluate(nullptr);
}

} // namespace Chestnuthook
