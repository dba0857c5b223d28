/** @file control_bench.cpp  Replicated control state with real processes: commits, failover, propagation of a withdrawn
 * key, restart, and slopes for docs/CAPACITY.md. With --smoke the run is short and times are not checked. */
#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include <capnp/message.h>

#include "capacity_slope.h"
#include "client/control_client_base.h"
#include "rpc/control_loop_base.h"
#include "rpc/message_func.h"
#include "support/control_probe.h"
#include "support/process_fleet.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Testing;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr double MaxResumeMs = 1500;
constexpr double MaxWithdrawalMs = 2000;
constexpr double MaxIsolatedWithdrawalMs = 3000;
constexpr double MaxRestartMs = 1000;

bool smoke = false; ///< Set by --smoke.
bool anyFailed = false; ///< A bound was exceeded.

double msSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

void print(const std::string &name, double value, double bound)
{
    const bool isFailed = !smoke && bound > 0 && value > bound;
    anyFailed = anyFailed || isFailed;
    std::cout << "name=" << name << " value=" << value << " baseline=0 ratio=" << (bound > 0 ? value / bound : 0)
              << " bound=" << bound << " verdict=" << (isFailed ? "red" : "ok") << std::endl;
}

/** Command that adds a strike for a new fingerprint; its record has a typical size. */
std::string strikeCommand(int number)
{
    capnp::MallocMessageBuilder message;
    auto command = message.initRoot<Wire::FleetCommand>();
    auto strike = command.initStrike();
    strike.setFingerprint("bench-" + std::to_string(number));
    strike.setExpiresAtMs(INT64_MAX);
    strike.initEndpoints(1).set(0, "127.0.0.1:1");
    return flatBytes(message);
}

/** One writer: sends the next command as soon as the previous one is committed. */
kj::Promise<void> runWriter(ControlClient &client, std::vector<double> &latencies, int &next, int last)
{
    if (next >= last) {
        return kj::READY_NOW;
    }
    const auto sent = Clock::now();
    return client.submitFleet(strikeCommand(next++))
        .then([&client, &latencies, &next, last, sent](Result<std::string> &&reply) {
            KJ_REQUIRE(reply.has_value(), "a write failed");
            latencies.push_back(msSince(sent));
            return runWriter(client, latencies, next, last);
        });
}

void measureWriters(ControlLoop &loop, ControlClient &client, int writers, int &next, int count)
{
    std::vector<double> latencies;
    const auto start = Clock::now();
    kj::Vector<kj::Promise<void>> running;
    const int last = next + count;
    for (int i = 0; i < writers; ++i) {
        running.add(runWriter(client, latencies, next, last));
    }
    loop.wait(kj::joinPromises(running.releaseAsArray()));
    const double seconds = msSince(start) / 1000;
    std::sort(latencies.begin(), latencies.end());
    const std::string suffix = "_writers_" + std::to_string(writers);
    print("commit_ms_p50" + suffix, latencies[latencies.size() / 2], 0);
    print("commit_ms_p99" + suffix, latencies[latencies.size() * 99 / 100], 0);
    print("commits_per_s" + suffix, count / seconds, 0);
}

pid_t controlPid(const ProcessFleet &fleet, std::size_t index)
{
    return fleet.processes.at("control-" + std::to_string(index))->pid;
}

/** Measures processor time and bytes of a leader and a follower, idle and per commit, and memory per record. */
void measureSlopes(ControlLoop &loop, ControlClient &client, const ProcessFleet &fleet, std::size_t leader, int &next)
{
    const int count = smoke ? 200 : 5000;
    const std::chrono::seconds idle(smoke ? 1 : 5);
    for (const std::size_t index : {leader, (leader + 1) % 3}) {
        const std::string role = index == leader ? "leader" : "follower";
        const pid_t pid = controlPid(fleet, index);
        double us = Capacity::processorUsOf(pid);
        double bytes = Capacity::readAndWrittenBytes(pid);
        loop.wait(loop.kjTimer().afterDelay(idle.count() * kj::SECONDS)); // Sleeping would stop the event loop.
        const double idleUs = (Capacity::processorUsOf(pid) - us) / static_cast<double>(idle.count());
        const double idleBytes = (Capacity::readAndWrittenBytes(pid) - bytes) / static_cast<double>(idle.count());
        print("slope_" + role + "_idle_us_per_s", idleUs, 0);
        print("slope_" + role + "_idle_bytes_per_s", idleBytes, 0);
        us = Capacity::processorUsOf(pid);
        bytes = Capacity::readAndWrittenBytes(pid);
        const double resident = Capacity::residentBytes(pid);
        const auto start = Clock::now();
        std::vector<double> latencies;
        kj::Vector<kj::Promise<void>> running;
        const int last = next + count;
        for (int i = 0; i < 16; ++i) {
            running.add(runWriter(client, latencies, next, last));
        }
        loop.wait(kj::joinPromises(running.releaseAsArray()));
        const double seconds = msSince(start) / 1000;
        print("slope_" + role + "_append_us", (Capacity::processorUsOf(pid) - us - seconds * idleUs) / count, 0);
        print("slope_" + role + "_append_bytes",
            (Capacity::readAndWrittenBytes(pid) - bytes - seconds * idleBytes) / count, 0);
        print("slope_" + role + "_record_memory_bytes", (Capacity::residentBytes(pid) - resident) / count, 0);
    }
}

