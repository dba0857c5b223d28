/** @file entry_peer_admit.cpp  Admission on behalf of other entries. */
#include "entry/entry_peer_base.h"

#include "rpc/message_func.h"

namespace Chestnuthook
{

EntryPeerServer::EntryPeerServer(EntryContext &context)
    : entry(context)
{
}

kj::Promise<void> EntryPeerServer::admit(AdmitContext context)
{
    const auto requests = context.getParams().getRequests();
    auto replies = context.getResults().initReplies(requests.size());
    for (unsigned i = 0; i < requests.size(); ++i) {
        writeFailure(replies[i].initFailure(), Error{ErrorKind::NotReady, "each entry admits for itself", Ran::No, 0});
    }
    return kj::READY_NOW;
}

} // namespace Chestnuthook
