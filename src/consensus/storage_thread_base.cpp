/** @file storage_thread_base.cpp  Job loop of the storage thread and its notifications to the control thread. */
#include "consensus/storage_thread_base.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <unistd.h>

#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

constexpr auto RoomPollInterval = std::chrono::milliseconds(100); ///< Between attempts to write to a full disk.

void exitOnFailure(const Result<void> &done)
{
    if (!done) {
        logEvent(EventKind::StorageFault, {{"error", errorText(done.error())}});
        flushObserve();
        ::_exit(errorRow(done.error().kind).exitCode);
    }
}

} // namespace

StorageThread::StorageThread(RaftStorage &storage, std::function<void(std::uint64_t)> onSynced)
    : storage(storage)
    , onSynced(std::move(onSynced))
    , syncListener(this->listenForSyncs())
    , thread([this]() {
        this->run();
    })
{
}

StorageThread::~StorageThread()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->jobAvailable.notify_one();
    this->thread.join();
}

void StorageThread::write(RaftActions actions)
{
    this->enqueue(std::move(actions));
}

void StorageThread::compact(RaftCompaction compaction)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const bool isLate = std::any_of(this->queue.begin(), this->queue.end(), [](const Job &job) {
            return std::holds_alternative<Compaction>(job);
        });
        ++this->compactions;
        this->queue.emplace_back(Compaction{std::move(compaction), 0});
        if (isLate) {
            this->dropReplacedJobs();
        }
    }
    this->jobAvailable.notify_one();
}

void StorageThread::enqueue(Job job)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->queue.push_back(std::move(job));
    }
    this->jobAvailable.notify_one();
}

StorageThread::Compaction *StorageThread::dropReplacedJobs()
{
    const auto newest = std::find_if(this->queue.rbegin(), this->queue.rend(), [](const Job &job) {
        return std::holds_alternative<Compaction>(job);
    });
    if (newest == this->queue.rend()) {
        return nullptr;
    }
    const auto replaced = std::prev(newest.base()) - this->queue.begin();
    auto &kept = std::get<Compaction>(*newest);
    for (std::ptrdiff_t i = 0; i < replaced; ++i) {
        const Job &job = this->queue[static_cast<std::size_t>(i)];
        if (const auto *older = std::get_if<Compaction>(&job)) {
            kept.replacedBatch = std::max(kept.replacedBatch, older->replacedBatch);
            --this->compactions;
        } else {
            kept.replacedBatch = std::max(kept.replacedBatch, std::get<RaftActions>(job).batch);
        }
    }
    this->queue.erase(this->queue.begin(), this->queue.begin() + replaced);
    return &std::get<Compaction>(this->queue.front());
}

void StorageThread::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        this->jobAvailable.wait(lock, [this]() {
            return this->stopping || !this->queue.empty();
        });
        if (this->queue.empty()) {
            return;
        }
        const Step step = this->takeStep();
        lock.unlock();
        bool isDone = this->runStep(step);
        while (!isDone && this->waitForRoom(step)) {
            isDone = this->runStep(step);
        }
        lock.lock();
        if (!isDone && this->stopping) {
            return;
        }
    }
}

StorageThread::Step StorageThread::takeStep()
{
    Step step;
    if (auto *compaction = std::get_if<Compaction>(&this->queue.front())) {
        step.newestBatch = compaction->replacedBatch;
        step.compaction = std::move(*compaction);
        this->queue.pop_front();
        return step;
    }
    while (!this->queue.empty() && std::holds_alternative<RaftActions>(this->queue.front())) {
        step.batches.push_back(std::move(std::get<RaftActions>(this->queue.front())));
        step.newestBatch = step.batches.back().batch;
        this->queue.pop_front();
    }
    return step;
}

bool StorageThread::runStep(const Step &step)
{
    const auto start = std::chrono::steady_clock::now();
    const Result<void> done =
        step.compaction ? this->storage.compact(step.compaction->content) : this->storage.write(step.batches);
    if (!done && this->storage.isDiskFull()) {
        if (!this->diskFull.exchange(true)) {
            logEvent(EventKind::StorageFault, {{"error", errorText(done.error())}, {"retried", "yes"}});
        }
        exitOnFailure(this->storage.recover());
        return false;
    }
    exitOnFailure(done);
    this->diskFull = false;
    if (step.compaction) {
        --this->compactions;
    } else {
        logIfSlow("log sync", std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start));
    }
    if (step.newestBatch != 0) {
        this->notifySynced(step.newestBatch);
    }
    return true;
}

bool StorageThread::waitForRoom(const Step &step)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->jobAvailable.wait_for(lock, RoomPollInterval, [this]() {
        return this->stopping;
    });
    Compaction *const replacement = this->dropReplacedJobs();
    if (replacement != nullptr) {
        replacement->replacedBatch = std::max(replacement->replacedBatch, step.newestBatch);
        this->compactions -= step.compaction ? 1 : 0;
    }
    return replacement == nullptr && !this->stopping;
}

void StorageThread::notifySynced(std::uint64_t batch)
{
    Fulfiller pendingFulfiller;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->syncedBatch = batch;
        pendingFulfiller = kj::mv(this->fulfiller);
    }
    if (pendingFulfiller.get() != nullptr) {
        pendingFulfiller->fulfill();
    }
}

kj::Promise<void> StorageThread::listenForSyncs()
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->fulfiller = kj::mv(pair.fulfiller);
    }
    return pair.promise
        .then([this]() {
            auto next = this->listenForSyncs(); // Before the batch is read, so that no notification is lost.
            std::uint64_t batch = 0;
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                batch = this->syncedBatch;
            }
            this->onSynced(batch);
            return next;
        })
        .eagerlyEvaluate(nullptr);
}

} // namespace Chestnuthook
