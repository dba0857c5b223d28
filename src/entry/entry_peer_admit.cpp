/** @file entry_peer_admit.cpp  Serves admission requests of other entries. */
#include "entry/entry_peer_base.h"

#include <chrono>

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
        const AdmissionDecision verdict = this->entry.admission.client.admitAsOwner(
            CustomerId{textOf(requests[i].getTenant())}, requests[i].getRequests());
        auto reply = replies[i];
        reply.setHoldMs(static_cast<std::uint32_t>((verdict.retryAfter.count() + 999) / 1000));
        reply.setRecovering(verdict.recovering);
        if (verdict.state != AdmissionState::Decided) {
            const std::string what =
                verdict.state == AdmissionState::NotYet ? "the slot is being handed over" : "not the owner";
            writeFailure(reply.initFailure(), Error{ErrorKind::NotReady, what, Ran::No, 0});
            continue;
        }
        reply.setGranted(static_cast<std::uint32_t>(verdict.delays.size()));
        auto delays = reply.initDelaysUs(static_cast<unsigned>(verdict.delays.size()));
        for (unsigned j = 0; j < delays.size(); ++j) {
            delays.set(j, static_cast<std::uint32_t>(verdict.delays[j].count()));
        }
    }
    return kj::READY_NOW;
}

kj::Promise<void> EntryPeerServer::giveUp(GiveUpContext context)
{
    const auto slots = context.getParams().getSlots();
    this->entry.admission.client.releaseSlots(slots, context.getResults().initSlots(slots.size()));
    return kj::READY_NOW;
}

} // namespace Chestnuthook
