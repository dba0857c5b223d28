/** @file control_loop_base.h  Event loop of a daemon's control thread: RPC, timers, signals and calls from traffic
 * threads. */
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

/** Created and run on one thread, the control thread. Only `call` is for other threads. */
class ControlLoop
{
public:
    ControlLoop(const std::string &secret, std::string localName);
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Blocks SIGTERM, SIGINT and SIGHUP in all threads started later, so that the event loop receives them, and
     * ignores SIGPIPE. Call it first in main. */
    static void captureSignals();

    /** Runs until `stop` is called. */
    void run();

    /** Ends `run`. For the control thread only. */
    void stop();

    /** Calls @p action on the first SIGTERM or SIGINT. */
    void onTerminate(std::function<void()> action);

    /** Calls @p action on each SIGHUP. */
    void onReload(std::function<void()> action);

    /** Runs @p function on the control thread and waits for its result, or for that of the promise it returns. For
     * traffic threads only. @throws kj::Exception if it fails or the loop has ended. */
    template<typename Function>
    auto call(Function &&function) const
    {
        return this->executor.executeSync(std::forward<Function>(function));
    }

    /** Runs the loop until @p promise is done; for tools, in place of `run`. @throws kj::Exception if it fails. */
    template<typename T>
    T wait(kj::Promise<T> promise)
    {
        return promise.wait(this->io.waitScope);
    }

    /** Runs @p promise in the background and logs its failure. */
    void detach(kj::Promise<void> promise);

    [[nodiscard]] TimerService &timers()
    {
        return this->timerService;
    }
    [[nodiscard]] RpcContext &rpc()
    {
        return this->rpcContext;
    }
    /** Wraps sockets that were created without kj. */
    [[nodiscard]] kj::LowLevelAsyncIoProvider &sockets()
    {
        return *this->io.lowLevelProvider;
    }
    [[nodiscard]] kj::Timer &kjTimer()
    {
        return this->io.provider->getTimer();
    }

private:
    kj::Promise<void> tick();
    kj::Promise<void> waitForTermination(std::function<void()> action);
    kj::Promise<void> waitForReload(std::function<void()> action);

    struct FailureLogger final : kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception &&exception) override;
    };

    kj::AsyncIoContext io; ///< The event loop.
    const kj::Executor &executor; ///< Runs functions for other threads.
    SteadyTimer timerService; ///< Timers, fired by `tick`.
    RpcContext rpcContext; ///< Shared by all links and ports.
    FailureLogger failures; ///< Logs failed background work.
    kj::TaskSet tasks; ///< Background promises.
    kj::Own<kj::PromiseFulfiller<void>> stopFulfiller; ///< Ends `run`.
    kj::Promise<void> stopped; ///< Resolved by `stop`; `run` waits for it.
};

} // namespace Chestnuthook
