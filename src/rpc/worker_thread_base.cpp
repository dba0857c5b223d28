/** @file worker_thread_base.cpp  Job loop of a worker thread. */
#include "rpc/worker_thread_base.h"

namespace Chestnuthook
{

WorkerThread::~WorkerThread()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
    }
    this->jobAvailable.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void WorkerThread::enqueue(kj::Function<void()> job)
{
    {
        const std::lock_guard lock(this->mutex);
        this->jobs.push_back(kj::mv(job));
    }
    if (!this->thread.joinable()) {
        this->thread = std::thread([this]() {
            this->runJobs();
        });
    }
    this->jobAvailable.notify_one();
}

void WorkerThread::runJobs()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->jobAvailable.wait(lock, [this]() {
            return this->isStopping || !this->jobs.empty();
        });
        if (this->isStopping) {
            return;
        }
        kj::Function<void()> job = kj::mv(this->jobs.front());
        this->jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace Chestnuthook
