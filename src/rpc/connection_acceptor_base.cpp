/** @file connection_acceptor_base.cpp  Accepts the connections of a port within the process's limit of descriptors. */
#include "rpc/connection_acceptor_base.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include "observe/log_func.h"

namespace Chestnuthook
{

namespace
{

/** Pause after an error, which usually lasts until other connections are closed. */
constexpr auto RetryDelay = 20 * kj::MILLISECONDS;
/** One in this many descriptors is kept for files and outgoing connections. */
constexpr rlim_t ReservedShare = 4;

/** Whether a descriptor with number @p descriptor is one of those that accepted connections must leave free. The
 * kernel assigns the lowest free number. */
bool isReserved(int descriptor)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return false;
    }
    return static_cast<rlim_t>(descriptor) >= limit.rlim_cur - limit.rlim_cur / ReservedShare;
}

/** Whether the next descriptor would be a reserved one. */
bool areDescriptorsShort()
{
    const int next = ::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);
    if (next < 0) {
        return errno == EMFILE || errno == ENFILE;
    }
    ::close(next);
    return isReserved(next);
}

} // namespace

ConnectionAcceptor::ConnectionAcceptor(
    kj::Timer &timer, kj::Own<kj::ConnectionReceiver> receiver, Handler handler, std::function<void()> onShortage)
    : timer(timer)
    , receiver(kj::mv(receiver))
    , handler(std::move(handler))
    , onShortage(std::move(onShortage))
{
}

kj::Promise<void> ConnectionAcceptor::run()
{
    auto accepted = kj::evalNow([this]() {
        return this->receiver->accept();
    });
    return accepted
        .then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            bool mustWait = false;
            KJ_IF_MAYBE (descriptor, stream->getFd()) {
                mustWait = isReserved(*descriptor) && areDescriptorsShort();
            }
            this->handler(kj::mv(stream));
            this->isFailing = false;
            this->isShort = this->isShort && mustWait;
            return mustWait;
        })
        .catch_([this](kj::Exception &&exception) {
            this->logFailure(exception);
            if (this->onShortage) { // The limit may be one that the process can't see.
                this->onShortage();
            }
            return true;
        })
        .then([this](bool mustWait) {
            return mustWait ? this->awaitDescriptors() : kj::Promise<void>(kj::READY_NOW);
        })
        .then([this]() {
            return this->run();
        });
}

void ConnectionAcceptor::logShortage()
{
    if (!std::exchange(this->isShort, true)) {
        rlimit limit{};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        const int next = ::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);
        ::close(next);
        logEvent(EventKind::ConnectionFailed,
            {{"peer", "not accepted yet"}, {"error", "descriptors are short"}, {"next", std::to_string(next)},
                {"limit", std::to_string(limit.rlim_cur)}});
    }
}

kj::Promise<void> ConnectionAcceptor::awaitDescriptors()
{
    this->logShortage();
    return this->timer.afterDelay(RetryDelay).then([this]() {
        if (!areDescriptorsShort()) {
            return kj::Promise<void>(kj::READY_NOW);
        }
        if (this->onShortage) {
            this->onShortage();
        }
        return this->awaitDescriptors();
    });
}

void ConnectionAcceptor::logFailure(const kj::Exception &exception)
{
    if (!std::exchange(this->isFailing, true)) {
        logEvent(EventKind::ConnectionFailed, {{"peer", "not accepted"}, {"error", exception.getDescription().cStr()}});
    }
}

} // namespace Chestnuthook
