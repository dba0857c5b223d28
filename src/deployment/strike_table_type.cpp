/** @file strike_table_type.cpp  Counts the crashes at which requests were under way, and weighs who caused them. */
#include "deployment/strike_table_type.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <tuple>

namespace Chestnuthook
{

bool StrikeTable::Request::wasAt(const Crash &crash) const
{
    return std::ranges::find(this->strikes, crash, &Strike::crash) != this->strikes.end();
}

std::uint32_t StrikeTable::Request::longestUnderWayMs() const
{
    return std::ranges::max_element(this->strikes, {}, &Strike::underWayMs)->underWayMs;
}

bool StrikeTable::Request::wasAtAllAtOnce() const
{
    std::int64_t lastBegin = std::numeric_limits<std::int64_t>::min();
    std::int64_t firstEnd = std::numeric_limits<std::int64_t>::max();
    for (const Strike &strike : this->strikes) {
        lastBegin = std::max(lastBegin, strike.crash.atMs - strike.underWayMs);
        firstEnd = std::min(firstEnd, strike.crash.atMs);
    }
    return lastBegin < firstEnd;
}

StrikeTable::CrashTimes StrikeTable::crashTimes() const
{
    CrashTimes times;
    for (const auto &[fingerprint, request] : this->requests) {
        for (const Strike &strike : request.strikes) {
            times[strike.crash.endpoint].insert(strike.crash.atMs);
        }
    }
    return times;
}

StrikeTable::Crash StrikeTable::crashOf(const EndpointStrike &strike, const CrashTimes &known)
{
    const auto endpoint = known.find(strike.endpoint);
    if (endpoint != known.end()) {
        const auto first = endpoint->second.upper_bound(strike.atMs - SameCrashMs);
        if (first != endpoint->second.end() && *first < strike.atMs + SameCrashMs) {
            return {strike.endpoint, *first};
        }
    }
    return {strike.endpoint, strike.atMs};
}

std::vector<EndpointStrike> StrikeTable::unrecorded(const std::vector<EndpointStrike> &strikes) const
{
    const CrashTimes known = this->crashTimes();
    std::vector<EndpointStrike> found;
    std::ranges::copy_if(strikes, std::back_inserter(found), [this, &known](const EndpointStrike &strike) {
        const auto request = this->requests.find(strike.fingerprint);
        return request == this->requests.end() || !request->second.wasAt(crashOf(strike, known));
    });
    return found;
}

void StrikeTable::record(const std::vector<EndpointStrike> &strikes)
{
    CrashTimes known = this->crashTimes();
    for (const EndpointStrike &strike : strikes) {
        const Crash crash = crashOf(strike, known);
        Request &request = this->requests[strike.fingerprint];
        request.isBroad = strike.isBroad;
        if (request.wasAt(crash)) {
            continue;
        }
        known[crash.endpoint].insert(crash.atMs);
        request.strikes.push_back({crash, strike.underWayMs});
        if (request.strikes.size() > MaxCrashes) {
            request.strikes.erase(request.strikes.begin());
        }
        ++this->changeCount;
    }
    this->removeExcess();
}

void StrikeTable::erase(std::uint64_t fingerprint)
{
    this->changeCount += this->requests.erase(fingerprint);
}

void StrikeTable::removeExcess()
{
    while (this->requests.size() > MaxRequests) {
        const auto keyOf = [](const auto &row) {
            return std::make_tuple(row.second.strikes.size(), row.second.strikes.back().crash.atMs, row.first);
        };
        const auto least = std::min_element(
            this->requests.begin(), this->requests.end(), [&keyOf](const auto &left, const auto &right) {
                return keyOf(left) < keyOf(right);
            });
        this->requests.erase(least);
    }
}

void StrikeTable::restore(const std::vector<EndpointStrike> &strikes)
{
    this->requests.clear();
    ++this->changeCount;
    for (const EndpointStrike &strike : strikes) {
        Request &request = this->requests[strike.fingerprint];
        request.isBroad = strike.isBroad;
        request.strikes.push_back({{strike.endpoint, strike.atMs}, strike.underWayMs});
    }
}

std::set<std::uint64_t> StrikeTable::fingerprints() const
{
    std::set<std::uint64_t> found;
    for (const auto &[fingerprint, request] : this->requests) {
        found.insert(fingerprint);
    }
    return found;
}

bool StrikeTable::mayEndWell(const Request &request, std::int64_t nowMs)
{
    const std::int64_t decidedMs = request.strikes[QuarantineThreshold - 1].crash.atMs;
    return (request.isBroad || request.wasAtAllAtOnce()) && std::abs(nowMs - decidedMs) < GoodEndMs;
}

StrikeTable::Verdicts StrikeTable::verdicts(std::int64_t nowMs) const
{
    using Row = std::pair<const std::uint64_t, Request>;
    std::vector<const Row *> rows;
    for (const Row &row : this->requests) {
        rows.push_back(&row);
    }
    // The more specific come first, of these the ones that explain most, then the ones that had begun last: a request
    // that crashes endpoints does so soon.
    std::ranges::sort(rows, {}, [](const Row *row) {
        const Request &request = row->second;
        return std::make_tuple(request.isBroad, -static_cast<std::int64_t>(request.strikes.size()),
            request.longestUnderWayMs(), row->first);
    });
    Verdicts verdicts;
    std::set<Crash> explained;
    for (const Row *row : rows) {
        const Request &request = row->second;
        const auto unexplained = std::ranges::count_if(request.strikes, [&explained](const Strike &strike) {
            return !explained.contains(strike.crash);
        });
        const bool isCause = static_cast<std::size_t>(unexplained) >= QuarantineThreshold;
        if (isCause) {
            for (const Strike &strike : request.strikes) {
                explained.insert(strike.crash);
            }
        }
        if (isCause && !mayEndWell(request, nowMs)) {
            verdicts.quarantined.insert(row->first);
        } else if (verdicts.suspects.size() < MaxSuspects) {
            verdicts.suspects.insert(row->first);
        }
    }
    return verdicts;
}

std::vector<EndpointStrike> StrikeTable::strikes() const
{
    std::vector<EndpointStrike> all;
    for (const auto &[fingerprint, request] : this->requests) {
        for (const Strike &strike : request.strikes) {
            all.push_back({fingerprint, strike.crash.endpoint, strike.crash.atMs, request.isBroad, strike.underWayMs});
        }
    }
    return all;
}

std::vector<std::uint64_t> StrikeExpiry::expired(Instant now, const StrikeTable &table)
{
    std::erase_if(this->lastSeen, [&table](const auto &seen) {
        return !table.contains(seen.first);
    });
    std::vector<std::uint64_t> found;
    for (const std::uint64_t fingerprint : table.fingerprints()) {
        const Instant seen = this->lastSeen.try_emplace(fingerprint, now).first->second;
        if (now - seen > StrikeTtl) {
            found.push_back(fingerprint);
        }
    }
    return found;
}

} // namespace Chestnuthook
