/** @file takeover_test.cpp  Failover of calls: entries are killed or paused at each stage of an order while the client
 * retries through another entry, and randomized faults over many programs with a fixed seed. The ledgers of the fakes
 * show which requests ran. */
#define BOOST_TEST_MODULE takeover
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;

namespace
{

/** Sends a call through one entry after the other until it gets a final response. */
HttpAnswer sendUntilFinal(const ProcessFleet &fleet, std::size_t entry, const std::string &path,
    const std::string &body, std::chrono::seconds timeout = std::chrono::seconds(30))
{
    HttpAnswer answer;
    waitUntil(
        [&]() {
            answer = fleet.ask(entry++ % fleet.entryAddresses.size(), "POST", path, body);
            const bool streamEnded = answer.status == 200
                && (answer.headers["Content-Type"] != "text/event-stream" || streamedText(answer.body).done);
            const bool retryable = answer.status == 0 || answer.status >= 500 || answer.status == 429;
            const bool isFinal = errorField(answer.body, "code") == "outcome_unknown"
                && errorField(answer.body, "retry_after_ms") == "0";
            return answer.complete && (streamEnded || isFinal || (answer.status != 200 && !retryable));
        },
        timeout);
    return answer;
}

void kill(ProcessFleet &fleet, std::size_t entry)
{
    fleet.processes.at("entry-" + std::to_string(entry))->signal(SIGKILL);
    fleet.processes.at("entry-" + std::to_string(entry))->wait();
}

/** Sends an order on a new thread and returns once the service has received it. */
std::thread startOrder(ProcessFleet &fleet, const std::string &path, const std::string &body)
{
    std::thread caller([&fleet, path, body]() {
        fleet.ask(0, "POST", path, body);
    });
    BOOST_TEST(waitUntil([&]() {
        return countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 1;
    }));
    return caller;
}

} // namespace

BOOST_AUTO_TEST_CASE(entry_killed_during_order_gives_outcome_unknown)
{
    ProcessFleet fleet({.entries = 2});
    const std::string path = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    const std::string order = orderCall(fleet.service, "order=1&delay_ms=3000");
    std::thread caller = startOrder(fleet, path, order);
    kill(fleet, 0);
    caller.join();
    const HttpAnswer answer = sendUntilFinal(fleet, 1, path, order);
    BOOST_TEST(errorField(answer.body, "code") == "outcome_unknown", answer.body);
    BOOST_TEST(errorField(answer.body, "ran") == "unknown");
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 1);
    const std::string next = path.substr(0, path.size() - 1) + "2";
    BOOST_TEST(fleet.ask(1, "POST", next, modelCall(fleet.model, "go on")).status == 200);
}

BOOST_AUTO_TEST_CASE(entry_killed_before_dispatch_never_sends_order)
{
    ProcessFleet fleet({.entries = 2});
    const std::string path = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    const std::string order = orderCall(fleet.service, "order=1");
    fleet.processes.at("service-0")->signal(SIGKILL);
    fleet.processes.at("service-0")->wait();
    std::thread caller([&]() {
        fleet.ask(0, "POST", path, order);
    });
    // As soon as the program shows the intent, it is in the journal; the service is still down.
    BOOST_TEST(waitUntil([&]() {
        return fleet.ask(0, "GET", path.substr(0, path.find("/calls"))).body.find("\"intent\"") != std::string::npos;
    }));
    kill(fleet, 0);
    caller.join();
    fleet.startService(0);
    const HttpAnswer answer = sendUntilFinal(fleet, 1, path, order);
    BOOST_TEST(errorField(answer.body, "code") == "outcome_unknown", answer.body);
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 0);
}

BOOST_AUTO_TEST_CASE(entry_killed_while_journal_is_down_runs_order_at_most_once)
{
    for (const bool dispatched : {false, true}) {
        ProcessFleet fleet({.entries = 2});
        const std::string path = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
        const std::string order = orderCall(fleet.service, "order=1&delay_ms=300");
        const auto pause = [&](int number) {
            fleet.processes.at("control-0")->signal(number);
        };
        std::thread caller;
        if (dispatched) {
            caller = startOrder(fleet, path, order);
            pause(SIGSTOP);
            waitUntil([&]() {
                return ledgerOf(fleet.serviceAddresses[0]).front().outcome == "ok";
            });
        } else {
            pause(SIGSTOP);
            caller = std::thread([&]() {
                fleet.ask(0, "POST", path, order);
            });
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 0);
        }
        kill(fleet, 0);
        pause(SIGCONT);
        caller.join();
        const HttpAnswer answer = sendUntilFinal(fleet, 1, path, order);
        const bool unknown = errorField(answer.body, "code") == "outcome_unknown";
        BOOST_TEST((answer.status == 200 || unknown), answer.body);
        const int runs = countRequestsWithQuery(fleet.serviceAddresses, "order=1");
        BOOST_TEST(runs <= 1);
        BOOST_TEST((answer.status != 200 || runs == 1));
        BOOST_TEST((!dispatched || runs == 1));
    }
}

