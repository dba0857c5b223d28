/** @file timeline_test.cpp  chestnuthook-timeline against running processes: filters, unreadable sources, and
 * settings errors of the daemons. */
#define BOOST_TEST_MODULE timeline
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(timeline_is_filtered_by_program_and_by_key)
{
    ProcessFleet fleet;
    const std::string program = fleet.createProgram(0);
    const std::string other = fleet.createProgram(0);
    fleet.ask(0, "POST", "/v1/programs/" + program + "/calls/1",
        R"({"kind":"model","model":")" + fleet.model
            + R"(","messages":[{"role":"user","content":"hello"}],"max_tokens":4})");
    const std::string sources = "--sources=" + fleet.entryAddresses[0];
    const std::string controls = "--controls=" + fleet.controlAddresses[0];
    const std::string secret = "--secret_file=" + fleet.folder + "/secret";
    const std::string page = fleet.folder + "/page.html";
    const CommandResult all = runCommand(
        "chestnuthook-timeline", {sources, controls, secret, "--html=" + page, "--trace=" + fleet.folder + "/t.json"});
    BOOST_TEST(all.exitCode == 0, all.output);
    for (const char *part :
        {"control/control-0 configuration_applied", "control/control-0 key_issued", "entry/entry-0 call_ended"}) {
        BOOST_TEST(contains(all.output, part), all.output);
    }
    BOOST_TEST(contains(readFile(page), program));
    BOOST_TEST(!contains(all.output + readFile(page), fleet.key));
    const CommandResult one = runCommand("chestnuthook-timeline", {sources, "--program=" + program});
    BOOST_TEST(contains(one.output, "call_accepted"), one.output);
    BOOST_TEST(!contains(one.output, other));
    const std::string keys = fleet.ctl({"keys", "list"}).output;
    const std::string id = keys.substr(0, keys.find(' '));
    BOOST_TEST(fleet.ctl({"keys", "withdraw", id}).exitCode == 0);
    const CommandResult key = runCommand("chestnuthook-timeline", {sources, controls, secret, "--key_id=" + id});
    // The control member commits the withdrawal before the entry process receives it; the timeline keeps this order.
    const std::size_t committed = key.output.find("control/control-0 key_withdrawn");
    const std::size_t received = key.output.find("entry/entry-0 key_withdrawn");
    BOOST_TEST(committed != std::string::npos, key.output);
    BOOST_TEST(received != std::string::npos, key.output);
    BOOST_TEST(committed < received);
}

BOOST_AUTO_TEST_CASE(unreadable_sources_are_reported_and_the_others_read)
{
    ProcessFleet fleet;
    const std::string unusedAddress = reserveLoopbackAddresses(1)[0];
    const CommandResult partial = runCommand("chestnuthook-timeline",
        {"--sources=" + fleet.entryAddresses[0] + "," + unusedAddress, "--logs=/nowhere/x.log"});
    BOOST_TEST(partial.exitCode == 1);
    BOOST_TEST(contains(partial.output, "process_started"));
    BOOST_TEST(contains(partial.output, "# " + unusedAddress + ": can't be read"), partial.output);
    BOOST_TEST(contains(partial.output, "# /nowhere/x.log: can't be read"));
    BOOST_TEST(runCommand("chestnuthook-timeline", {}).exitCode == 2);
    BOOST_TEST(runCommand("chestnuthook-timeline", {"now"}).exitCode == 2);
}

BOOST_AUTO_TEST_CASE(daemons_reject_positional_arguments_and_report_all_errors)
{
    for (const char *daemon : {"chestnuthook-entry", "chestnuthook-control"}) {
        const CommandResult refused = runCommand(daemon, {"start", "--log_level=loud", "--listen=x"});
        BOOST_TEST(refused.exitCode == 2);
        for (const char *part :
            {"unexpected word 'start'", "'loud' is none of", "'x' is not ip:port", "the secret secret is missing"}) {
            BOOST_TEST(contains(refused.output, part), refused.output);
        }
        BOOST_TEST(runCommand(daemon, {"--version"}).output.starts_with("chestnuthook "));
    }
}
