/** @file request_quarantine_base.cpp  Collects strikes and acquittals. */
#include "gateway/request_quarantine_base.h"

#include <algorithm>
#include <utility>

namespace Chestnuthook
{

namespace
{

/** The fingerprints of @p request, without repetition. */
std::set<std::uint64_t> distinct(const RequestFingerprints &request)
{
    return {request.content, request.turn};
}

} // namespace

void RequestQuarantine::setKnown(std::set<std::uint64_t> quarantined, std::set<std::uint64_t> suspects)
{
    this->quarantined = std::move(quarantined);
    this->suspects = std::move(suspects);
    std::erase_if(this->refusalsTold, [this](const auto &told) {
        return !this->quarantined.contains(told.first);
    });
}

bool RequestQuarantine::isQuarantined(const RequestFingerprints &request) const
{
    return containsAny(this->quarantined, request);
}

bool RequestQuarantine::isSuspect(const RequestFingerprints &request) const
{
    return containsAny(this->suspects, request);
}

bool RequestQuarantine::hasEndedWell(std::uint64_t fingerprint) const
{
    return this->goodEnds.contains(fingerprint) || this->olderGoodEnds.contains(fingerprint);
}

void RequestQuarantine::recordStrike(
    const RequestFingerprints &request, const std::string &endpoint, Instant at, Duration underWay)
{
    if (this->hasEndedWell(request.turn)) {
        this->goodEnds.erase(request.turn);
        this->olderGoodEnds.erase(request.turn);
    } else if (this->report.strikes.size() < MaxStrikes) {
        this->report.strikes.push_back({request.turn, endpoint, at, false, underWay});
    }
    const bool isTurn = request.content != request.turn;
    if (isTurn && !this->hasEndedWell(request.content) && this->report.strikes.size() < MaxStrikes) {
        this->report.strikes.push_back({request.content, endpoint, at, true, underWay});
    }
}

void RequestQuarantine::recordGoodEnd(const RequestFingerprints &request)
{
    this->goodEnds.insert(request.turn);
    this->goodEnds.insert(request.content);
    if (this->goodEnds.size() >= GenerationSize) {
        this->olderGoodEnds = std::exchange(this->goodEnds, {});
    }
    auto &list = this->report.acquitted;
    for (const std::uint64_t fingerprint : distinct(request)) {
        const bool isUnderSuspicion = this->suspects.contains(fingerprint) || this->quarantined.contains(fingerprint);
        if (isUnderSuspicion && std::find(list.begin(), list.end(), fingerprint) == list.end()) {
            list.push_back(fingerprint);
        }
    }
}

void RequestQuarantine::recordRefused(const RequestFingerprints &request, Instant now)
{
    for (const std::uint64_t fingerprint : distinct(request)) {
        if (!this->quarantined.contains(fingerprint)) {
            continue;
        }
        const auto [told, isFirst] = this->refusalsTold.try_emplace(fingerprint, now);
        if (isFirst || now - told->second >= RefusalInterval) {
            told->second = now;
            this->report.refused.push_back(fingerprint);
        }
    }
}

StrikeReport RequestQuarantine::takeReport()
{
    return std::exchange(this->report, {});
}

} // namespace Chestnuthook
