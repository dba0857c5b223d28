/** @file connection_acceptor_base.h  Accepts the connections of a port, and goes on after errors such as a lack of
 * descriptors. */
#pragma once

#include <functional>

#include <kj/async-io.h>
#include <kj/timer.h>

namespace Chestnuthook
{

/** Accepts connections as long as enough descriptors remain for the process's own files and outgoing connections.
 * Otherwise clients wait in the kernel's queue. Must be used on the control thread only. */
class ConnectionAcceptor
{
public:
    /** Takes over a connection. If it throws, only this connection is closed. */
    using Handler = std::function<void(kj::Own<kj::AsyncIoStream>)>;

    /** @p onShortage is called again and again while connections wait for descriptors; it may close others. */
    ConnectionAcceptor(kj::Timer &timer, kj::Own<kj::ConnectionReceiver> receiver, Handler handler,
        std::function<void()> onShortage = {});
    ConnectionAcceptor(const ConnectionAcceptor &) = delete;
    ConnectionAcceptor &operator=(const ConnectionAcceptor &) = delete;

    /** Accepts connections until the promise is dropped. It is never rejected. */
    [[nodiscard]] kj::Promise<void> run();

private:
    /** Resolves once enough descriptors are free again. */
    [[nodiscard]] kj::Promise<void> awaitDescriptors();
    void logFailure(const kj::Exception &exception);
    void logShortage();

    kj::Timer &timer; ///< Must outlive this object.
    kj::Own<kj::ConnectionReceiver> receiver; ///< The listening socket.
    Handler handler;
    std::function<void()> onShortage; ///< May be empty.
    bool isShort = false; ///< Connections wait for descriptors, which has been logged.
    bool isFailing = false; ///< The last connection could not be accepted, which has been logged.
};

} // namespace Chestnuthook
