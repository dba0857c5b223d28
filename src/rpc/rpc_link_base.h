/** @file rpc_link_base.h  One authenticated connection to another of our processes, made anew when it breaks. */
#pragma once

#include <memory>
#include <string>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "rpc/control.capnp.h"
#include "rpc/gate_func.h"

namespace Chestnuthook
{

/** How to reach and authenticate to other processes; one per daemon. */
struct RpcContext
{
    kj::Network &network; ///< Of the control thread.
    kj::Timer &timer; ///< Of the control thread.
    FleetSecurity security; ///< Secrets and certificates.
    std::string party; ///< Who we are, for the other end's log.
};

/** A link to one address. All calls are for the control thread only. */
class RpcLink
{
public:
    RpcLink(RpcContext &context, std::string address);
    RpcLink(const RpcLink &) = delete;
    RpcLink &operator=(const RpcLink &) = delete;

    /** The services behind the other end's gate; connects where needed. The promise fails where that takes longer than
     * ConnectTimeout or a proof is wrong. */
    [[nodiscard]] kj::Promise<OfferedServices> services();

    /** Drops the connection; the next call makes a new one. Call it after a call on it failed or timed out. */
    void reset();

    [[nodiscard]] const std::string &peerAddress() const
    {
        return this->address;
    }

private:
    struct Connection;

    /** A connected stream with the TLS context that it needs. */
    struct SecuredStream
    {
        std::shared_ptr<kj::TlsContext> tls; ///< Null where it is not encrypted.
        kj::Own<kj::AsyncIoStream> stream; ///< Ready for messages.
    };

    kj::Promise<SecuredStream> secure(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<kj::Own<kj::AsyncIoStream>> connectSocket(kj::NetworkAddress &target);
    kj::Promise<void> connect();

    RpcContext &context; ///< Outlives the link.
    std::string address; ///< ip:port of the other end.
    std::shared_ptr<Connection> connection; ///< Null where there is none; set before the gate is passed.
    kj::Maybe<kj::ForkedPromise<void>> connecting; ///< Set while a connection is under way.
};

/** Accepts connections on @p address (`ip:port`) and offers @p services behind the gate.
 * @return the promise that runs the port; it fails with AddressInUse text where the port can't be bound. */
[[nodiscard]] kj::Promise<void> serveRpc(RpcContext &context, const std::string &address, OfferedServices services);

} // namespace Chestnuthook
