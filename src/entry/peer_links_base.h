/** @file peer_links_base.h  Connections to the other entries, opened on first use. */
#pragma once

#include <map>
#include <memory>
#include <string>

#include "rpc/entry.capnp.h"
#include "rpc/rpc_link_base.h"

namespace Chestnuthook
{

/** For the control thread. */
class PeerLinks
{
public:
    explicit PeerLinks(RpcContext &context)
        : context(context)
    {
    }

    /** The RPC interface of the entry at @p address. The promise fails if it can't be reached or authenticated. */
    [[nodiscard]] kj::Promise<Wire::EntryPeer::Client> peer(const std::string &address)
    {
        auto &link = this->links[address];
        if (link == nullptr) {
            link = std::make_unique<RpcLink>(this->context, address);
        }
        return link->services().then([](OfferedServices &&offered) {
            return offered.peer.castAs<Wire::EntryPeer>();
        });
    }

    /** Closes the connection after an RPC on it has failed or timed out. */
    void reset(const std::string &address)
    {
        const auto link = this->links.find(address);
        if (link != this->links.end()) {
            link->second->reset();
        }
    }

private:
    RpcContext &context; ///< Outlives this.
    std::map<std::string, std::unique_ptr<RpcLink>> links; ///< Connections by RPC address.
};

} // namespace Chestnuthook
