/** @file control_loop_base.cpp  Runs the event loop, the signal handlers and the timers of the control thread. */
#include "rpc/control_loop_base.h"

#include <csignal>

#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

/** Resolution of the timer service. */
constexpr auto TickInterval = 10 * kj::MILLISECONDS;
/** After this many events in a row the loop checks timers, signals and other sockets. Without a limit it checks them
 * only when no event is left, which never happens while a peer sends faster than its bytes are read. */
constexpr unsigned MaxEventsBetweenPolls = 64;

/** Calls @p callback and logs its exception, which must not end what calls it again and again. */
template<typename Callback>
void callAndLogFailure(const char *what, const Callback &callback)
{
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions(callback)) {
        logEvent(EventKind::ChildFailed, {{"child", what}, {"error", exception->getDescription().cStr()}});
    }
}

} // namespace

ControlLoop::ControlLoop(const std::string &secret, std::string localName)
    : io(kj::setupAsyncIo())
    , executor(kj::getCurrentThreadExecutor())
    , rpcContext{this->io.provider->getNetwork(), this->io.provider->getTimer(),
          FleetSecurity(secret, fleetSecurityFiles()), std::move(localName)}
    , tasks(this->failures)
    , stopped(nullptr)
{
    this->io.waitScope.setBusyPollInterval(MaxEventsBetweenPolls);
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->stopped = kj::mv(paf.promise);
    this->stopFulfiller = kj::mv(paf.fulfiller);
}

void ControlLoop::captureSignals()
{
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    kj::UnixEventPort::captureSignal(SIGHUP);
    std::signal(SIGPIPE, SIG_IGN);
}

void ControlLoop::run()
{
    this->tasks.add(this->tick());
    this->stopped.wait(this->io.waitScope);
}

void ControlLoop::stop()
{
    this->stopFulfiller->fulfill();
}

void ControlLoop::onTerminate(std::function<void()> action)
{
    this->tasks.add(this->waitForTermination(std::move(action)));
}

kj::Promise<void> ControlLoop::waitForTermination(std::function<void()> action)
{
    auto terminate = this->io.unixEventPort.onSignal(SIGTERM).ignoreResult();
    auto interrupt = this->io.unixEventPort.onSignal(SIGINT).ignoreResult();
    return terminate.exclusiveJoin(kj::mv(interrupt)).then([action = std::move(action)]() {
        action();
    });
}

void ControlLoop::onReload(std::function<void()> action)
{
    this->tasks.add(this->waitForReload(std::move(action)));
}

kj::Promise<void> ControlLoop::waitForReload(std::function<void()> action)
{
    return this->io.unixEventPort.onSignal(SIGHUP).then([this, action = std::move(action)](auto && /*info*/) {
        callAndLogFailure("reload", action);
        return this->waitForReload(action);
    });
}

void ControlLoop::detach(kj::Promise<void> promise)
{
    this->tasks.add(kj::mv(promise));
}

kj::Promise<void> ControlLoop::tick()
{
    const Instant start = this->timerService.now();
    return this->io.provider->getTimer().afterDelay(TickInterval).then([this, start]() {
        logIfSlow("event loop", this->timerService.now() - start);
        callAndLogFailure("timer", [this]() {
            this->timerService.runDue(); // After an exception the next tick runs the other timers that are due.
        });
        return this->tick();
    });
}

void ControlLoop::FailureLogger::taskFailed(kj::Exception &&exception)
{
    logEvent(EventKind::ChildFailed, {{"child", "background"}, {"error", exception.getDescription().cStr()}});
}

} // namespace Chestnuthook
