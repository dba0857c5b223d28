/** @file control_loop_base.h  The control thread of a daemon: Cap'n Proto's event loop, the timer service, signals, and
 * the way in for traffic threads. */
#pragma once

#include <string>
#include <utility>

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include "core/timer_base.h"
#include "rpc/rpc_link_base.h"

namespace Chestnuthook
{

[[nodiscard]] inline kj::Duration kjDuration(Duration duration)
{
    return duration.count() * kj::MICROSECONDS;
}

/** Made and run on one thread, the control thread. */
class ControlLoop
{
public:
    ControlLoop(const std::string &secret, std::string party);
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Blocks SIGTERM and SIGINT for all later threads; call it first in main. */
    static void captureSignals();

    /** Runs until `stop` is called. */
    void run();

    /** Ends `run`; for the control thread. */
    void stop();

    /** Calls @p action on the first SIGTERM or SIGINT. */
    void onTerminate(std::function<void()> action);

    /** Calls @p action on each SIGHUP. */
    void onReload(std::function<void()> action);

    /** Runs @p function on the control thread and waits for its result, or for that of the promise it returns. For
     * traffic threads only. @throws kj::Exception where it fails or the loop has ended. */
    template<typename Function>
    auto call(Function &&function) const
    {
        return this->executor.executeSync(std::forward<Function>(function));
    }

    /** Runs the loop until @p promise is done; for tools, in place of `run`. @throws kj::Exception where it fails. */
    template<typename T>
    T wait(kj::Promise<T> promise)
    {
        return promise.wait(this->io.waitScope);
    }

    /** Runs @p promise in the background; a failure of it is logged. */
    void detach(kj::Promise<void> promise);

    [[nodiscard]] TimerService &timers()
    {
        return this->timerService;
    }
    [[nodiscard]] RpcContext &rpc()
    {
        return this->rpcContext;
    }
    [[nodiscard]] kj::Timer &kjTimer()
    {
        return this->io.provider->getTimer();
    }

private:
    kj::Promise<void> tick();
    kj::Promise<void> waitForSignal(std::function<void()> action);
    kj::Promise<void> waitForReload(std::function<void()> action);

    struct LogFailures final : kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception &&exception) override;
    };

    kj::AsyncIoContext io; ///< The event loop.
    const kj::Executor &executor; ///< Way in for other threads.
    SteadyTimer timerService; ///< Run by `tick`.
    RpcContext rpcContext; ///< For links and ports.
    LogFailures failures; ///< Logs failed background work.
    kj::TaskSet tasks; ///< Background work.
    kj::Own<kj::PromiseFulfiller<void>> stopFulfiller; ///< Ends `run`.
    kj::Promise<void> stopped; ///< Waited for by `run`.
};

} // namespace Chestnuthook
