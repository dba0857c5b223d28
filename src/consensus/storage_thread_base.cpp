/** @file storage_thread_base.cpp  The storage thread. */
#include "consensus/storage_thread_base.h"

#include <utility>
#include <vector>

#include <unistd.h>

#include "observe/log_func.h"
#include "table/error_table.h"

namespace Chestnuthook
{

namespace
{

void endWhereFailed(const Result<void> &done)
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
    , listening(this->listen())
    , thread([this]() {
        this->run();
    })
{
}

StorageThread::~StorageThread()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->ending = true;
    }
    this->wake.notify_one();
    this->thread.join();
}

void StorageThread::write(RaftActions actions)
{
    this->add(std::move(actions));
}

void StorageThread::compact(RaftCompaction compaction)
{
    this->add(std::move(compaction));
}

void StorageThread::add(Job job)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->waiting.push_back(std::move(job));
    }
    this->wake.notify_one();
}

void StorageThread::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        this->wake.wait(lock, [this]() {
            return this->ending || !this->waiting.empty();
        });
        if (this->waiting.empty()) {
            return;
        }
        std::deque<Job> jobs = std::exchange(this->waiting, {});
        lock.unlock();
        this->runJobs(std::move(jobs));
        lock.lock();
    }
}

void StorageThread::runJobs(std::deque<Job> jobs)
{
    std::vector<RaftActions> batches;
    const auto writeBatches = [&]() {
        if (!batches.empty()) {
            endWhereFailed(this->storage.write(batches));
            this->notify(batches.back().batch);
            batches.clear();
        }
    };
    for (Job &job : jobs) {
        if (auto *actions = std::get_if<RaftActions>(&job)) {
            batches.push_back(std::move(*actions));
        } else {
            writeBatches();
            endWhereFailed(this->storage.compact(std::get<RaftCompaction>(job)));
        }
    }
    writeBatches();
}

void StorageThread::notify(std::uint64_t batch)
{
    Fulfiller waker;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->syncedBatch = batch;
        waker = kj::mv(this->fulfiller);
    }
    if (waker.get() != nullptr) {
        waker->fulfill();
    }
}

kj::Promise<void> StorageThread::listen()
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->fulfiller = kj::mv(pair.fulfiller);
    }
    return pair.promise
        .then([this]() {
            auto again = this->listen(); // Before the number is read, so that no notice is lost.
            std::uint64_t batch = 0;
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                batch = this->syncedBatch;
            }
            this->onSynced(batch);
            return again;
        })
        .eagerlyEvaluate(nullptr);
}

} // namespace Chestnuthook
