/** @file membership_test.cpp  Replacement of lost and wiped control members. */
#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>

#include "support/control_probe.h"

using namespace Chestnuthook::Testing;

namespace
{

FleetOptions threeControls()
{
    FleetOptions size;
    size.controls = 3;
    size.controlFlags = {"--snapshot_entries=20"}; // So that a new member catches up from a snapshot.
    return size;
}

std::string controlName(std::size_t index)
{
    return "control-" + std::to_string(index);
}

void kill(ProcessFleet &fleet, std::size_t index)
{
    fleet.processes.at(controlName(index))->signal(SIGKILL);
    fleet.processes.at(controlName(index))->wait();
}

/** Applies @p count changes. @return the revision after them. */
std::uint64_t applyChanges(ControlProbe &probe, std::size_t leader, int count)
{
    for (int i = 0; i < count; ++i) {
        const std::uint64_t revision = probe.status(leader)->revision;
        BOOST_REQUIRE(probe.submit(leader, applyCommand(revision, "", "{}")).has_value());
    }
    return probe.status(leader)->revision;
}

} // namespace

BOOST_AUTO_TEST_CASE(second_member_loss_after_repair_loses_nothing)
{
    ProcessFleet fleet(threeControls());
    ControlProbe probe(fleet);
    const std::size_t lost = (probe.leader() + 1) % 3;
    kill(fleet, lost);
    const std::uint64_t revision = applyChanges(probe, probe.leader(lost), 30);
    fleet.controlAddresses.push_back(reserveLoopbackAddresses(1)[0]);
    fleet.startControl(3);
    const CommandResult removed = fleet.ctl({"members", "remove", controlName(lost)});
    BOOST_TEST(removed.exitCode == 0, removed.output);
    const CommandResult added = fleet.ctl({"members", "add", controlName(3), fleet.controlAddresses[3]});
    BOOST_TEST(added.exitCode == 0, added.output);
    const std::size_t second = probe.leader(lost);
    kill(fleet, second);
    const std::size_t leader = probe.leader(second);
    BOOST_TEST(probe.status(leader)->revision == revision);
    BOOST_TEST(applyChanges(probe, leader, 1) == revision + 1);
    const std::string list = fleet.ctl({"members", "list"}).output;
    BOOST_TEST(list.find(controlName(3) + ".") != std::string::npos, list);
    BOOST_TEST(list.find(controlName(lost) + ".") == std::string::npos, list);
    BOOST_TEST(waitUntil([&]() { // The entry finds the leader, also if that is the new member.
        return fleet.ask(0, "POST", "/v1/programs", "{}").status == 201;
    }));
}

BOOST_AUTO_TEST_CASE(wiped_member_has_no_vote_under_its_old_identity)
{
    ProcessFleet fleet(threeControls());
    ControlProbe probe(fleet);
    const std::size_t wiped = (probe.leader() + 1) % 3;
    kill(fleet, wiped);
    std::filesystem::remove_all(fleet.folder + "/" + controlName(wiped));
    fleet.startControl(wiped);
    // With one of the other two down there is no quorum; the wiped member must not complete one.
    const std::size_t gone = (wiped + 1) % 3;
    const std::size_t left = (wiped + 2) % 3;
    kill(fleet, gone);
    BOOST_TEST(!waitUntil(
        [&]() {
            const auto one = probe.status(left);
            const auto other = probe.status(wiped);
            return (one && one->confirmed) || (other && other->confirmed);
        },
        std::chrono::seconds(3)));
    fleet.startControl(gone);
    const std::size_t leader = probe.leader();
    BOOST_TEST(leader != wiped);
    const CommandResult refused = fleet.ctl({"members", "add", controlName(wiped), fleet.controlAddresses[wiped]});
    BOOST_TEST(refused.exitCode != 0);
    BOOST_TEST(refused.output.find("remove it first") != std::string::npos, refused.output);
    BOOST_TEST(fleet.ctl({"members", "remove", controlName(wiped)}).exitCode == 0);
    const CommandResult added = fleet.ctl({"members", "add", controlName(wiped), fleet.controlAddresses[wiped]});
    BOOST_TEST(added.exitCode == 0, added.output);
    const std::uint64_t revision = applyChanges(probe, probe.leader(), 1);
    BOOST_TEST(waitUntil([&]() {
        const auto status = probe.status(wiped);
        return status && status->revision == revision;
    }));
}

BOOST_AUTO_TEST_CASE(wiped_first_member_bootstraps_no_second_group)
{
    ProcessFleet fleet(threeControls());
    ControlProbe probe(fleet);
    probe.leader();
    kill(fleet, 0);
    std::filesystem::remove_all(fleet.folder + "/" + controlName(0));
    fleet.startControl(0);
    const std::size_t leader = probe.leader(0);
    const std::uint64_t revision = applyChanges(probe, leader, 1);
    BOOST_TEST(!waitUntil(
        [&]() {
            const auto status = probe.status(0);
            return status && status->confirmed;
        },
        std::chrono::seconds(2)));
    BOOST_TEST(probe.status(leader)->revision == revision);
}
