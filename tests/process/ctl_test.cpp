/** @file ctl_test.cpp  Tests of chestnuthook-ctl against a running fleet: exit codes, concurrent changes and
 * resent commands. */
#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string sourcePath(const std::string &path)
{
    return std::string(std::getenv("CHESTNUTHOOK_SOURCE")) + "/" + path;
}

/** Writes an overlay file that sets the rate of a customer. @return its path. */
std::string writeOverlay(const ProcessFleet &fleet, const std::string &name, int rate)
{
    std::string path = fleet.folder + "/" + name + ".yaml";
    std::ofstream(path) << "tenants:\n  vetrarkort:\n    rate: " << rate << "\n";
    return path;
}

std::vector<std::string> declarationCommand(
    const std::string &word, const std::string &last, std::vector<std::string> flags = {})
{
    flags.insert(flags.end(), {word, sourcePath("deploy/base.yaml"), sourcePath("deploy/kortagatt.yaml"), last});
    return flags;
}

/** Returns the number after @p label in @p text, or -1 if there is none. */
long numberAfter(const std::string &text, const std::string &label)
{
    const std::size_t at = text.find(label);
    return at == std::string::npos ? -1 : std::strtol(text.c_str() + at + label.size(), nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_CASE(validate_reports_all_faults_without_a_fleet)
{
    const std::string folder = std::filesystem::temp_directory_path().string();
    const std::string path = folder + "/ctl-test-bad-" + std::to_string(getpid()) + ".yaml";
    std::ofstream(path) << "tenants:\n  a:\n    rate: x\n    burst: 0\n";
    const CommandResult text = runCommand("chestnuthook-ctl", {"validate", path});
    const CommandResult json = runCommand("chestnuthook-ctl", {"--output=json", "validate", path});
    std::filesystem::remove(path);
    BOOST_TEST(text.exitCode == 3);
    BOOST_TEST(contains(text.output, path + ":3: tenants.a.rate: must be a number"), text.output);
    BOOST_TEST(contains(text.output, path + ":4: tenants.a.burst: must be from 1"), text.output);
    BOOST_TEST(json.exitCode == 3);
    BOOST_TEST(contains(json.output, R"("line":4,"path":"tenants.a.burst")"), json.output);
    const CommandResult right =
        runCommand("chestnuthook-ctl", {"validate", sourcePath("deploy/base.yaml"), sourcePath("deploy/derwent.yaml")});
    BOOST_TEST(right.exitCode == 0, right.output);
}

BOOST_AUTO_TEST_CASE(invalid_command_line_prints_usage)
{
    for (const std::vector<std::string> &words : std::vector<std::vector<std::string>>{{}, {"sing"}, {"apply"},
             {"keys"}, {"keys", "issue"}, {"--output=xml", "status"}, {"--wait_ms=-1", "status"}}) {
        BOOST_TEST(runCommand("chestnuthook-ctl", words, {"CHESTNUTHOOK_SECRET=x"}).exitCode == 2);
    }
    const CommandResult help = runCommand("chestnuthook-ctl", {"--help"});
    for (const char *part : {"apply FILE", "keys withdraw ID", "exit codes", "--wait_ms"}) {
        BOOST_TEST(contains(help.output, part), help.output);
    }
}

BOOST_AUTO_TEST_CASE(concurrent_apply_accepts_one_operator_and_resend_returns_first_reply)
{
    ProcessFleet fleet;
    const CommandResult diff = fleet.ctl(declarationCommand("diff", writeOverlay(fleet, "first", 6)));
    BOOST_TEST(contains(diff.output, "~ tenants.vetrarkort.rate: 5 -> 6\n1 declaration differs"), diff.output);
    const std::string expect = "--expect=" + std::to_string(numberAfter(diff.output, "revision "));
    const auto first = declarationCommand("apply", writeOverlay(fleet, "first", 6), {expect, "--request_id=change-1"});
    const CommandResult won = fleet.ctl(first);
    BOOST_TEST(won.exitCode == 0, won.output);
    BOOST_TEST(contains(won.output, "in force on all entries"), won.output);
    const CommandResult lost = fleet.ctl(declarationCommand("apply", writeOverlay(fleet, "second", 7), {expect}));
    BOOST_TEST(lost.exitCode == 4, lost.output);
    BOOST_TEST(contains(lost.output, "remedy"), lost.output);
    const CommandResult resent = fleet.ctl(first);
    BOOST_TEST(resent.exitCode == 0, resent.output);
    BOOST_TEST(numberAfter(resent.output, "revision ") == numberAfter(won.output, "revision "));
    const CommandResult after = fleet.ctl(declarationCommand("diff", writeOverlay(fleet, "first", 6)));
    BOOST_TEST(contains(after.output, "0 declarations differ"), after.output);
}

BOOST_AUTO_TEST_CASE(apply_reports_the_lagging_entry)
{
    FleetOptions size;
    size.entries = 2;
    ProcessFleet fleet(size);
    fleet.processes.at("entry-1")->signal(SIGSTOP);
    const CommandResult applied =
        fleet.ctl(declarationCommand("apply", writeOverlay(fleet, "lag", 6), {"--wait_ms=700", "--output=json"}));
    fleet.processes.at("entry-1")->signal(SIGCONT);
    BOOST_TEST(applied.exitCode == 5, applied.output);
    BOOST_TEST(contains(applied.output, R"("in_force":false,"lagging":["entry-1.)"), applied.output);
    const CommandResult again =
        fleet.ctl(declarationCommand("apply", writeOverlay(fleet, "lag", 6), {"--wait_ms=30000"}));
    BOOST_TEST(again.exitCode == 0, again.output);
}

BOOST_AUTO_TEST_CASE(status_keys_and_programs_json_contains_no_key)
{
    ProcessFleet fleet;
    const std::string program = fleet.createProgram(0);
    const CommandResult status = fleet.ctl({"--output=json", "status"});
    BOOST_TEST(status.exitCode == 0, status.output);
    for (const char *part :
        {R"("confirmed":true)", R"("slots":1024)", R"("draining":false)", R"("member":"control-0")"}) {
        BOOST_TEST(contains(status.output, part), status.output);
    }
    BOOST_TEST(!contains(fleet.ctl({"status"}).output, "\x1b["));
    const CommandResult programs = fleet.ctl({"--output=json", "programs", fleet.customer});
    BOOST_TEST(contains(programs.output, R"("id":")" + program + "\""), programs.output);
    BOOST_TEST(!contains(fleet.ctl({"programs", "derwentmelt"}).output, program));
    const CommandResult issued = fleet.ctl({"--output=json", "--note=press office", "keys", "issue", fleet.customer});
    BOOST_TEST(contains(issued.output, R"("key":"chk-)"), issued.output);
    const CommandResult keys = fleet.ctl({"--output=json", "keys", "list"});
    BOOST_TEST(contains(keys.output, R"("state":"active","note":"press office")"), keys.output);
    BOOST_TEST(!contains(keys.output, "chk-"));
    const CommandResult unknown = fleet.ctl({"--output=json", "keys", "withdraw", "k-none"});
    BOOST_TEST(unknown.exitCode == 1);
    BOOST_TEST(contains(unknown.output, R"("code":"not_found")"), unknown.output);
}

BOOST_AUTO_TEST_CASE(resent_keys_issue_prints_no_key_unknown_to_the_fleet)
{
    ProcessFleet fleet;
    const std::vector<std::string> issue = {"--request_id=autumn", "keys", "issue", fleet.customer};
    const CommandResult first = fleet.ctl(issue);
    BOOST_TEST(contains(first.output, "key chk-"), first.output);
    const CommandResult resent = fleet.ctl(issue);
    BOOST_TEST(resent.exitCode == 1, resent.output);
    BOOST_TEST(!contains(resent.output, "chk-"));
    BOOST_TEST(contains(resent.output, "withdraw k-"), resent.output);
    BOOST_TEST(fleet.ctl({"keys", "issue", "nobody"}).exitCode == 1);
}

BOOST_AUTO_TEST_CASE(drained_entry_hands_over_slots_and_exits)
{
    FleetOptions size;
    size.entries = 2;
    ProcessFleet fleet(size);
    BOOST_TEST(fleet.ctl({"drain", "entry-9"}).exitCode == 1);
    const CommandResult drained = fleet.ctl({"drain", "entry-1"});
    BOOST_TEST(drained.exitCode == 0, drained.output);
    BOOST_TEST(fleet.processes.at("entry-1")->wait() == 0);
    BOOST_TEST(waitUntil([&]() {
        const std::string status = fleet.ctl({"--output=json", "status"}).output;
        return contains(status, R"("slots":1024)");
    }));
    BOOST_TEST(fleet.ask(0, "POST", "/v1/programs", "{}").status == 201);
}

BOOST_AUTO_TEST_CASE(unreachable_fleet_is_reported)
{
    const CommandResult status = runCommand(
        "chestnuthook-ctl", {"--controls=" + reserveLoopbackAddresses(1)[0], "status"}, {"CHESTNUTHOOK_SECRET=x"});
    BOOST_TEST(status.exitCode == 1, status.output);
    BOOST_TEST(contains(status.output, "remedy: bring up a majority"), status.output);
}
