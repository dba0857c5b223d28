/** @file permit_exchange_base.cpp  Messages about permits between entries and the dispatchers of endpoints. */
#include <algorithm>
#include <utility>

#include "entry/permit_broker_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr auto PeerRequestTimeout = 500 * kj::MILLISECONDS;

} // namespace

std::string PermitBroker::rpcAddressOf(const EntryId &entry) const
{
    const auto view = this->follower.views.get();
    for (const EntryRecord &record : view == nullptr ? std::vector<EntryRecord>() : view->entries) {
        if (record.id == entry) {
            return record.rpcAddress;
        }
    }
    return {};
}

void PermitBroker::scheduleSend(const EntryId &entry)
{
    Outbox &outbox = this->outboxes[entry];
    if (outbox.busy) {
        return;
    }
    outbox.busy = true;
    // Sends at the end of this turn of the event loop, so that permits requested together share a batch.
    this->loop.detach(kj::evalLast([this, entry]() {
        this->send(entry);
    }));
}

void PermitBroker::send(const EntryId &entry)
{
    Outbox &outbox = this->outboxes[entry];
    const std::string address = this->rpcAddressOf(entry);
    std::vector<std::uint64_t> ids = std::exchange(outbox.requests, {});
    if (address.empty()) {
        outbox.busy = false;
        this->grantFallbacks(ids);
        return;
    }
    auto requestsSent = ids.empty() ? kj::Promise<void>(kj::READY_NOW) : this->sendRequests(address, entry, ids);
    this->loop.detach(requestsSent
                          .then([this, address, entry]() {
                              return this->sendReleases(address, entry);
                          })
                          .then(
                              [this, entry]() {
                                  Outbox &current = this->outboxes[entry];
                                  current.busy = false;
                                  if (!current.requests.empty() || !current.releases.empty()) {
                                      this->scheduleSend(entry);
                                  }
                              },
                              [this, address, entry, ids](kj::Exception && /*exception*/) {
                                  this->peers.reset(address);
                                  this->outboxes[entry].busy = false; // The next tick retries.
                                  this->grantFallbacks(ids);
                              }));
}

kj::Promise<void> PermitBroker::sendRequests(
    const std::string &address, const EntryId & /*entry*/, std::vector<std::uint64_t> ids)
{
    std::erase_if(ids, [this](std::uint64_t id) {
        return !this->localPermits.contains(id);
    });
    auto sent = this->peers.peer(address).then([this, ids](Wire::EntryPeer::Client &&peer) {
        auto request = peer.permitRequest();
        auto requests = request.initRequests(static_cast<unsigned>(ids.size()));
        for (unsigned i = 0; i < requests.size(); ++i) {
            const auto found = this->localPermits.find(ids[i]);
            if (found == this->localPermits.end()) {
                continue; // Ended since; a request without an endpoint is ignored.
            }
            const LocalPermit &localPermit = found->second;
            const QueuedCall call = this->waitingCallFor(localPermit);
            requests[i].setEndpoint(localPermit.endpoint.text);
            requests[i].setProgram(localPermit.request.program.text);
            requests[i].setTenant(localPermit.request.customer.text);
            requests[i].setTokens(static_cast<std::uint32_t>(call.expectedTokens));
            requests[i].setAttained(call.attainedTokens);
            requests[i].setPermit(ids[i]);
            requests[i].setEntry(this->follower.self.id.text);
            requests[i].setIsolated(call.isolated);
            requests[i].setRunning(localPermit.running);
        }
        return request.send();
    });
    return this->loop.kjTimer().timeoutAfter(PeerRequestTimeout, kj::mv(sent)).then([this, ids](auto &&response) {
        this->handleReplies(ids, response.getReplies());
    });
}

void PermitBroker::handleReplies(const std::vector<std::uint64_t> &ids, capnp::List<Wire::PermitReply>::Reader replies)
{
    for (unsigned i = 0; i < replies.size() && i < ids.size(); ++i) {
        const auto found = this->localPermits.find(ids[i]);
        if (found == this->localPermits.end()) {
            continue;
        }
        if (replies[i].hasFailure()) {
            const Error error = readFailure(replies[i].getFailure());
            if (error.kind == ErrorKind::Overloaded) {
                this->reject(ids[i], error.kind, error.what);
            }
            continue; // It isn't the dispatcher by its own view. One of the two views is outdated; the next tick
                      // retries.
        }
        LocalPermit &localPermit = found->second;
        localPermit.acknowledged = true;
        if (localPermit.fallback) {
            localPermit.fallback = false;
            --this->fallbacks[localPermit.endpoint];
        }
        this->remoteLoads[localPermit.endpoint] = {
            static_cast<double>(replies[i].getInFlight()), replies[i].getBacklog()};
        if (replies[i].getGranted()) {
            this->grant(ids[i], false);
        }
    }
}

