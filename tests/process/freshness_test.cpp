/** @file freshness_test.cpp  No entry serves requests based on fleet state that may be outdated. */
#define BOOST_TEST_MODULE freshness
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

#include "support/control_probe.h"

using namespace Chestnuthook::Testing;

namespace
{

FleetOptions threeControls()
{
    FleetOptions size;
    size.controls = 3;
    size.entries = 2;
    return size;
}

int createStatus(const ProcessFleet &fleet, const std::string &key, std::size_t entry)
{
    return httpAs(key, fleet.entryAddresses[entry], "POST", "/v1/programs", "{}").status;
}

} // namespace

BOOST_AUTO_TEST_CASE(partitioned_leader_can_not_serve_a_withdrawn_key)
{
    ProcessFleet fleet(threeControls());
    ControlProbe probe(fleet);
    const std::size_t isolated = probe.leader(); // Both entries and chestnuthook-ctl are connected to it.
    const std::string issued = fleet.ctl({"keys", "issue", fleet.customer}).output;
    const std::string id = issued.substr(3, issued.find('\n') - 3);
    const std::size_t at = issued.find("key chk-") + 4;
    const std::string key = issued.substr(at, issued.find('\n', at) - at);
    for (std::size_t entry : {0, 1}) {
        BOOST_REQUIRE(waitUntil([&]() {
            return createStatus(fleet, key, entry) == 201;
        }));
    }
    probe.setFault(isolated, true, false);
    BOOST_TEST(fleet.ctl({"keys", "withdraw", id}).exitCode == 0); // chestnuthook-ctl finds the new leader itself.
    for (std::size_t entry : {0, 1}) {
        BOOST_TEST(waitUntil([&]() {
            return createStatus(fleet, key, entry) == 401;
        }));
    }
    const std::size_t next = probe.leader(isolated);
    BOOST_TEST(next != isolated);
    const auto status = probe.status(isolated);
    BOOST_TEST((status && !status->confirmed));
    BOOST_TEST(!probe.submit(isolated, applyCommand(status->revision, "at-isolated", "{}")).has_value());
    // Other keys are still served, and the member catches up after the fault.
    BOOST_TEST(fleet.ask(0, "POST", "/v1/programs", "{}").status == 201);
    const std::uint64_t revision = probe.status(next)->revision;
    BOOST_TEST(probe.submit(next, applyCommand(revision, "while-isolated", "{}")).has_value());
    probe.setFault(isolated, false, false);
    BOOST_TEST(waitUntil([&]() {
        const auto now = probe.status(isolated);
        return now && now->revision == revision + 1;
    }));
    BOOST_TEST(createStatus(fleet, key, 0) == 401);
}

BOOST_AUTO_TEST_CASE(stream_of_withdrawn_key_ends_at_entry_of_partitioned_leader)
{
    FleetOptions size = threeControls();
    size.engineFlags = {"--token_ms=1500"}; // An answer has at least eight tokens and so takes 12 s or more.
    ProcessFleet fleet(size);
    ControlProbe probe(fleet);
    const std::string issued = fleet.ctl({"keys", "issue", fleet.customer}).output;
    const std::string id = issued.substr(3, issued.find('\n') - 3);
    const std::size_t at = issued.find("key chk-") + 4;
    const std::string key = issued.substr(at, issued.find('\n', at) - at);
    const std::string program = "/v1/programs/" + fleet.createProgram(0);
    HttpAnswer answer;
    std::thread caller([&]() {
        answer = httpAs(key, fleet.entryAddresses[0], "POST", program + "/calls/1",
            R"({"kind":"model","model":"verse","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"a"}]})");
    });
    BOOST_TEST(waitUntil([&]() {
        return ProcessFleet::ledgerCount(fleet.engineAddresses[0], "\"running\"") == 1;
    }));
    probe.setFault(probe.leader(), true, false);
    BOOST_TEST(fleet.ctl({"keys", "withdraw", id}).exitCode == 0);
    caller.join();
    BOOST_TEST((answer.status == 200 || answer.status == 401)); // Depends on whether a token was sent before.
    BOOST_TEST(answer.body.find("[DONE]") == std::string::npos, answer.body);
    BOOST_TEST(answer.body.find("unknown_key") != std::string::npos, answer.body);
}

BOOST_AUTO_TEST_CASE(entry_without_confirmed_state_rejects_requests)
{
    ProcessFleet fleet(threeControls());
    ControlProbe probe(fleet);
    for (std::size_t i = 0; i < 3; ++i) {
        probe.setFault(i, false, true);
    }
    HttpAnswer refused;
    BOOST_TEST(waitUntil([&]() {
        refused = fleet.ask(0, "POST", "/v1/programs", "{}");
        return refused.status == 503;
    }));
    BOOST_TEST(refused.body.find("\"ran\":\"no\"") != std::string::npos, refused.body);
    BOOST_TEST(http(fleet.entryAddresses[0], "GET", "/readyz").status == 503);
    // A restarted process has no state and must not take its empty state for the current one.
    fleet.startEntry(1);
    BOOST_TEST(waitUntil([&]() {
        return http(fleet.entryAddresses[1], "GET", "/healthz").status == 200;
    }));
    BOOST_TEST(createStatus(fleet, fleet.key, 1) == 503);
    for (std::size_t i = 0; i < 3; ++i) {
        probe.setFault(i, false, false);
    }
    for (std::size_t entry : {0, 1}) {
        BOOST_TEST(waitUntil([&]() {
            return createStatus(fleet, fleet.key, entry) == 201;
        }));
    }
}

BOOST_AUTO_TEST_CASE(entries_switch_away_from_unresponsive_member)
{
    ProcessFleet fleet(threeControls());
    ControlProbe probe(fleet);
    const std::size_t silent = probe.leader();
    fleet.processes.at("control-" + std::to_string(silent))->signal(SIGSTOP);
    const std::size_t next = probe.leader(silent);
    const std::uint64_t revision = probe.status(next)->revision;
    BOOST_TEST(probe.submit(next, applyCommand(revision, "after-stop", "{}")).has_value());
    for (std::size_t entry : {0, 1}) {
        const std::string log = fleet.folder + "/entry-" + std::to_string(entry) + ".log";
        BOOST_TEST(waitUntil([&]() {
            return readFile(log).find("configuration_in_force revision=" + std::to_string(revision + 1))
                != std::string::npos;
        }));
    }
}