void measureCommits()
{
    FleetOptions size;
    size.controls = 3;
    size.entries = size.engines = size.services = 0;
    ProcessFleet fleet(size);
    ControlProbe probe(fleet);
    const std::size_t leader = probe.leader();
    ControlLoop &loop = probe.loop;
    ControlClient client(loop.rpc(), fleet.controlAddresses);
    int next = 0;
    loop.wait(client.submitFleet(strikeCommand(next++)).ignoreResult());
    for (const int writers : {1, 4, 16, 64}) {
        measureWriters(loop, client, writers, next, (smoke ? 50 : 500) * std::min(writers, 8));
    }
    measureSlopes(loop, client, fleet, leader, next);
    fleet.processes.at("control-" + std::to_string(leader))->signal(SIGKILL);
    const auto killed = Clock::now();
    loop.wait(client.submitFleet(strikeCommand(next++)).ignoreResult());
    print("resume_after_leader_loss_ms", msSince(killed), MaxResumeMs);
}

void measureRestart()
{
    FleetOptions size;
    size.controls = 3;
    size.entries = size.engines = size.services = 0;
    ProcessFleet fleet(size);
    ControlProbe probe(fleet);
    const std::size_t leader = probe.leader();
    const int changes = smoke ? 100 : 1000;
    std::uint64_t revision = probe.status(leader)->revision;
    for (int i = 0; i < changes; ++i) {
        static_cast<void>(probe.submit(leader, applyCommand(revision++, "", "{}")));
    }
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.processes.at("control-" + std::to_string(i))->signal(SIGKILL);
        fleet.processes.at("control-" + std::to_string(i))->wait();
    }
    const auto start = Clock::now();
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.startControl(i);
    }
    const std::size_t next = probe.leader();
    print("restart_of_all_members_ms", msSince(start), MaxRestartMs);
    const auto lost = static_cast<double>(revision - probe.status(next)->revision);
    anyFailed = anyFailed || lost != 0; // This is a count, so --smoke checks it too.
    std::cout << "name=restart_changes_lost value=" << lost
              << " baseline=0 ratio=0 bound=0 verdict=" << (lost == 0 ? "ok" : "red") << std::endl;
}

/** Milliseconds until all entries reject a key that is withdrawn; with @p isolate, right after the leader was cut off
 * from the network. */
double withdrawalMs(const ProcessFleet &fleet, ControlProbe &probe, bool isolate)
{
    const std::string issued = fleet.ctl({"keys", "issue", fleet.customer}).output;
    const std::string id = issued.substr(3, issued.find('\n') - 3);
    const std::size_t at = issued.find("key chk-") + 4;
    const std::string key = issued.substr(at, issued.find('\n', at) - at);
    const auto waitForAllEntries = [&](bool refused) {
        return waitUntil([&]() {
            return std::all_of(fleet.entryAddresses.begin(), fleet.entryAddresses.end(), [&](const auto &address) {
                return (httpAs(key, address, "GET", "/v1/programs/none").status == 401) == refused;
            });
        });
    };
    waitForAllEntries(false);
    const std::size_t leader = probe.leader();
    if (isolate) {
        probe.setFault(leader, true, false);
    }
    const auto start = Clock::now();
    static_cast<void>(fleet.ctl({"keys", "withdraw", id}));
    waitForAllEntries(true);
    return msSince(start);
}

void measureWithdrawal()
{
    FleetOptions size;
    size.controls = 3;
    size.entries = smoke ? 2 : 9;
    ProcessFleet fleet(size);
    ControlProbe probe(fleet);
    print("withdrawal_in_force_ms", withdrawalMs(fleet, probe, false), MaxWithdrawalMs);
    print("withdrawal_in_force_leader_isolated_ms", withdrawalMs(fleet, probe, true), MaxIsolatedWithdrawalMs);
}

} // namespace

int main(int argc, char **argv)
{
    smoke = std::any_of(argv + 1, argv + argc, [](const char *word) {
        return std::string(word) == "--smoke";
    });
    measureCommits();
    measureRestart();
    measureWithdrawal();
    return anyFailed ? 1 : 0;
}
