/** @file ctl_test.cpp  What operators do with chestnuthook-ctl against a running fleet: its exit codes, races and
 * resends. */
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

std::string source(const std::string &path)
{
    return std::string(std::getenv("CHESTNUTHOOK_SOURCE")) + "/" + path;
}

/** Writes an overlay that sets the rate of one tenant. */
std::string overlay(const ProcessFleet &fleet, const std::string &name, int rate)
{
    std::string path = fleet.folder + "/" + name + ".yaml";
    std::ofstream(path) << "tenants:\n  vetrarkort:\n    rate: " << rate << "\n";
    return path;
}

std::vector<std::string> verb(const std::string &word, const std::string &last, std::vector<std::string> flags = {})
{
    flags.insert(flags.end(), {word, source("deploy/base.yaml"), source("deploy/kortagatt.yaml"), last});
    return flags;
}

/** The number after @p label in @p text; -1 where there is none. */
long numberAfter(const std::string &text, const std::string &label)
{
    const std::size_t at = text.find(label);
    return at == std::string::npos ? -1 : std::strtol(text.c_str() + at + label.size(), nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_CASE(validate_needs_no_fleet_and_tells_all_faults)
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
        runCommand("chestnuthook-ctl", {"validate", source("deploy/base.yaml"), source("deploy/derwent.yaml")});
    BOOST_TEST(right.exitCode == 0, right.output);
}

BOOST_AUTO_TEST_CASE(a_wrong_command_line_is_told_with_its_usage)
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

BOOST_AUTO_TEST_CASE(of_two_operators_with_equal_revisions_one_wins_and_a_resend_gets_the_first_answer)
{
    ProcessFleet fleet;
    const CommandResult diff = fleet.ctl(verb("diff", overlay(fleet, "first", 6)));
    BOOST_TEST(contains(diff.output, "~ tenants.vetrarkort.rate: 5 -> 6\n1 declaration differs"), diff.output);
    const std::string expect = "--expect=" + std::to_string(numberAfter(diff.output, "revision "));
    const auto first = verb("apply", overlay(fleet, "first", 6), {expect, "--request_id=change-1"});
    const CommandResult won = fleet.ctl(first);
    BOOST_TEST(won.exitCode == 0, won.output);
    BOOST_TEST(contains(won.output, "in force on all entries"), won.output);
    const CommandResult lost = fleet.ctl(verb("apply", overlay(fleet, "second", 7), {expect}));
    BOOST_TEST(lost.exitCode == 4, lost.output);
    BOOST_TEST(contains(lost.output, "remedy"), lost.output);
    const CommandResult resent = fleet.ctl(first);
    BOOST_TEST(resent.exitCode == 0, resent.output);
    BOOST_TEST(numberAfter(resent.output, "revision ") == numberAfter(won.output, "revision "));
    const CommandResult after = fleet.ctl(verb("diff", overlay(fleet, "first", 6)));
    BOOST_TEST(contains(after.output, "0 declarations differ"), after.output);
}

BOOST_AUTO_TEST_CASE(apply_says_which_entry_lags)
{
    FleetOptions size;
    size.entries = 2;
    ProcessFleet fleet(size);
    fleet.processes.at("entry-1")->signal(SIGSTOP);
    const CommandResult applied =
        fleet.ctl(verb("apply", overlay(fleet, "lag", 6), {"--wait_ms=700", "--output=json"}));
    fleet.processes.at("entry-1")->signal(SIGCONT);
    BOOST_TEST(applied.exitCode == 5, applied.output);
    BOOST_TEST(contains(applied.output, R"("in_force":false,"lagging":["entry-1.)"), applied.output);
    const CommandResult again = fleet.ctl(verb("apply", overlay(fleet, "lag", 6), {"--wait_ms=30000"}));
    BOOST_TEST(again.exitCode == 0, again.output);
}

BOOST_AUTO_TEST_CASE(status_keys_and_programs_speak_json_and_hold_no_key)
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
    const CommandResult programs = fleet.ctl({"--output=json", "programs", fleet.tenant});
    BOOST_TEST(contains(programs.output, R"("id":")" + program + "\""), programs.output);
    BOOST_TEST(!contains(fleet.ctl({"programs", "derwentmelt"}).output, program));
    const CommandResult issued = fleet.ctl({"--output=json", "--note=press office", "keys", "issue", fleet.tenant});
    BOOST_TEST(contains(issued.output, R"("key":"chk-)"), issued.output);
    const CommandResult keys = fleet.ctl({"--output=json", "keys", "list"});
    BOOST_TEST(contains(keys.output, R"("state":"active","note":"press office")"), keys.output);
    BOOST_TEST(!contains(keys.output, "chk-"));
    const CommandResult unknown = fleet.ctl({"--output=json", "keys", "withdraw", "k-none"});
    BOOST_TEST(unknown.exitCode == 1);
    BOOST_TEST(contains(unknown.output, R"("code":"not_found")"), unknown.output);
}

BOOST_AUTO_TEST_CASE(a_resent_keys_issue_never_prints_a_key_that_the_fleet_does_not_hold)
{
    ProcessFleet fleet;
    const std::vector<std::string> issue = {"--request_id=autumn", "keys", "issue", fleet.tenant};
    const CommandResult first = fleet.ctl(issue);
    BOOST_TEST(contains(first.output, "key chk-"), first.output);
    const CommandResult resent = fleet.ctl(issue);
    BOOST_TEST(resent.exitCode == 1, resent.output);
    BOOST_TEST(!contains(resent.output, "chk-"));
    BOOST_TEST(contains(resent.output, "withdraw k-"), resent.output);
    BOOST_TEST(fleet.ctl({"keys", "issue", "nobody"}).exitCode == 1);
}

BOOST_AUTO_TEST_CASE(a_drained_entry_hands_over_its_slots_and_ends)
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

BOOST_AUTO_TEST_CASE(a_fleet_that_can_not_be_reached_is_told_so)
{
    const CommandResult status = runCommand(
        "chestnuthook-ctl", {"--controls=" + reserveLoopbackAddresses(1)[0], "status"}, {"CHESTNUTHOOK_SECRET=x"});
    BOOST_TEST(status.exitCode == 1, status.output);
    BOOST_TEST(contains(status.output, "remedy: bring up a majority"), status.output);
}
