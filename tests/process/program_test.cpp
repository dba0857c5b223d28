/** @file program_test.cpp  Programs on real processes: order of calls, retries through other entries, joining a
 * running call, complete responses despite failing endpoints, budgets, child programs, and the release of caches. */
#define BOOST_TEST_MODULE program
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/** Whether the engine reports that it holds the cache of the program; its load report may lag. */
bool holdsCache(const std::string &engine, const std::string &program)
{
    return contains(http(engine, "GET", "/v1/load").body, program);
}

} // namespace

BOOST_AUTO_TEST_CASE(any_entry_serves_a_program)
{
    ProcessFleet fleet({.entries = 3});
    const std::string program = "/v1/programs/" + fleet.createProgram(0);
    const HttpAnswer first = fleet.ask(1, "POST", program + "/calls/1", modelCall(fleet.model, "one"));
    const HttpAnswer order = fleet.ask(2, "POST", program + "/calls/2", orderCall(fleet.service, "order=1"));
    BOOST_TEST(first.status == 200, first.body);
    BOOST_TEST(order.status == 200, order.body);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const HttpAnswer resent = fleet.ask(entry, "POST", program + "/calls/1", modelCall(fleet.model, "one"));
        BOOST_TEST(completionText(resent.body) == completionText(first.body));
        BOOST_TEST(
            fleet.ask(entry, "POST", program + "/calls/2", orderCall(fleet.service, "order=1")).body == order.body);
        const HttpAnswer other = fleet.ask(entry, "POST", program + "/calls/1", modelCall(fleet.model, "two"));
        BOOST_TEST(other.status == 409);
        BOOST_TEST(errorField(other.body, "ran") == "no");
    }
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 1);
    const std::string otherKey = fleet.issueKey("korthusid");
    BOOST_TEST(waitUntil([&]() {
        return httpAs(otherKey, fleet.entryAddresses[1], "GET", program).status == 403;
    }));
    const HttpAnswer directory = http(
        fleet.entryAddresses[1], "GET", "/v1/entries?program=" + program.substr(std::string("/v1/programs/").size()));
    BOOST_TEST(directory.body.find(fleet.entryAddresses[0]) == directory.body.find("127.0.0.1"));
}

BOOST_AUTO_TEST_CASE(retry_joins_the_running_call)
{
    ProcessFleet fleet({.entries = 2, .engineFlags = {"--token_ms=60"}});
    const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    const std::string body = modelCall(fleet.model, "join me", 20, true);
    std::vector<HttpAnswer> answers(3);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        callers.emplace_back([&, i]() {
            answers[i] = fleet.ask(i % 2, "POST", call, body);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const HttpAnswer &answer : answers) {
        BOOST_TEST(streamedText(answer.body).done);
        BOOST_TEST(streamedText(answer.body).text == streamedText(answers[0].body).text);
    }
    BOOST_TEST(ledgerOf(fleet.engineAddresses[0]).size() == 1U);
}

BOOST_AUTO_TEST_CASE(responses_are_complete_despite_endpoint_faults)
{
    ProcessFleet fleet({.engines = 2, .services = 2});
    const std::string text = "the same words for every attempt";
    const HttpAnswer plain =
        fleet.ask(0, "POST", "/v1/programs/" + fleet.createProgram(0) + "/calls/1", modelCall(fleet.model, text, 20));
    for (const std::string fault : {"truncate", "crossed", "refuse", "late"}) {
        for (const std::string &engine : fleet.engineAddresses) {
            injectFault(engine, R"({"kind":")" + fault + R"(","match":"the same words","count":1,"delay_ms":300})");
        }
        const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
        const HttpAnswer streamed = fleet.ask(0, "POST", call, modelCall(fleet.model, text, 20, true));
        BOOST_TEST(streamedText(streamed.body).done, fault << ": " << streamed.body);
        BOOST_TEST(streamedText(streamed.body).text == completionText(plain.body), fault);
        for (const std::string &engine : fleet.engineAddresses) {
            http(engine, "DELETE", "/fake/fault");
        }
    }
    for (const std::string fault : {"truncate", "crossed"}) {
        for (const std::string &service : fleet.serviceAddresses) {
            injectFault(service, R"({"kind":")" + fault + R"(","count":1})");
        }
        const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
        const HttpAnswer once = fleet.ask(0, "POST", call, orderCall(fleet.service, "order=" + fault));
        BOOST_TEST(errorField(once.body, "code") == "outcome_unknown", fault << ": " << once.body);
        BOOST_TEST(errorField(once.body, "ran") == "unknown");
        BOOST_TEST(fleet.ask(0, "POST", call, orderCall(fleet.service, "order=" + fault)).body == once.body);
        BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=" + fault) == 1);
        for (const std::string &service : fleet.serviceAddresses) {
            http(service, "DELETE", "/fake/fault");
        }
    }
}

BOOST_AUTO_TEST_CASE(call_rejected_as_not_run_can_be_retried)
{
    ProcessFleet fleet;
    const std::string program = "/v1/programs/" + fleet.createProgram(0);
    fleet.processes.at("service-0")->signal(SIGKILL);
    fleet.processes.at("service-0")->wait();
    const HttpAnswer refused = fleet.ask(0, "POST", program + "/calls/1", orderCall(fleet.service, "order=1"));
    BOOST_TEST(errorField(refused.body, "ran") == "no", refused.body);
    BOOST_TEST(contains(fleet.ask(0, "GET", program).body, "\"calls\":[]"));
    fleet.startService(0);
    BOOST_TEST(waitUntil([&]() {
        return fleet.ask(0, "POST", program + "/calls/1", orderCall(fleet.service, "order=1")).status == 200;
    }));
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 1);
}

