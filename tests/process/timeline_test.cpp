/** @file timeline_test.cpp  One program followed through running processes and through the log of a dead one. */
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

BOOST_AUTO_TEST_CASE(a_program_and_a_key_are_followed_through_entries_and_members)
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
    // The member commits the withdrawal before the entry learns of it, and the time line says so.
    const std::size_t committed = key.output.find("control/control-0 key_withdrawn");
    const std::size_t learnt = key.output.find("entry/entry-0 key_withdrawn");
    BOOST_TEST(committed != std::string::npos, key.output);
    BOOST_TEST(learnt != std::string::npos, key.output);
    BOOST_TEST(committed < learnt);
}

BOOST_AUTO_TEST_CASE(sources_that_fail_are_noted_and_the_rest_is_read)
{
    ProcessFleet fleet;
    const std::string none = reserveLoopbackAddresses(1)[0];
    const CommandResult partly = runCommand(
        "chestnuthook-timeline", {"--sources=" + fleet.entryAddresses[0] + "," + none, "--logs=/nowhere/x.log"});
    BOOST_TEST(partly.exitCode == 1);
    BOOST_TEST(contains(partly.output, "process_started"));
    BOOST_TEST(contains(partly.output, "# " + none + ": can't be read"), partly.output);
    BOOST_TEST(contains(partly.output, "# /nowhere/x.log: can't be read"));
    BOOST_TEST(runCommand("chestnuthook-timeline", {}).exitCode == 2);
    BOOST_TEST(runCommand("chestnuthook-timeline", {"now"}).exitCode == 2);
}

BOOST_AUTO_TEST_CASE(daemons_refuse_words_and_tell_all_faults_at_once)
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
