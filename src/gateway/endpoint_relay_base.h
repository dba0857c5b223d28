/** @file endpoint_relay_base.h  Opens connections to endpoints for other gateways whose own links are down. Offered to
 * authenticated daemons only. It forwards bytes and knows nothing of the requests in them. */
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include <kj/async-io.h>

#include "core/timer_base.h"
#include "gateway/connection_pool_base.h"
#include "rpc/control_loop_base.h"
#include "rpc/relay.capnp.h"

namespace Chestnuthook
{

/** Used by the control thread only. Clients of its capability must be gone when it is destroyed. */
class EndpointRelay
{
public:
    /** Connections beyond these are refused, so that their buffers stay within a small part of the memory. */
    static constexpr std::size_t MaxConnections = 256;
    /** An endpoint that doesn't accept a connection within this time is considered unreachable. */
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(60);
    /** A connection that carries no bytes for this long is closed; the gateway that asked for it may be gone. */
    static constexpr Duration IdleTimeout = std::chrono::seconds(30);

    /** Returns the address of the endpoint with an id; empty if this gateway doesn't know it or doesn't reach it. */
    using FindAddress = std::function<std::string(const std::string &)>;

    EndpointRelay(ControlLoop &loop, ConnectionPool &connections, FindAddress findAddress);

    /** Capability for other gateways. */
    [[nodiscard]] Wire::EndpointRelay::Client client();
    /** Refuses further connections from now on. */
    void stopAccepting()
    {
        this->accepting = false;
    }
    [[nodiscard]] std::size_t connectionCount() const
    {
        return this->openConnections;
    }

private:
    class RelayServer;
    struct Connection;

    ControlLoop &loop; ///< Must outlive this object.
    ConnectionPool &connections; ///< Must outlive this object. Opens connections; none is taken from or put into it.
    FindAddress findAddress; ///< See the constructor.
    bool accepting = true; ///< See `stopAccepting`.
    std::size_t openConnections = 0; ///< Number of relayed connections.
};

} // namespace Chestnuthook
