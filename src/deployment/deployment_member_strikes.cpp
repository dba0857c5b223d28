/** @file deployment_member_strikes.cpp  Requests that crash endpoints, as gateways report them to the leader. */
#include <algorithm>

#include "deployment/deployment_member_base.h"
#include "observe/log_func.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

void writeFingerprints(capnp::List<std::uint64_t>::Builder list, const std::set<std::uint64_t> &fingerprints)
{
    unsigned position = 0;
    for (const std::uint64_t fingerprint : fingerprints) {
        list.set(position++, fingerprint);
    }
}

} // namespace

void DeploymentMember::beginStrikeTerm()
{
    const StrikeTable &strikes = this->group.machine.strikes;
    this->strikeExpiry.beginTerm();
    this->isExpiringStrikes = false;
    this->recordedStrikes.clear();
    this->verdicts = strikes.verdicts(wallMsNow());
    this->judgedChanges = strikes.changes();
    this->judgedUntilMs = wallMsNow() + 2 * StrikeTable::GoodEndMs;
    this->quarantineVersion = 1;
}

void DeploymentMember::recordStrikes(Wire::InstanceReport::Reader report)
{
    const Instant now = this->loop.timers().now();
    const StrikeTable &table = this->group.machine.strikes;
    const std::uint64_t id = report.getStrikeReport();
    for (const std::uint64_t fingerprint : report.getRefused()) {
        this->strikeExpiry.recordSeen(now, fingerprint);
    }
    if (report.getStrikes().size() == 0 && report.getAcquitted().size() == 0 && id == 0) {
        return;
    }
    const std::string name = textOf(report.getName());
    RecordedStrikes &progress = this->recordedStrikes[name];
    if (id != 0 && (progress.committed == id || progress.pending == id)) {
        return;
    }
    std::vector<EndpointStrike> reported;
    for (const auto entry : report.getStrikes()) {
        this->strikeExpiry.recordSeen(now, entry.getFingerprint());
        reported.push_back({entry.getFingerprint(), textOf(entry.getEndpoint()), wallMsNow() - entry.getAgeMs(),
            entry.getBroad(), entry.getUnderWayMs()});
    }
    std::vector<std::uint64_t> acquitted;
    for (const std::uint64_t fingerprint : report.getAcquitted()) {
        if (table.contains(fingerprint)) {
            acquitted.push_back(fingerprint);
        }
    }
    const std::vector<EndpointStrike> strikes = table.unrecorded(reported);
    for (const EndpointStrike &strike : strikes) {
        logEvent(EventKind::StrikeRecorded,
            {{"fingerprint", std::to_string(strike.fingerprint)}, {"endpoint", strike.endpoint}});
    }
    for (const std::uint64_t fingerprint : acquitted) {
        logEvent(EventKind::RequestAcquitted, {{"fingerprint", std::to_string(fingerprint)}});
    }
    if (strikes.empty() && acquitted.empty()) {
        progress.committed = id;
        return;
    }
    progress.pending = id;
    this->loop.detach(this->commitStrikes(strikes, acquitted).then([this, name, id](bool isDone) {
        RecordedStrikes &current = this->recordedStrikes[name];
        current.committed = isDone ? id : current.committed;
        current.pending = current.pending == id ? 0 : current.pending;
    }));
}

kj::Promise<bool> DeploymentMember::commitStrikes(
    const std::vector<EndpointStrike> &strikes, const std::vector<std::uint64_t> &cleared)
{
    return this->group.propose(strikesCommand(strikes, cleared))
        .then([this, term = this->leaderTerm](Result<std::string> &&done) {
            const bool isCurrent = this->isLeader() && term == this->leaderTerm;
            if (done && isCurrent) {
                this->refreshQuarantine(false);
            }
            return done && isCurrent;
        });
}

void DeploymentMember::writeRecordedStrikes(const std::string &name, Wire::Update::Builder update) const
{
    const auto progress = this->recordedStrikes.find(name);
    update.setRecordsStrikes(true);
    update.setRecordedStrikes(progress == this->recordedStrikes.end() ? 0 : progress->second.committed);
}

void DeploymentMember::expireStrikes(Instant now)
{
    const std::vector<std::uint64_t> expired = this->strikeExpiry.expired(now, this->group.machine.strikes);
    if (!expired.empty() && !this->isExpiringStrikes) {
        this->isExpiringStrikes = true;
        this->loop.detach(this->commitStrikes({}, expired).then([this](bool /*isDone*/) {
            this->isExpiringStrikes = false;
        }));
    }
    const std::vector<InstanceInfo> alive = this->registry.alive();
    if (this->recordedStrikes.size() > alive.size()) {
        std::erase_if(this->recordedStrikes, [&alive](const auto &row) {
            return std::ranges::find(alive, row.first, &InstanceInfo::name) == alive.end();
        });
    }
    this->refreshQuarantine(true);
}

void DeploymentMember::refreshQuarantine(bool withSuspects)
{
    const std::int64_t nowMs = wallMsNow();
    const StrikeTable &strikes = this->group.machine.strikes;
    if (this->judgedChanges == strikes.changes() && nowMs > this->judgedUntilMs) {
        return;
    }
    StrikeTable::Verdicts current = strikes.verdicts(nowMs);
    // Suspects change with each crash, so that they are published with the leader's tasks only.
    if (!withSuspects && current.quarantined == this->verdicts.quarantined) {
        return;
    }
    if (this->judgedChanges != strikes.changes()) {
        this->judgedChanges = strikes.changes();
        this->judgedUntilMs = nowMs + 2 * StrikeTable::GoodEndMs;
    }
    if (current == this->verdicts) {
        return;
    }
    for (const std::uint64_t fingerprint : current.quarantined) {
        if (!this->verdicts.quarantined.contains(fingerprint)) {
            logEvent(EventKind::RequestQuarantined, {{"fingerprint", std::to_string(fingerprint)}});
        }
    }
    this->verdicts = std::move(current);
    ++this->quarantineVersion;
    this->notifyWatchers();
}

void DeploymentMember::writeQuarantine(Wire::Update::Builder update) const
{
    const auto &[quarantined, suspects] = this->verdicts;
    writeFingerprints(update.initQuarantine(static_cast<unsigned>(quarantined.size())), quarantined);
    writeFingerprints(update.initSuspects(static_cast<unsigned>(suspects.size())), suspects);
}

} // namespace Chestnuthook