BOOST_AUTO_TEST_CASE(hanging_tool_call_ends_as_outcome_unknown)
{
    ProcessFleet fleet;
    injectFault(fleet.serviceAddresses[0], R"({"kind":"hang","count":1})");
    const std::string call = "/v1/programs/" + fleet.createProgram(0, R"({"budget":{"seconds":2}})") + "/calls/1";
    const HttpAnswer hung = fleet.ask(0, "POST", call, orderCall(fleet.service, "order=1"));
    BOOST_TEST(errorField(hung.body, "code") == "outcome_unknown", hung.body);
    BOOST_TEST(errorField(hung.body, "ran") == "unknown");
    BOOST_TEST(fleet.ask(0, "POST", call, orderCall(fleet.service, "order=1")).body == hung.body);
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 1);
}

BOOST_AUTO_TEST_CASE(client_disconnect_cancels_only_idempotent_calls)
{
    ProcessFleet fleet({.engineFlags = {"--token_ms=300"}});
    const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    const std::string body = modelCall(fleet.model, "nobody waits", 30, true);
    abandonRequest(fleet, 0, call, body);
    BOOST_TEST(waitUntil([&]() {
        const auto rows = ledgerOf(fleet.engineAddresses[0]);
        return !rows.empty() && rows.front().outcome == "cancelled";
    }));
    const std::string order = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    abandonRequest(fleet, 0, order, orderCall(fleet.service, "order=1&delay_ms=800"));
    BOOST_TEST(waitUntil([&]() {
        const auto rows = ledgerOf(fleet.serviceAddresses[0]);
        return !rows.empty() && rows.front().outcome == "ok";
    }));
    BOOST_TEST(waitUntil([&]() {
        return fleet.ask(0, "POST", order, orderCall(fleet.service, "order=1&delay_ms=800")).status == 200;
    }));
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 1);
}

BOOST_AUTO_TEST_CASE(budget_is_enforced_exactly)
{
    ProcessFleet fleet;
    const std::string counted = "/v1/programs/" + fleet.createProgram(0, R"({"budget":{"calls":3}})") + "/calls/";
    for (int number = 1; number <= 4; ++number) {
        const HttpAnswer answer =
            fleet.ask(0, "POST", counted + std::to_string(number), orderCall(fleet.service, "order=loop"));
        BOOST_TEST(answer.status == (number <= 3 ? 200 : 402), answer.body);
    }
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=loop") == 3);
    constexpr std::uint64_t Tokens = 120;
    const std::string program = "/v1/programs/" + fleet.createProgram(0, R"({"budget":{"tokens":120}})");
    HttpAnswer last;
    for (int number = 1; number <= 50 && last.status != 402; ++number) {
        last = fleet.ask(0, "POST", program + "/calls/" + std::to_string(number), modelCall(fleet.model, "go on", 100));
    }
    BOOST_TEST(last.status == 402, last.body);
    BOOST_TEST(errorField(last.body, "ran") == "no");
    std::uint64_t used = 0;
    const std::string shown = fleet.ask(0, "GET", program).body;
    const std::string mark = "\"tokens\":";
    for (std::size_t at = shown.find(mark, shown.find("\"calls\":[")); at != std::string::npos;
         at = shown.find(mark, at + 1)) {
        used += std::stoull(shown.substr(at + mark.size()));
    }
    BOOST_TEST(used > 0U);
    BOOST_TEST(used <= Tokens);
}

BOOST_AUTO_TEST_CASE(children_share_budget_and_end_with_parent)
{
    ProcessFleet fleet({.entries = 3});
    const std::string parent = fleet.createProgram(0, R"({"budget":{"calls":10}})");
    const std::string childRequest = R"({"budget":{"calls":4},"parent":")" + parent + "\"}";
    const std::string child = fleet.createProgram(1, childRequest);
    const std::string second = fleet.createProgram(2, childRequest);
    BOOST_TEST(fleet.ask(1, "POST", "/v1/programs", childRequest).status == 402);
    BOOST_TEST(contains(fleet.ask(2, "GET", "/v1/programs/" + parent).body, "\"budget_left\":{\"calls\":2"));
    std::string deepest = child;
    int depth = 1;
    HttpAnswer deeper;
    for (; depth < 10; ++depth) {
        deeper = fleet.ask(0, "POST", "/v1/programs", R"({"budget":{"calls":1},"parent":")" + deepest + "\"}");
        if (deeper.status != 201) {
            break;
        }
        deepest = deeper.body.substr(deeper.body.find("p-"), 26);
    }
    BOOST_TEST(deeper.status == 402, deeper.body);
    BOOST_TEST(depth == 4);
    BOOST_TEST(
        fleet.ask(0, "POST", "/v1/programs/" + child + "/calls/1", modelCall(fleet.model, "child")).status == 200);
    BOOST_TEST(fleet.ask(2, "DELETE", "/v1/programs/" + parent).status == 200);
    for (const std::string &id : {parent, child, second, deepest}) {
        BOOST_TEST(waitUntil([&]() {
            return contains(fleet.ask(1, "GET", "/v1/programs/" + id).body, "\"state\":\"ended\"");
        }));
    }
    BOOST_TEST(waitUntil([&]() {
        return !holdsCache(fleet.engineAddresses[0], child);
    }));
}

