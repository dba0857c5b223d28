/** @file entry_peer_forward.cpp  Requests forwarded by other entries, for programs that this entry owns. */
#include "entry/entry_peer_base.h"

namespace Chestnuthook
{

kj::Promise<void> EntryPeerServer::forward(ForwardContext /*context*/)
{
    KJ_FAIL_REQUIRE("not_ready: requests are not forwarded");
}

} // namespace Chestnuthook
