/** @file entry_peer_base.h  What this entry offers the other entries: admission for customers whose slot it owns,
 * permits for endpoints that it dispatches, and running of calls whose programs it owns. */
#pragma once

#include "entry/entry_context_type.h"
#include "rpc/entry.capnp.h"

namespace Chestnuthook
{

/** On the control thread. Each method has a file of its own: entry_peer_admit, entry_peer_permit, entry_peer_forward.
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
