/** @file worker_thread_base.h  A thread for computations that would hold up the event loop. Heartbeats, time limits and
 * requests of a process depend on its event loop, so work that grows with the size of a document runs here. */
#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <type_traits>
#include <utility>

#include <kj/async.h>
#include <kj/function.h>

namespace Chestnuthook
{

/** Used and destroyed on a thread that runs an event loop. The thread starts with the first job. */
class WorkerThread
{
public:
    WorkerThread() = default;
    WorkerThread(const WorkerThread &) = delete;
    WorkerThread &operator=(const WorkerThread &) = delete;
    /** Waits for the job that runs; the promises of those that have not begun fail. */
    ~WorkerThread();

    /** Runs @p job on the thread, after the jobs before it. @p job must not use what the calling thread may change.
     * The promise resolves on the calling thread with the result, or fails with the exception of @p job. */
    template<typename Job>
    [[nodiscard]] kj::Promise<std::shared_ptr<std::invoke_result_t<Job>>> run(Job job)
    {
        using Value = std::invoke_result_t<Job>;
        auto result = std::make_shared<std::optional<Value>>();
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        this->enqueue([job = std::move(job), result, fulfiller = kj::mv(pair.fulfiller)]() mutable {
            fulfiller->rejectIfThrows([&]() {
                *result = job();
                fulfiller->fulfill();
            });
        });
        return pair.promise.then([result]() {
            return std::shared_ptr<Value>(result, &**result);
        });
    }

private:
    void enqueue(kj::Function<void()> job);
    void runJobs();

    std::mutex mutex; ///< Guards `jobs` and `isStopping`; not held while a job runs.
    std::condition_variable jobAvailable; ///< Signalled on new jobs and on stop.
    std::deque<kj::Function<void()>> jobs; ///< Jobs that have not begun.
    bool isStopping = false; ///< The thread ends after the job that runs.
    std::thread thread; ///< Runs the jobs; not started before the first one.
};

} // namespace Chestnuthook