BOOST_AUTO_TEST_CASE(retry_after_entry_failure_completes_a_stream)
{
    ProcessFleet fleet({.entries = 2, .engineFlags = {"--token_ms=100"}});
    const std::string path = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    const std::string body = modelCall(fleet.model, "a verse that is cut", 20, true);
    HttpAnswer cut;
    std::thread caller([&]() {
        cut = fleet.ask(0, "POST", path, body);
    });
    BOOST_TEST(waitUntil([&]() {
        return !ledgerOf(fleet.engineAddresses[0]).empty();
    }));
    kill(fleet, 0);
    caller.join();
    BOOST_TEST(!streamedText(cut.body).done);
    const HttpAnswer complete = sendUntilFinal(fleet, 1, path, body);
    BOOST_TEST(streamedText(complete.body).done, complete.body);
    BOOST_TEST(streamedText(complete.body).text.starts_with(streamedText(cut.body).text));
}

BOOST_AUTO_TEST_CASE(resumed_owner_forwards_its_result)
{
    ProcessFleet fleet({.entries = 2});
    const std::string path = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
    const std::string order = orderCall(fleet.service, "order=1&delay_ms=1000");
    std::thread caller = startOrder(fleet, path, order);
    fleet.processes.at("entry-0")->signal(SIGSTOP);
    HttpAnswer duringPause;
    BOOST_TEST(waitUntil([&]() {
        duringPause = fleet.ask(1, "POST", path, order);
        return duringPause.status != 0 && errorField(duringPause.body, "code") == "outcome_unknown";
    }));
    BOOST_TEST(errorField(duringPause.body, "retry_after_ms") != "0");
    fleet.processes.at("entry-0")->signal(SIGCONT);
    const HttpAnswer answer = sendUntilFinal(fleet, 1, path, order);
    caller.join();
    BOOST_TEST(answer.status == 200, answer.body);
    BOOST_TEST(countRequestsWithQuery(fleet.serviceAddresses, "order=1") == 1);
}

BOOST_AUTO_TEST_CASE(history_and_budget_survive_two_entry_failures)
{
    ProcessFleet fleet({.entries = 3});
    const std::string program = "/v1/programs/" + fleet.createProgram(0, R"({"budget":{"calls":4}})");
    std::vector<std::string> answers;
    for (std::size_t round = 0; round < 3; ++round) {
        const std::string body = modelCall(fleet.model, "line " + std::to_string(round));
        const std::string call = program + "/calls/" + std::to_string(round + 1);
        answers.push_back(completionText(sendUntilFinal(fleet, 2, call, body).body));
        BOOST_TEST(!answers.back().empty());
        for (std::size_t earlier = 0; earlier <= round; ++earlier) {
            const std::string again = program + "/calls/" + std::to_string(earlier + 1);
            const std::string same = modelCall(fleet.model, "line " + std::to_string(earlier));
            BOOST_TEST(completionText(sendUntilFinal(fleet, 2, again, same).body) == answers[earlier]);
        }
        if (round < 2) {
            kill(fleet, round);
        }
    }
    BOOST_TEST(sendUntilFinal(fleet, 2, program + "/calls/4", modelCall(fleet.model, "last")).status == 200);
    BOOST_TEST(fleet.ask(2, "POST", program + "/calls/5", modelCall(fleet.model, "none")).status == 402);
}

/** Invariants: an order runs at most once, and exactly once if its final status is 200; the history of a program has
 * only its own texts, in order; retries of a call get the same response; the call budget holds; a request that is
 * rejected as not run has no effect. */
