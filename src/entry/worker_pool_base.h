/** @file worker_pool_base.h  A thread pool for calls and other blocking work. */
#pragma once

#include <functional>
#include <string>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

#include "core/error_type.h"
#include "observe/log_func.h"

namespace Chestnuthook
{

/** Thread-safe. */
class WorkerPool
{
public:
    /** Runs @p work on a thread of the pool. Errors: Overloaded if no thread is free; @p work is then not run. */
    Result<void> run(std::function<void()> work)
    {
        auto *task = new Task(std::move(work));
        try {
            this->pool.start(*task);
        } catch (const Poco::Exception &exception) {
            delete task;
            return fail(ErrorKind::Overloaded, "no thread is free: " + exception.displayText());
        }
        return {};
    }

    /** Waits until all submitted work has finished. */
    void join()
    {
        this->pool.joinAll();
    }

private:
    /** Deletes itself after it has run. */
    class Task final : public Poco::Runnable
    {
    public:
        explicit Task(std::function<void()> work)
            : work(std::move(work))
        {
        }
        void run() override
        {
            try {
                this->work();
            } catch (const std::exception &exception) {
                logEvent(EventKind::ChildFailed, {{"child", "worker"}, {"error", exception.what()}});
            }
            delete this;
        }

    private:
        std::function<void()> work; ///< The function to run.
    };

    static constexpr int MaxThreads = 1024;
    static constexpr int IdleTimeoutSeconds = 30;
    static constexpr int StackBytes = 256 * 1024;

    Poco::ThreadPool pool{2, MaxThreads, IdleTimeoutSeconds, StackBytes}; ///< The worker threads.
};

} // namespace Chestnuthook
