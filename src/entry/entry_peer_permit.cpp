/** @file entry_peer_permit.cpp  Serves permit requests of other entries. */
#include "entry/entry_peer_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

kj::Promise<void> EntryPeerServer::permit(PermitContext context)
{
    const auto requests = context.getParams().getRequests();
    this->entry.dispatch.broker.handleRequests(requests, context.getResults().initReplies(requests.size()));
    return kj::READY_NOW;
}

kj::Promise<void> EntryPeerServer::release(ReleaseContext context)
{
    const auto params = context.getParams();
    this->entry.dispatch.broker.handleRelease(EntryId{textOf(params.getEntry())}, params.getPermits());
    return kj::READY_NOW;
}

kj::Promise<void> EntryPeerServer::granted(GrantedContext context)
{
    this->entry.dispatch.broker.handleGranted(context.getParams().getPermits());
    return kj::READY_NOW;
}

} // namespace Chestnuthook
