/** @file rpc_link_base.h  Authenticated RPC connections between the processes of the fleet; a link reconnects
 * when its connection breaks. */
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "rpc/authentication_func.h"
#include "rpc/control.capnp.h"

namespace Chestnuthook
{

/** Network, timer and credentials for connections to other processes; one per daemon. */
struct RpcContext
{
    kj::Network &network; ///< Network of the control thread.
    kj::Timer &timer; ///< Timer of the control thread.
    FleetSecurity security; ///< Secrets and certificates of this process.
    std::string localName; ///< Name by which this process introduces itself to the other end.
};

/** Client connection to one address. Used on the control thread only. */
class RpcLink
{
public:
    /** Limit for connecting, including TLS and authentication. */
    static constexpr auto ConnectTimeout = 700 * kj::MILLISECONDS;

    RpcLink(RpcContext &context, std::string address, kj::Duration connectTimeout = ConnectTimeout);
    RpcLink(const RpcLink &) = delete;
    RpcLink &operator=(const RpcLink &) = delete;

    struct Connection;
    /** An authenticated connection. Calls on it go on as long as a reference is held, also after the link has dropped
     * it. */
    using ConnectionPtr = std::shared_ptr<Connection>;

    /** The connection of the link; connects and authenticates first if needed. The promise fails if that takes longer
     * than the limit or a proof is wrong. */
    [[nodiscard]] kj::Promise<ConnectionPtr> connection();
    [[nodiscard]] static OfferedServices servicesOf(const ConnectionPtr &connection);
    [[nodiscard]] bool isCurrent(const ConnectionPtr &used) const
    {
        return this->current == used;
    }
    /** Whether there is a connection, or one is being made. */
    [[nodiscard]] bool isConnected() const
    {
        return this->current != nullptr;
    }
    [[nodiscard]] bool isConnecting() const
    {
        return this->connecting != nullptr && !this->attemptFailed;
    }
    /** Drops @p used unless the link has another connection by now; the next `connection` makes a new one. */
    void drop(const ConnectionPtr &used);

    /** Returns the services of the other end; see `connection`. */
    [[nodiscard]] kj::Promise<OfferedServices> services();
    /** Drops the connection, or the attempt to make one. Call it after an RPC failed or timed out. */
    void reset();

    [[nodiscard]] const std::string &peerAddress() const
    {
        return this->address;
    }

private:
    /** A connected stream with the TLS context that must outlive it. */
    struct SecuredStream
    {
        std::shared_ptr<kj::TlsContext> tls; ///< Null if the stream is not encrypted.
        kj::Own<kj::AsyncIoStream> stream; ///< Stream for messages, after the TLS handshake.
    };

    /** Performs the TLS handshake on @p stream; returns it as it is if the fleet's traffic is not encrypted. */
    kj::Promise<SecuredStream> startTls(kj::Own<kj::AsyncIoStream> stream);
    /** Opens a TCP connection; retries with a new socket each time TcpConnectTimeout has passed. */
    kj::Promise<kj::Own<kj::AsyncIoStream>> connectTcp(kj::NetworkAddress &target);
    kj::Promise<ConnectionPtr> connect();

    RpcContext &context; ///< Outlives the link.
    std::string address; ///< ip:port of the other end.
    const kj::Duration connectTimeout; ///< See ConnectTimeout.
    ConnectionPtr current; ///< The authenticated connection; null if there is none.
    kj::Maybe<kj::ForkedPromise<ConnectionPtr>> connecting; ///< The attempt in progress.
    bool attemptFailed = false; ///< The attempt in `connecting` has failed.
    std::uint64_t attempt = 0; ///< Number of the last attempt; the results of earlier ones aren't used by the link.
};

/** Accepts connections on @p address (`ip:port`) and offers @p services to authenticated peers.
 * @return a promise that runs the port; it fails if the port can't be bound, which callers report as AddressInUse. */
[[nodiscard]] kj::Promise<void> serveRpc(RpcContext &context, const std::string &address, OfferedServices services);

} // namespace Chestnuthook