kj::Promise<void> PermitBroker::sendReleases(const std::string &address, const EntryId &entry)
{
    Outbox &outbox = this->outboxes[entry];
    if (outbox.releases.empty()) {
        return kj::READY_NOW;
    }
    auto releases = outbox.releases;
    auto sent = this->peers.peer(address).then([this, releases](Wire::EntryPeer::Client &&peer) {
        auto all = kj::heapArrayBuilder<kj::Promise<void>>(releases.size());
        for (const auto &[endpoint, permits] : releases) {
            auto request = peer.releaseRequest();
            request.setEndpoint(endpoint.text);
            request.setEntry(this->follower.self.id.text);
            auto list = request.initPermits(static_cast<unsigned>(permits.size()));
            for (unsigned i = 0; i < list.size(); ++i) {
                list.set(i, permits[i]);
            }
            all.add(request.send().ignoreResult());
        }
        return kj::joinPromises(all.finish());
    });
    return this->loop.kjTimer().timeoutAfter(PeerRequestTimeout, kj::mv(sent)).then([this, entry, releases]() {
        // Confirmed: remove these releases, but keep those added meanwhile.
        auto &left = this->outboxes[entry].releases;
        for (const auto &[endpoint, permits] : releases) {
            std::erase_if(left[endpoint], [&permits = permits](std::uint64_t id) {
                return std::find(permits.begin(), permits.end(), id) != permits.end();
            });
        }
        std::erase_if(left, [](const auto &row) {
            return row.second.empty();
        });
    });
}

void PermitBroker::handleRequests(
    capnp::List<Wire::PermitRequest>::Reader requests, capnp::List<Wire::PermitReply>::Builder replies)
{
    this->endpointList = this->platformList.load();
    for (unsigned i = 0; i < requests.size(); ++i) {
        const auto request = requests[i];
        const EndpointId endpoint{textOf(request.getEndpoint())};
        if (endpoint.empty() || this->dispatcherFor(endpoint) != this->follower.self.id) {
            writeFailure(replies[i].initFailure(), Error{ErrorKind::NotReady, "not the dispatcher", Ran::No, 0});
            continue;
        }
        const PermitKey key{EntryId{textOf(request.getEntry())}, request.getPermit()};
        if (const ListedEndpoint *one = this->findListed(endpoint)) {
            this->ledger.setMaxInFlight(endpoint, maxInFlight(one->kind));
        }
        QueuedCall call;
        call.customer = CustomerId{textOf(request.getTenant())};
        call.attainedTokens = request.getAttained();
        call.expectedTokens = request.getTokens();
        call.arrived = this->loop.timers().now();
        call.isolated = request.getIsolated();
        if (request.getRunning()) {
            this->ledger.adopt(endpoint, key, call);
            replies[i].setGranted(true);
        } else {
            const PermitState state = this->ledger.ask(endpoint, key, call);
            if (state == PermitState::Shed) {
                writeFailure(replies[i].initFailure(),
                    Error{ErrorKind::Overloaded, "the queue of the endpoint is full", Ran::No, 0});
                continue;
            }
            replies[i].setGranted(state == PermitState::Running);
        }
        replies[i].setInFlight(static_cast<std::uint32_t>(this->ledger.load(endpoint)));
        replies[i].setBacklog(this->ledger.backlog(endpoint));
    }
    this->deliverGrants();
}

void PermitBroker::handleRelease(const EntryId &entry, capnp::List<std::uint64_t>::Reader permits)
{
    for (const std::uint64_t permit : permits) {
        this->ledger.release(PermitKey{entry, permit});
    }
    this->deliverGrants();
}

void PermitBroker::deliverGrants()
{
    std::map<EntryId, std::vector<std::uint64_t>> byEntry;
    for (const PermitKey &key : this->ledger.takeGranted()) {
        byEntry[key.entry].push_back(key.permit);
    }
    for (const PermitKey &key : this->ledger.takeShed()) {
        if (key.entry == this->follower.self.id) {
            this->reject(key.permit, ErrorKind::Overloaded, "the queue of the endpoint is full");
        } // Other entries learn of it when they send the request again.
    }
    for (auto &[entry, permits] : byEntry) {
        if (entry == this->follower.self.id) {
            for (const std::uint64_t permit : permits) {
                this->grant(permit, false);
            }
        } else if (const std::string address = this->rpcAddressOf(entry); !address.empty()) {
            this->loop.detach(this->notifyGranted(address, std::move(permits)));
        }
    }
}

kj::Promise<void> PermitBroker::notifyGranted(const std::string &address, std::vector<std::uint64_t> permits)
{
    auto sent = this->peers.peer(address).then([permits = std::move(permits)](Wire::EntryPeer::Client &&peer) {
        auto request = peer.grantedRequest();
        auto list = request.initPermits(static_cast<unsigned>(permits.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list.set(i, permits[i]);
        }
        return request.send().ignoreResult();
    });
    // If the message is lost, the entry requests the permit again and learns that it was granted.
    return this->loop.kjTimer()
        .timeoutAfter(PeerRequestTimeout, kj::mv(sent))
        .catch_([](kj::Exception && /*exception*/) {});
}

void PermitBroker::handleGranted(capnp::List<std::uint64_t>::Reader permits)
{
    for (const std::uint64_t permit : permits) {
        this->grant(permit, false);
    }
}

} // namespace Chestnuthook
