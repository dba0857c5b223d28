/** @file soak_schedule.cpp  Draws the schedules of the soak test from a seed. */
#include "support/soak_schedule.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace Chestnuthook::Testing
{

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr std::array FaultNames = {"kill", "pause", "terminate", "kill all", "link", "configure", "release", "stop"};
constexpr std::array LinkFaultNames = {"none", "delay", "stall", "hold responses", "reset", "reset on response"};

constexpr Milliseconds MinFaultTime{200};
constexpr Milliseconds MaxFaultTime{5000};
constexpr Milliseconds MinFaultDuration{50};
constexpr Milliseconds MaxFaultDuration{1500};
constexpr int MinFaults = 2;
constexpr int MaxFaults = 9;
constexpr int MaxDisturbancesOfStops = 2;
constexpr int MaxConfigurationsOfStops = 3;
constexpr std::array ReleaseGaps = {Milliseconds(100), Milliseconds(400), Milliseconds(800)};
constexpr int MaxGatewayKills = 2;
constexpr int MaxDisturbancesOfReleases = 1;
constexpr std::array StopGaps = {Milliseconds(0), Milliseconds(100), Milliseconds(590), Milliseconds(1500)};

Milliseconds randomTime(Random &random, Milliseconds min, Milliseconds max)
{
    return Milliseconds(randomInt(random, static_cast<int>(min.count()), static_cast<int>(max.count())));
}

Fault randomFault(Random &random, const FaultTargets &targets)
{
    // Links are chosen as often as all process faults together, since they have more kinds of faults.
    constexpr std::array Kinds = {FaultKind::Kill, FaultKind::Pause, FaultKind::Terminate, FaultKind::KillAll,
        FaultKind::Link, FaultKind::Link, FaultKind::Link, FaultKind::Link, FaultKind::Configure};
    Fault fault;
    fault.kind = Kinds[static_cast<std::size_t>(randomInt(random, 0, static_cast<int>(Kinds.size()) - 1))];
    fault.at = randomTime(random, MinFaultTime, MaxFaultTime);
    fault.duration = randomTime(random, MinFaultDuration, MaxFaultDuration);
    const std::size_t count = fault.kind == FaultKind::Link ? targets.links : targets.processes;
    fault.target = static_cast<std::size_t>(randomInt(random, 0, static_cast<int>(count) - 1));
    fault.link = static_cast<LinkFault>(randomInt(random, 1, static_cast<int>(LinkFault::ResetOnResponse)));
    return fault;
}

} // namespace

int randomInt(Random &random, int min, int max)
{
    return boost::random::uniform_int_distribution<int>(min, max)(random);
}

bool isPlanned(FaultKind kind)
{
    return kind == FaultKind::Configure || kind == FaultKind::Release || kind == FaultKind::Stop;
}

std::string describe(const Fault &fault)
{
    return std::to_string(fault.at.count()) + " to " + std::to_string((fault.at + fault.duration).count())
        + " ms: " + FaultNames.at(static_cast<std::size_t>(fault.kind)) + ' ' + std::to_string(fault.target)
        + (fault.kind == FaultKind::Link ? std::string(" ") + LinkFaultNames.at(static_cast<std::size_t>(fault.link))
                : fault.version.empty()  ? ""
                                         : " " + fault.version + (fault.reusesAddress ? " at the same address" : ""));
}

std::vector<Fault> scheduleFaults(unsigned seed, const FaultTargets &targets)
{
    Random random(seed);
    std::vector<Fault> schedule(static_cast<std::size_t>(randomInt(random, MinFaults, MaxFaults)));
    for (Fault &fault : schedule) {
        fault = randomFault(random, targets);
    }
    return schedule;
}

std::vector<Fault> scheduleReleases(unsigned seed, const FaultTargets &targets)
{
    constexpr int RollOuts = 3;
    constexpr int MinReleases = 2;
    constexpr int MaxReleases = 4;
    constexpr int ReusedAddressInterval = 3;
    const std::array versions = {"v1.1", "v1.2", "v1.3"};
    Random random(seed);
    std::vector<Fault> schedule;
    for (int rollOut = 0; rollOut < RollOuts; ++rollOut) {
        const Milliseconds start =
            Milliseconds(2500) * rollOut + randomTime(random, Milliseconds(300), Milliseconds(1500));
        const Milliseconds gap =
            ReleaseGaps[static_cast<std::size_t>(randomInt(random, 0, int{ReleaseGaps.size()} - 1))];
        const std::string version = versions[static_cast<std::size_t>(randomInt(random, 0, int{versions.size()} - 1))];
        const int releases = randomInt(random, MinReleases, MaxReleases);
        for (int i = 0; i < releases; ++i) {
            Fault fault;
            fault.kind = FaultKind::Release;
            fault.at = start + gap * i;
            fault.duration = randomTime(random, Milliseconds(800), Milliseconds(1500));
            fault.version = version;
            fault.reusesAddress = randomInt(random, 1, ReusedAddressInterval) == 1;
            schedule.push_back(fault);
        }
    }
    for (int left = randomInt(random, 0, MaxGatewayKills); left > 0; --left) {
        Fault fault = randomFault(random, targets);
        fault.kind = FaultKind::Kill;
        fault.target = targets.processes - 1 - fault.target % targets.gateways;
        schedule.push_back(fault);
    }
    for (int left = randomInt(random, 0, MaxDisturbancesOfReleases); left > 0; --left) {
        schedule.push_back(randomFault(random, targets));
    }
    return schedule;
}

std::vector<Fault> scheduleStops(unsigned seed, const FaultTargets &targets, Milliseconds grace)
{
    constexpr int Rounds = 2;
    Random random(seed);
    std::vector<Fault> schedule;
    Milliseconds at(0);
    for (int round = 0; round < Rounds; ++round) {
        // The second round may begin before the first one is over.
        at += randomTime(random, Milliseconds(300), Milliseconds(1000)) + (round == 0 ? Milliseconds(0) : grace);
        const Milliseconds gap = StopGaps[static_cast<std::size_t>(randomInt(random, 0, int{StopGaps.size()} - 1))];
        const auto first = static_cast<std::size_t>(randomInt(random, 0, static_cast<int>(targets.gateways) - 1));
        for (std::size_t i = 0; i < targets.gateways; ++i) {
            schedule.push_back({FaultKind::Stop, at + gap * i, grace, (first + i) % targets.gateways, LinkFault::None});
        }
    }
    for (int left = randomInt(random, 0, MaxConfigurationsOfStops); left > 0; --left) {
        Fault fault = randomFault(random, targets);
        fault.kind = FaultKind::Configure;
        schedule.push_back(fault);
    }
    for (int left = std::max(0, randomInt(random, 1 - MaxDisturbancesOfStops, MaxDisturbancesOfStops)); left > 0;
         --left) {
        schedule.push_back(randomFault(random, targets));
    }
    return schedule;
}

} // namespace Chestnuthook::Testing
