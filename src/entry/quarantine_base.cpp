/** @file quarantine_base.cpp  Records and looks up strikes against requests. */
#include "entry/quarantine_base.h"

#include <algorithm>
#include <set>
#include <utility>

#include <capnp/message.h>

#include "core/hash_func.h"
#include "observe/log_func.h"
#include "observe/metrics_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::int64_t StrikeTtlMs = 10L * 60 * 1000;

/** After this time, in milliseconds, the copy of the fleet state has a strike that a peer reported. */
constexpr std::int64_t RecentStrikeTtlMs = 5000;
constexpr auto PeerNotifyTimeout = 300 * kj::MILLISECONDS;
constexpr std::size_t MaxRecentFingerprints = 10'000;

} // namespace

std::string fingerprintOf(const CustomerId &customer, const CallRequest &request)
{
    std::string content = customer.text + '\0' + request.model.text + request.service.text + '\0';
    for (const ChatMessage &message : request.messages) {
        content += message.role + '\0' + message.content + '\0';
    }
    if (request.kind == CallKind::Tool) {
        content += request.method + '\0' + request.path + '\0' + request.toolBody;
    }
    return sha256Hex(content);
}

std::uint32_t Quarantine::countStrikes(const std::string &fingerprint) const
{
    std::set<EndpointId> endpoints;
    const StrikeRecord *known = this->follower.state.strikes.find(fingerprint);
    if (known != nullptr && known->expiresAtMs > wallMsNow()) {
        endpoints.insert(known->endpoints.begin(), known->endpoints.end());
    }
    const auto own = this->recent.find(fingerprint);
    if (own != this->recent.end()) {
        for (const auto &[endpoint, recordedMs] : own->second) {
            if (wallMsNow() - recordedMs < RecentStrikeTtlMs) {
                endpoints.insert(endpoint);
            }
        }
    }
    return static_cast<std::uint32_t>(endpoints.size());
}

std::int64_t Quarantine::remainingRefusalMs(const std::string &fingerprint) const
{
    const StrikeRecord *known = this->follower.state.strikes.find(fingerprint);
    return known == nullptr ? StrikeTtlMs : std::max<std::int64_t>(1, known->expiresAtMs - wallMsNow());
}

kj::Promise<std::uint32_t> Quarantine::recordStrike(std::string fingerprint, EndpointId endpoint)
{
    this->addRecentStrike(fingerprint, endpoint);
    metrics().add(MetricKind::StrikesTotal);
    logEvent(EventKind::StrikeRecorded, {{"fingerprint", fingerprint}, {"endpoint", endpoint.text}});
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    auto strike = command.initStrike();
    strike.setFingerprint(fingerprint);
    strike.initEndpoints(1).set(0, endpoint.text);
    strike.setExpiresAtMs(wallMsNow() + StrikeTtlMs);
    auto recorded = this->client.submitFleet(flatBytes(message)).ignoreResult();
    auto notified = this->notifyPeers(fingerprint, endpoint);
    return recorded
        .then([notified = kj::mv(notified)]() mutable {
            return kj::mv(notified);
        })
        .then([this, fingerprint]() {
            return this->countStrikes(fingerprint);
        });
}

void Quarantine::addRecentStrike(const std::string &fingerprint, const EndpointId &endpoint)
{
    if (this->recent.size() >= MaxRecentFingerprints) {
        this->recent.clear();
    }
    this->recent[fingerprint][endpoint] = wallMsNow();
}

kj::Promise<void> Quarantine::notifyPeers(const std::string &fingerprint, const EndpointId &endpoint)
{
    kj::Vector<kj::Promise<void>> notifications;
    for (const auto &[id, row] : this->follower.state.entries.all()) {
        if (row.removed || id == this->follower.self.id) {
            continue;
        }
        auto notification =
            this->peers.peer(row.record.rpcAddress).then([fingerprint, endpoint](Wire::EntryPeer::Client &&peer) {
                auto request = peer.struckRequest();
                request.setFingerprint(fingerprint);
                request.setEndpoint(endpoint.text);
                return request.send().ignoreResult();
            });
        notifications.add(this->timer.timeoutAfter(PeerNotifyTimeout, kj::mv(notification))
                              .catch_([](kj::Exception && /*exception*/) {
                                  // That entry will read the strike from the fleet state.
                              }));
    }
    return kj::joinPromises(notifications.releaseAsArray());
}

kj::Promise<void> Quarantine::clearStrikes(std::string fingerprint)
{
    this->recent.erase(fingerprint);
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    command.initStrike().setFingerprint(fingerprint);
    return this->client.submitFleet(flatBytes(message)).ignoreResult();
}

} // namespace Chestnuthook
