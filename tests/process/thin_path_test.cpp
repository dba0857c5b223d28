/** @file thin_path_test.cpp  End-to-end run of a program on real processes, and the most common errors of clients and
 * operators. */
#define BOOST_TEST_MODULE thin_path
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;

namespace
{

const std::string ModelCall =
    R"({"kind":"model","model":"verse","messages":[{"role":"user","content":"A verse for a card"}],"max_tokens":8})";
const std::string StreamedCall =
    R"({"kind":"model","model":"verse","messages":[{"role":"user","content":"Polish it"}],"max_tokens":8,"stream":true})";
const std::string OrderCall =
    R"({"kind":"tool","service":"print","method":"POST","path":"/orders","body":{"cards":500},"idempotent":false})";

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(program_runs_end_to_end)
{
    ProcessFleet fleet;
    const std::string calls = "/v1/programs/" + fleet.createProgram(0) + "/calls/";
    const HttpAnswer first = fleet.ask(0, "POST", calls + "1", ModelCall);
    BOOST_TEST(first.status == 200);
    BOOST_TEST(contains(first.body, "chat.completion"));
    const HttpAnswer order = fleet.ask(0, "POST", calls + "2", OrderCall);
    BOOST_TEST(order.status == 200);
    const HttpAnswer resent = fleet.ask(0, "POST", calls + "2", OrderCall);
    BOOST_TEST(resent.body == order.body);
    BOOST_TEST(ProcessFleet::ledgerCount(fleet.serviceAddresses[0], "\"/orders\"") == 1);
    const HttpAnswer streamed = fleet.ask(0, "POST", calls + "3", StreamedCall);
    BOOST_TEST(streamed.status == 200);
    BOOST_TEST(contains(streamed.body, "data: [DONE]"));
    BOOST_TEST(fleet.ask(0, "POST", calls + "2", ModelCall).status == 409);
    BOOST_TEST(fleet.ask(0, "POST", calls + "9", ModelCall).status == 409);
    BOOST_TEST(!contains(http(fleet.engineAddresses[0], "GET", "/fake/ledger").body, fleet.key));
}

BOOST_AUTO_TEST_CASE(history_and_keys_survive_a_restart)
{
    ProcessFleet fleet;
    const std::string program = "/v1/programs/" + fleet.createProgram(0);
    const HttpAnswer first = fleet.ask(0, "POST", program + "/calls/1", ModelCall);
    for (const char *name : {"entry-0", "control-0"}) {
        fleet.processes.at(name)->signal(SIGKILL);
        fleet.processes.at(name)->wait();
    }
    fleet.startControl(0);
    fleet.startEntry(0);
    BOOST_TEST(waitUntil([&]() {
        return fleet.ask(0, "GET", program).status == 200;
    }));
    BOOST_TEST(fleet.ask(0, "POST", program + "/calls/1", ModelCall).body == first.body);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_is_rejected)
{
    ProcessFleet fleet;
    const CommandResult keys = fleet.ctl({"keys", "list"});
    const std::string id = keys.output.substr(0, keys.output.find(' '));
    BOOST_TEST(fleet.ctl({"keys", "withdraw", id}).exitCode == 0);
    BOOST_TEST(waitUntil(
        [&]() {
            return fleet.ask(0, "POST", "/v1/programs", "{}").status == 401;
        },
        std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(malformed_requests_get_errors_with_a_remedy)
{
    ProcessFleet fleet;
    const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    for (const std::string body :
        {"", "{", "[]", R"({"kind":"song"})", R"({"kind":"model","model":"verse","messages":[]})",
            R"({"kind":"model","model":"verse","messages":[{"role":"king","content":"x"}]})",
            R"({"kind":"tool","service":"print","method":"POST","path":"orders"})", "{\"kind\":\"model\xff\"}"}) {
        const HttpAnswer answer = fleet.ask(0, "POST", call, body);
        BOOST_TEST(answer.status == 400, body);
        BOOST_TEST(contains(answer.body, "\"code\":\"bad_request\""));
        BOOST_TEST(contains(answer.body, "\"remedy\":\""));
        BOOST_TEST(contains(answer.body, "\"ran\":\"no\""));
    }
    BOOST_TEST(fleet.ask(0, "POST", call, std::string(2'000'000, 'x')).status == 413);
    BOOST_TEST(http(fleet.entryAddresses[0], "POST", call, ModelCall).status == 401);
    BOOST_TEST(fleet.ask(0, "GET", "/nowhere").status == 404);
}

BOOST_AUTO_TEST_CASE(startup_failures_have_their_exit_codes)
{
    const CommandResult wrong = runCommand("chestnuthook-entry", {"--listen=nowhere", "--controls=", "--colour=red"});
    BOOST_TEST(wrong.exitCode == 2);
    for (const char *part : {"listen", "controls", "colour"}) {
        BOOST_TEST(contains(wrong.output, part), wrong.output);
    }
    const CommandResult secret = runCommand("chestnuthook-entry", {});
    BOOST_TEST(secret.exitCode == 2, secret.output);
    const CommandResult folder = runCommand("chestnuthook-control",
        {"--listen=" + reserveLoopbackAddresses(1)[0], "--data=/proc/none"}, {"CHESTNUTHOOK_SECRET=test"});
    BOOST_TEST(folder.exitCode == 4, folder.output);
    ProcessFleet fleet;
    const CommandResult busy = runCommand("chestnuthook-control",
        {"--listen=" + fleet.controlAddresses[0], "--data=" + fleet.folder + "/other"}, {"CHESTNUTHOOK_SECRET=test"});
    BOOST_TEST(busy.exitCode == 3, busy.output);
    BOOST_TEST(contains(busy.output, "remedy"));
}
