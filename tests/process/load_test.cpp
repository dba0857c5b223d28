/** @file load_test.cpp  Runs the load tool with a fault schedule against a real fleet. */
#define BOOST_TEST_MODULE load_tool
#include <fstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;

namespace
{

std::string joined(const std::vector<std::string> &list)
{
    std::string text;
    for (const std::string &item : list) {
        text += (text.empty() ? "" : ",") + item;
    }
    return text;
}

/** Writes the files fleet.env and pids as scripts/fleet does. */
void writeFleetFolder(const ProcessFleet &fleet, const std::string &folder)
{
    std::ofstream(folder + "/fleet.env") << "ENTRIES=" << joined(fleet.entryAddresses)
                                         << "\nENGINES=" << joined(fleet.engineAddresses)
                                         << "\nSERVICES=" << joined(fleet.serviceAddresses) << "\nMODEL=" << fleet.model
                                         << "\nSERVICE=" << fleet.service << "\nKEY_" << fleet.customer << "="
                                         << fleet.key << "\n";
    std::ofstream(folder + "/pids") << "engine-2 " << fleet.processes.at("engine-1")->pid << "\n";
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_run_reports_measures_guarantees_and_injected_faults)
{
    FleetOptions size;
    size.entries = 2;
    size.engines = 2;
    ProcessFleet fleet(size);
    const TemporaryFolder folder;
    writeFleetFolder(fleet, folder.path);
    std::ofstream(folder.path + "/faults")
        << "0.5 fault engine-1 {\"kind\":\"slow\",\"count\":2}\n1 signal engine-2 KILL\n";
    const CommandResult ran = runCommand("chestnuthook-load",
        {"--fleet=" + folder.path, "--report=" + folder.path + "/report", "--mix=derwent", "--programs=8", "--rate=8",
            "--seconds=3", "--grace_seconds=15", "--time_scale=0.01", "--faults=" + folder.path + "/faults"});
    const std::string report = readFile(folder.path + "/report/report.md");
    BOOST_TEST(contains(ran.output, "programs 8"), ran.output);
    BOOST_TEST(contains(report, "engine-2 was sent signal 9"), report);
    BOOST_TEST(contains(report, "engine-1 was given"), report);
    for (const char *promise : {"answers whole and one's own", "non-idempotent calls run at most once"}) {
        const std::size_t row = report.find("| " + std::string(promise) + " | ");
        BOOST_REQUIRE(row != std::string::npos);
        BOOST_TEST(contains(report.substr(row, report.find('\n', row) - row), " | 0 |"), report);
    }
    BOOST_TEST(!contains(report + ran.output, fleet.key));
    for (const char *file : {"plot.gp", "latency.dat", "measures.txt"}) {
        BOOST_TEST(!readFile(folder.path + "/report/" + file).empty(), file);
    }
}

BOOST_AUTO_TEST_CASE(a_missing_fleet_or_setting_is_an_error_with_a_remedy)
{
    const TemporaryFolder folder;
    const CommandResult none = runCommand("chestnuthook-load", {"--fleet=" + folder.path});
    BOOST_TEST(none.exitCode == 1);
    BOOST_TEST(contains(none.output, "scripts/fleet start"), none.output);
    const CommandResult unset = runCommand("chestnuthook-load", {"--rate=-1"});
    BOOST_TEST(unset.exitCode == 2);
    BOOST_TEST(contains(unset.output, "fleet"), unset.output);
}
