/** @file quarantine_base.cpp  Strikes against requests. */
#include "entry/quarantine_base.h"

#include <algorithm>
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
constexpr std::size_t MaxRecent = 10'000;

} // namespace

std::string fingerprintOf(const TenantId &tenant, const CallRequest &request)
{
    std::string content = tenant.text + '\0' + request.model.text + request.service.text + '\0';
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
        endpoints.insert(own->second.begin(), own->second.end());
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
    if (this->recent.size() >= MaxRecent) {
        this->recent.clear();
    }
    this->recent[fingerprint].insert(endpoint);
    metrics().add(MetricKind::StrikesTotal);
    logEvent(EventKind::StrikeRecorded, {{"fingerprint", fingerprint}, {"endpoint", endpoint.text}});
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    command.setNowMs(wallMsNow());
    auto strike = command.initStrike();
    strike.setFingerprint(fingerprint);
    strike.initEndpoints(1).set(0, endpoint.text);
    strike.setExpiresAtMs(wallMsNow() + StrikePeriodMs);
    return this->client.submitFleet(flatBytes(message)).then([this, fingerprint](auto && /*reply*/) {
        return this->strikesOf(fingerprint);
    });
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
