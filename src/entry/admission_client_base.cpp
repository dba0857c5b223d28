/** @file admission_client_base.cpp  RPCs between entries about the token buckets of customers. */
#include "entry/admission_client_base.h"

#include <algorithm>
#include <utility>

#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto PeerRequestTimeout = 500 * kj::MILLISECONDS;

/** How often a former owner is asked to hand over its buckets. */
constexpr Duration HandoverRetryInterval = std::chrono::milliseconds(100);

AdmissionDecision ownerUnavailable()
{
    AdmissionDecision verdict;
    verdict.state = AdmissionState::NotOwner;
    return verdict;
}

} // namespace

AdmissionClient::AdmissionClient(ControlLoop &loop, FleetFollower &follower, PeerLinks &peers)
    : loop(loop)
    , follower(follower)
    , peers(peers)
{
}

SlotSnapshot AdmissionClient::facts(const FleetView &view) const
{
    SlotSnapshot facts{this->follower.self.id, &view.slots, {}};
    for (const EntryRecord &entry : view.entries) {
        facts.leased.insert(entry.id);
    }
    return facts;
}

std::string AdmissionClient::rpcAddressOf(const EntryId &entry) const
{
    const auto view = this->follower.views.get();
    for (const EntryRecord &record : view == nullptr ? std::vector<EntryRecord>() : view->entries) {
        if (record.id == entry) {
            return record.rpcAddress;
        }
    }
    return {};
}

void AdmissionClient::onViewChange()
{
    const auto view = this->follower.views.get();
    if (view == nullptr) {
        return;
    }
    this->owner.update(this->facts(*view), this->loop.timers().now());
    this->requestHandovers();
}

AdmissionDecision AdmissionClient::admitAsOwner(const CustomerId &customer, std::uint32_t count)
{
    const auto view = this->follower.views.get();
    if (view == nullptr) {
        return ownerUnavailable();
    }
    const auto declared = view->customers.find(customer);
    if (declared == view->customers.end()) {
        return ownerUnavailable();
    }
    const Instant now = this->loop.timers().now();
    return this->owner.admit(declared->second, count, now, this->follower.views.freshUntil());
}

kj::Promise<AdmissionDecision> AdmissionClient::requestAdmission(const CustomerId &customer)
{
    const auto view = this->follower.views.get();
    const EntryId slotOwner = view == nullptr ? EntryId{} : view->slots[slotOf(customer.text).value].owner;
    if (slotOwner == this->follower.self.id) {
        return this->admitAsOwner(customer, 1);
    }
    const std::string address = this->rpcAddressOf(slotOwner);
    if (address.empty()) {
        return ownerUnavailable();
    }
    auto paf = kj::newPromiseAndFulfiller<AdmissionDecision>();
    Batch &batch = this->batches[address];
    batch.waiting.push_back({customer, kj::mv(paf.fulfiller)});
    if (!batch.busy) {
        batch.busy = true;
        // Sends at the end of this turn of the event loop, so that requests which arrived together share a batch.
        this->loop.detach(kj::evalLast([this, address]() {
            this->send(address);
        }));
    }
    return kj::mv(paf.promise);
}