void checkInvariantsUnderFaults(int roundsPerKill, int firstKillRound)
{
    constexpr unsigned Seed = 5;
    constexpr int Programs = 200;
    constexpr int Workers = 20;
    constexpr int Calls = 4;
    int kills = 0;
    ProcessFleet fleet({.entries = 3, .engines = 3, .services = 2});
    raiseRateLimits(fleet);
    std::mutex mutex;
    std::vector<std::string> violations;
    std::atomic<int> next = 0;
    std::atomic<bool> done = false;
    const auto addViolation = [&](const std::string &what) {
        const std::lock_guard lock(mutex);
        violations.push_back(what);
    };
    const auto runProgram = [&](int index, std::mt19937 &random) {
        const std::string tag = "p" + std::to_string(index);
        const HttpAnswer created = sendUntilFinal(fleet, random() % 3, "/v1/programs", R"({"budget":{"calls":4}})");
        const std::size_t at = created.body.find("p-");
        if (created.status != 201 || at == std::string::npos) {
            addViolation(tag + " was not created: " + created.body);
            return;
        }
        const std::string path = "/v1/programs/" + created.body.substr(at, created.body.find('"', at) - at);
        for (int number = 1; number <= Calls; ++number) {
            const std::string name = "order=" + tag + "." + std::to_string(number);
            const bool isOrder = random() % 2 == 0;
            const std::string body = isOrder ? orderCall(fleet.service, name + "&delay_ms=20")
                                             : modelCall(fleet.model, tag + " line " + std::to_string(number));
            const std::string call = path + "/calls/" + std::to_string(number);
            const HttpAnswer answer = sendUntilFinal(fleet, random() % 3, call, body, std::chrono::seconds(60));
            const HttpAnswer again = sendUntilFinal(fleet, random() % 3, call, body, std::chrono::seconds(60));
            if (again.body != answer.body) {
                addViolation(tag + " got different responses to the same call: " + answer.body + " and " + again.body);
            }
            const bool unknown = errorField(answer.body, "code") == "outcome_unknown";
            const int runs = isOrder ? countRequestsWithQuery(fleet.serviceAddresses, name) : 0;
            if (isOrder && (runs > 1 || (answer.status == 200 && runs != 1) || (answer.status != 200 && !unknown))) {
                addViolation(name + " ran " + std::to_string(runs) + " times: " + answer.body);
            }
            if (!isOrder && answer.status != 200) {
                addViolation(tag + " model call failed: " + answer.body);
            }
        }
        const HttpAnswer overBudget =
            sendUntilFinal(fleet, random() % 3, path + "/calls/5", modelCall(fleet.model, "over"));
        if (overBudget.status != 402) {
            addViolation(tag + " exceeded its budget: " + overBudget.body);
        }
        std::string shown;
        waitUntil([&]() {
            const HttpAnswer answer = fleet.ask(random() % 3, "GET", path);
            shown = answer.body;
            return answer.status == 200;
        });
        for (int other = 0; other < Programs; ++other) {
            const std::string mark = "\\\"p" + std::to_string(other) + " line";
            if (other != index && shown.find(mark) != std::string::npos) {
                addViolation(tag + " has text of program " + std::to_string(other));
            }
        }
    };
    std::vector<std::thread> workers;
    workers.reserve(Workers);
    for (int worker = 0; worker < Workers; ++worker) {
        workers.emplace_back([&, worker]() {
            std::mt19937 random(Seed + static_cast<unsigned>(worker));
            for (int index = next++; index < Programs; index = next++) {
                runProgram(index, random);
            }
        });
    }
    std::thread faultInjector([&]() {
        std::mt19937 random(Seed);
        const std::vector<std::string> kinds = {"truncate", "crossed", "late", "refuse"};
        for (int round = 1; !done; ++round) {
            injectFault(fleet.engineAddresses[random() % 3],
                R"({"kind":")" + kinds[random() % 4] + R"(","count":1,"delay_ms":50})");
            if (round % roundsPerKill == firstKillRound) {
                const std::size_t entry = random() % 3;
                kill(fleet, entry);
                fleet.startEntry(entry);
                ++kills;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
        }
    });
    for (std::thread &worker : workers) {
        worker.join();
    }
    done = true;
    faultInjector.join();
    BOOST_TEST(kills >= 1);
    for (const std::string &violation : violations) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_CASE(invariants_hold_while_entries_and_endpoints_fail)
{
    checkInvariantsUnderFaults(8, 2); // Kills early, as a fast run ends before the second kill.
}

BOOST_AUTO_TEST_CASE(invariants_hold_while_entries_fail_faster_than_takeover)
{
    checkInvariantsUnderFaults(4, 0); // A kill every 1.6 s; a takeover waits 3.3 s for the lease to expire.
}
