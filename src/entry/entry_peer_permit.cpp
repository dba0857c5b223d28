/** @file entry_peer_permit.cpp  Permits for endpoints on behalf of other entries. */
#include "entry/entry_peer_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

kj::Promise<void> EntryPeerServer::permit(PermitContext context)
{
    const auto requests = context.getParams().getRequests();
    auto replies = context.getResults().initReplies(requests.size());
    for (unsigned i = 0; i < requests.size(); ++i) {
        writeFailure(
            replies[i].initFailure(), Error{ErrorKind::NotReady, "each entry dispatches for itself", Ran::No, 0});
    }
    return kj::READY_NOW;
}

kj::Promise<void> EntryPeerServer::release(ReleaseContext /*context*/)
{
    return kj::READY_NOW;
}

} // namespace Chestnuthook
