/** @file worker_pool_base.h  Threads that run calls and other work that may block. */
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
    /** Runs @p work on a thread of its own. Errors: Overloaded, with ran = no. */
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

    /** Waits until all work is done. */
    void join()
    {
        this->pool.joinAll();
    }

private:
    /** Owns itself until it has run. */
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
        std::function<void()> work; ///< What to do.
    };

    static constexpr int MaxThreads = 1024;
    static constexpr int IdleSeconds = 30;
    static constexpr int StackBytes = 256 * 1024;

    Poco::ThreadPool pool{2, MaxThreads, IdleSeconds, StackBytes}; ///< The threads.
};

} // namespace Chestnuthook