void AdmissionClient::send(const std::string &address)
{
    Batch &batch = this->batches[address];
    if (batch.waiting.empty()) {
        batch.busy = false;
        return;
    }
    auto waiters = std::make_shared<std::vector<Waiter>>(std::move(batch.waiting));
    batch.waiting.clear();
    auto requestIndexes = std::make_shared<std::vector<unsigned>>();
    auto responsePromise = this->peers.peer(address).then([waiters, requestIndexes](Wire::EntryPeer::Client &&peer) {
        std::map<CustomerId, unsigned> requestIndexOf;
        std::vector<std::pair<CustomerId, std::uint32_t>> wanted;
        for (const Waiter &waiter : *waiters) {
            const auto [requestIndex, added] =
                requestIndexOf.try_emplace(waiter.customer, static_cast<unsigned>(wanted.size()));
            if (added) {
                wanted.emplace_back(waiter.customer, 0);
            }
            ++wanted[requestIndex->second].second;
            requestIndexes->push_back(requestIndex->second);
        }
        auto request = peer.admitRequest();
        auto list = request.initRequests(static_cast<unsigned>(wanted.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setTenant(wanted[i].first.text);
            list[i].setRequests(wanted[i].second);
        }
        return request.send();
    });
    this->loop.detach(this->loop.kjTimer()
                          .timeoutAfter(PeerRequestTimeout, kj::mv(responsePromise))
                          .then(
                              [this, waiters, requestIndexes](auto &&response) {
                                  this->handleReplies(response.getReplies(), *waiters, *requestIndexes);
                              },
                              [this, address, waiters](kj::Exception && /*exception*/) {
                                  this->peers.reset(address);
                                  for (Waiter &waiter : *waiters) {
                                      waiter.fulfiller->fulfill(ownerUnavailable());
                                  }
                              })
                          .then([this, address]() {
                              this->send(address);
                          }));
}

void AdmissionClient::handleReplies(capnp::List<Wire::AdmitReply>::Reader replies, std::vector<Waiter> &waiters,
    const std::vector<unsigned> &requestIndexes)
{
    std::vector<unsigned> used(replies.size(), 0);
    for (std::size_t i = 0; i < waiters.size(); ++i) {
        AdmissionDecision verdict = ownerUnavailable();
        if (requestIndexes[i] < replies.size()) {
            const auto reply = replies[requestIndexes[i]];
            const unsigned position = used[requestIndexes[i]]++;
            const bool undecided = reply.hasFailure();
            verdict.state = undecided ? AdmissionState::NotYet : AdmissionState::Decided;
            verdict.retryAfter = std::chrono::milliseconds(reply.getHoldMs());
            verdict.recovering = reply.getRecovering();
            if (!undecided && position < reply.getDelaysUs().size()) {
                verdict.delays.emplace_back(reply.getDelaysUs()[position]);
            }
        }
        waiters[i].fulfiller->fulfill(std::move(verdict));
    }
}

void AdmissionClient::requestHandovers()
{
    const auto view = this->follower.views.get();
    std::map<std::string, std::vector<HandoverRequest>> byAddress;
    for (const HandoverRequest &handover :
        this->owner.slotOwnerships.pendingHandovers(this->facts(*view), this->loop.timers().now())) {
        byAddress[this->rpcAddressOf(handover.former)].push_back(handover);
    }
    if (byAddress.empty()) {
        this->handoverTimer.cancel();
        return;
    }
    for (auto &[address, wanted] : byAddress) {
        this->loop.detach(this->requestHandover(address, std::move(wanted)));
    }
    this->handoverTimer = this->loop.timers().after(HandoverRetryInterval, [this]() {
        this->requestHandovers();
    });
}

kj::Promise<void> AdmissionClient::requestHandover(const std::string &address, std::vector<HandoverRequest> wanted)
{
    auto sent = this->peers.peer(address).then([wanted](Wire::EntryPeer::Client &&peer) {
        auto request = peer.giveUpRequest();
        auto list = request.initSlots(static_cast<unsigned>(wanted.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setSlot(wanted[i].slot.value);
            list[i].setEpoch(wanted[i].formerEpoch.value);
        }
        return request.send();
    });
    return this->loop.kjTimer()
        .timeoutAfter(PeerRequestTimeout, kj::mv(sent))
        .then(
            [this, wanted](auto &&response) {
                const auto slots = response.getSlots();
                for (unsigned i = 0; i < slots.size() && i < wanted.size(); ++i) {
                    if (!slots[i].getStopped()) {
                        continue;
                    }
                    std::vector<BucketLevel> levels;
                    for (const auto level : slots[i].getLevels()) {
                        levels.push_back({CustomerId{textOf(level.getTenant())}, level.getLevel()});
                    }
                    this->owner.adopt(wanted[i], levels, this->loop.timers().now());
                }
            },
            [this, address](kj::Exception && /*exception*/) {
                this->peers.reset(address);
            });
}

void AdmissionClient::releaseSlots(
    capnp::List<Wire::GivenUpSlot>::Reader slots, capnp::List<Wire::GivenUpSlot>::Builder replies)
{
    const auto view = this->follower.views.get();
    std::map<SlotId, std::vector<CustomerDeclaration>> customers;
    if (view != nullptr) {
        for (const auto &[id, customer] : view->customers) {
            customers[slotOf(id.text)].push_back(customer);
        }
    }
    for (unsigned i = 0; i < slots.size(); ++i) {
        const SlotId slot{slots[i].getSlot()};
        const Epoch epoch{slots[i].getEpoch()};
        replies[i].setSlot(slot.value);
        replies[i].setEpoch(epoch.value);
        if (slot.value >= SlotCount || view == nullptr) {
            continue;
        }
        const auto levels = this->owner.releaseSlot(slot, epoch, customers[slot], this->loop.timers().now());
        replies[i].setStopped(levels.has_value());
        if (levels) {
            auto list = replies[i].initLevels(static_cast<unsigned>(levels->size()));
            for (unsigned j = 0; j < list.size(); ++j) {
                list[j].setTenant((*levels)[j].customer.text);
                list[j].setLevel((*levels)[j].level);
            }
        }
    }
}

} // namespace Chestnuthook
