/** @file rpc_link_base.h  Authenticated RPC connections between the processes of the fleet; a link reconnects
 * when its connection breaks. */
#pragma once

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
    RpcLink(RpcContext &context, std::string address);
    RpcLink(const RpcLink &) = delete;
    RpcLink &operator=(const RpcLink &) = delete;

    /** Returns the services of the other end; connects and authenticates first if needed. The promise fails if that
     * takes longer than ConnectTimeout or a proof is wrong. */
    [[nodiscard]] kj::Promise<OfferedServices> services();

    /** Drops the connection; the next `services` makes a new one. Call it after an RPC failed or timed out. */
    void reset();

    [[nodiscard]] const std::string &peerAddress() const
    {
        return this->address;
    }

private:
    struct Connection;

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
    kj::Promise<void> connect();

    RpcContext &context; ///< Outlives the link.
    std::string address; ///< ip:port of the other end.
    std::shared_ptr<Connection> connection; ///< Null if there is none; set before authentication completes.
    kj::Maybe<kj::ForkedPromise<void>> connecting; ///< Set while connecting.
};

/** Accepts connections on @p address (`ip:port`) and offers @p services to authenticated peers.
 * @return a promise that runs the port; it fails if the port can't be bound, which callers report as AddressInUse. */
[[nodiscard]] kj::Promise<void> serveRpc(RpcContext &context, const std::string &address, OfferedServices services);

} // namespace Chestnuthook