BOOST_AUTO_TEST_CASE(ending_a_program_cancels_its_call_and_releases_cache)
{
    ProcessFleet fleet({.entries = 2, .engines = 2, .engineFlags = {"--token_ms=200"}});
    const std::string id = fleet.createProgram(0);
    const std::string program = "/v1/programs/" + id;
    BOOST_TEST(fleet.ask(0, "POST", program + "/calls/1", modelCall(fleet.model, "first", 2)).status == 200);
    HttpAnswer interrupted;
    std::thread caller([&]() {
        interrupted = fleet.ask(1, "POST", program + "/calls/2", modelCall(fleet.model, "second", 30, true));
    });
    BOOST_TEST(waitUntil([&]() {
        const std::size_t seen = ledgerOf(fleet.engineAddresses[0]).size() + ledgerOf(fleet.engineAddresses[1]).size();
        return seen >= 2
            && ProcessFleet::ledgerCount(fleet.engineAddresses[0], "\"running\"")
                + ProcessFleet::ledgerCount(fleet.engineAddresses[1], "\"running\"")
            == 1;
    }));
    BOOST_TEST(fleet.ask(1, "DELETE", program).status == 200);
    caller.join();
    BOOST_TEST(
        (contains(interrupted.body, "cancelled") || contains(interrupted.body, "program_ended")), interrupted.body);
    BOOST_TEST(contains(interrupted.body, "\"ran\":\"yes\""), interrupted.body);
    for (const std::string &engine : fleet.engineAddresses) {
        BOOST_TEST(waitUntil([&]() {
            const auto rows = ledgerOf(engine);
            return !holdsCache(engine, id) && std::none_of(rows.begin(), rows.end(), [](const LedgerRow &row) {
                return row.outcome == "running";
            });
        }));
    }
    BOOST_TEST(fleet.ask(0, "POST", program + "/calls/3", modelCall(fleet.model, "third")).status == 409);
}

BOOST_AUTO_TEST_CASE(idempotency_key_makes_retries_safe)
{
    ProcessFleet fleet({.entries = 2});
    const Headers key = {{"Idempotency-Key", "k-1"}};
    const HttpAnswer created = fleet.ask(0, "POST", "/v1/programs", "{}", key);
    BOOST_TEST(created.status == 201, created.body);
    BOOST_TEST(fleet.ask(1, "POST", "/v1/programs", "{}", key).body == created.body);
    BOOST_TEST(fleet.ask(1, "POST", "/v1/programs", R"({"budget":{"calls":3}})", key).status == 409);
    const std::string route = "/v1/services/" + fleet.service + "/orders?order=9";
    const HttpAnswer order = fleet.ask(0, "POST", route, R"({"cards":1})", {{"Idempotency-Key", "k-2"}});
    BOOST_TEST(order.status == 200, order.body);
    BOOST_TEST(fleet.ask(1, "POST", route, R"({"cards":1})", {{"Idempotency-Key", "k-2"}}).body == order.body);
    BOOST_TEST(fleet.ask(1, "POST", route, R"({"cards":2})", {{"Idempotency-Key", "k-2"}}).status == 409);
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=9") == 1);
    BOOST_TEST(fleet.ask(0, "GET", "/v1/services/" + fleet.service + "/stock").status == 200);
    BOOST_TEST(!contains(http(fleet.serviceAddresses[0], "GET", "/fake/ledger").body, fleet.key));
}

BOOST_AUTO_TEST_CASE(withdrawing_a_key_ends_open_streams)
{
    ProcessFleet fleet({.entries = 2, .engineFlags = {"--token_ms=400"}});
    const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    HttpAnswer interrupted;
    std::thread caller([&]() {
        interrupted = fleet.ask(1, "POST", call, modelCall(fleet.model, "a long one", 30, true));
    });
    BOOST_TEST(waitUntil([&]() {
        return !ledgerOf(fleet.engineAddresses[0]).empty();
    }));
    const CommandResult keys = fleet.ctl({"keys", "list"});
    BOOST_TEST(fleet.ctl({"keys", "withdraw", keys.output.substr(0, keys.output.find(' '))}).exitCode == 0);
    caller.join();
    BOOST_TEST(!streamedText(interrupted.body).done);
    BOOST_TEST(waitUntil([&]() {
        return ledgerOf(fleet.engineAddresses[0]).front().outcome == "cancelled";
    }));
}
