/** @file entry_peer_base.h  The RPC interface for other entries: admission for customers whose slot this entry owns,
 * permits for endpoints that it dispatches, and forwarded requests for programs that it owns. */
#pragma once

#include "entry/entry_context_type.h"
#include "rpc/entry.capnp.h"

namespace Chestnuthook
{

/** Runs on the control thread. Implemented in entry_peer_admit.cpp, entry_peer_permit.cpp and entry_peer_forward.cpp.
 */
class EntryPeerServer final : public Wire::EntryPeer::Server
{
public:
    explicit EntryPeerServer(EntryContext &context);

    kj::Promise<void> admit(AdmitContext context) override;
    kj::Promise<void> giveUp(GiveUpContext context) override;
    kj::Promise<void> permit(PermitContext context) override;
    kj::Promise<void> release(ReleaseContext context) override;
    kj::Promise<void> granted(GrantedContext context) override;
    kj::Promise<void> forward(ForwardContext context) override;
    kj::Promise<void> result(ResultContext context) override;
    kj::Promise<void> struck(StruckContext context) override;

private:
    EntryContext &entry; ///< Outlives the server.
};

} // namespace Chestnuthook
