/** @file quarantine_base.cpp  Strikes against requests. */
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

constexpr std::int64_t StrikePeriodMs = 10L * 60 * 1000;

/** After this time the fleet state's copy holds what was told. */
constexpr std::int64_t RecentMs = 5000;
constexpr auto TellTimeout = 300 * kj::MILLISECONDS;
constexpr std::size_t MaxRecent = 10'000;

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

std::uint32_t Quarantine::strikesOf(const std::string &fingerprint) const
{
    std::set<EndpointId> endpoints;
    const StrikeRecord *known = this->follower.state.strikes.find(fingerprint);
    if (known != nullptr && known->expiresAtMs > wallMsNow()) {
        endpoints.insert(known->endpoints.begin(), known->endpoints.end());
    }
    const auto own = this->recent.find(fingerprint);
    if (own != this->recent.end()) {
        for (const auto &[endpoint, toldMs] : own->second) {
            if (wallMsNow() - toldMs < RecentMs) {
                endpoints.insert(endpoint);
            }
        }
    }
    return static_cast<std::uint32_t>(endpoints.size());
}

std::int64_t Quarantine::refusedForMs(const std::string &fingerprint) const
{
    const StrikeRecord *known = this->follower.state.strikes.find(fingerprint);
    return known == nullptr ? StrikePeriodMs : std::max<std::int64_t>(1, known->expiresAtMs - wallMsNow());
}

kj::Promise<std::uint32_t> Quarantine::strike(std::string fingerprint, EndpointId endpoint)
{
    this->note(fingerprint, endpoint);
    metrics().add(MetricKind::StrikesTotal);
    logEvent(EventKind::StrikeRecorded, {{"fingerprint", fingerprint}, {"endpoint", endpoint.text}});
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    auto strike = command.initStrike();
    strike.setFingerprint(fingerprint);
    strike.initEndpoints(1).set(0, endpoint.text);
    strike.setExpiresAtMs(wallMsNow() + StrikePeriodMs);
    auto recorded = this->client.submitFleet(flatBytes(message)).ignoreResult();
    auto told = this->tellOthers(fingerprint, endpoint);
    return recorded
        .then([told = kj::mv(told)]() mutable {
            return kj::mv(told);
        })
        .then([this, fingerprint]() {
            return this->strikesOf(fingerprint);
        });
}

void Quarantine::note(const std::string &fingerprint, const EndpointId &endpoint)
{
    if (this->recent.size() >= MaxRecent) {
        this->recent.clear();
    }
    this->recent[fingerprint][endpoint] = wallMsNow();
}

kj::Promise<void> Quarantine::tellOthers(const std::string &fingerprint, const EndpointId &endpoint)
{
    kj::Vector<kj::Promise<void>> tells;
    for (const auto &[id, row] : this->follower.state.entries.all()) {
        if (row.removed || id == this->follower.self.id) {
            continue;
        }
        auto tell =
            this->peers.peer(row.record.rpcAddress).then([fingerprint, endpoint](Wire::EntryPeer::Client &&peer) {
                auto request = peer.struckRequest();
                request.setFingerprint(fingerprint);
                request.setEndpoint(endpoint.text);
                return request.send().ignoreResult();
            });
        tells.add(this->timer.timeoutAfter(TellTimeout, kj::mv(tell)).catch_([](kj::Exception && /*exception*/) {
            // It reads the strike from the fleet state.
        }));
    }
    return kj::joinPromises(tells.releaseAsArray());
}

kj::Promise<void> Quarantine::clear(std::string fingerprint)
{
    this->recent.erase(fingerprint);
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    command.initStrike().setFingerprint(fingerprint);
    return this->client.submitFleet(flatBytes(message)).ignoreResult();
}

} // namespace Chestnuthook
