/** @file drain_test.cpp  A graceful shutdown of an entry under load must not interrupt requests. */
#define BOOST_TEST_MODULE drain
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;

BOOST_AUTO_TEST_CASE(graceful_shutdown_completes_open_streams)
{
    constexpr int Streams = 200;
    ProcessFleet fleet({.entries = 3, .engines = 4, .engineFlags = {"--token_ms=150", "--batch=64"}});
    raiseRateLimits(fleet);
    std::vector<std::string> programs(Streams);
    for (std::string &program : programs) {
        BOOST_REQUIRE(waitUntil([&]() {
            return fleet.ask(0, "GET", "/healthz").status == 200;
        }));
        program = "/v1/programs/" + fleet.createProgram(0);
    }
    std::vector<HttpAnswer> answers(Streams);
    std::vector<std::thread> clients;
    clients.reserve(Streams);
    for (int i = 0; i < Streams; ++i) {
        clients.emplace_back([&, i]() {
            const std::string body = modelCall(fleet.model, "stream " + std::to_string(i), 30, true);
            answers[i] = fleet.ask(0, "POST", programs[i] + "/calls/1", body);
        });
    }
    const auto startedRequests = [&]() {
        std::size_t count = 0;
        for (const std::string &engine : fleet.engineAddresses) {
            count += ledgerOf(engine).size();
        }
        return count;
    };
    BOOST_TEST(waitUntil([&]() {
        return startedRequests() >= Streams / 2;
    }));
    ChildProcess &entry = *fleet.processes.at("entry-0");
    entry.signal(SIGTERM);
    BOOST_TEST(waitUntil([&]() {
        return http(fleet.entryAddresses[1], "GET", "/v1/entries").body.find(fleet.entryAddresses[0])
            == std::string::npos;
    }));
    const HttpAnswer duringDrain = fleet.ask(0, "POST", "/v1/programs", "{}");
    BOOST_TEST(duringDrain.status == 201, duringDrain.body);
    BOOST_TEST(duringDrain.headers.at("Connection") == "Close");
    for (std::thread &client : clients) {
        client.join();
    }
    BOOST_TEST(entry.wait(std::chrono::seconds(60)) == 0);
    int cut = 0;
    for (int i = 0; i < Streams; ++i) {
        cut += streamedText(answers[i].body).done ? 0 : 1;
    }
    BOOST_TEST(cut == 0);
    for (int i = 0; i < Streams; i += 20) {
        const std::string body = modelCall(fleet.model, "stream " + std::to_string(i), 30, true);
        const HttpAnswer again = fleet.ask(1, "POST", programs[i] + "/calls/1", body);
        BOOST_TEST(streamedText(again.body).text == streamedText(answers[i].body).text);
    }
}

BOOST_AUTO_TEST_CASE(calls_succeed_during_rolling_restart)
{
    constexpr int Clients = 12;
    ProcessFleet fleet({.entries = 3});
    raiseRateLimits(fleet);
    std::atomic<bool> done = false;
    std::mutex mutex;
    std::vector<std::string> failures;
    std::vector<std::thread> clients;
    clients.reserve(Clients);
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&]() {
            const std::string program = "/v1/programs/" + fleet.createProgram(2, R"({"budget":{"calls":1000}})");
            for (int number = 1; !done; ++number) {
                const bool order = number % 2 == 0;
                const std::string body = order ? orderCall(fleet.service, "order=x&delay_ms=30")
                                               : modelCall(fleet.model, "line " + std::to_string(number), 4);
                const HttpAnswer answer = fleet.ask(2, "POST", program + "/calls/" + std::to_string(number), body);
                if (answer.status != 200) {
                    const std::lock_guard lock(mutex);
                    failures.push_back(answer.body);
                    return;
                }
            }
        });
    }
    for (std::size_t entry = 0; entry < 2; ++entry) {
        ChildProcess &process = *fleet.processes.at("entry-" + std::to_string(entry));
        process.signal(SIGTERM);
        BOOST_TEST(process.wait(std::chrono::seconds(60)) == 0);
        fleet.startEntry(entry);
    }
    done = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (const std::string &failure : failures) {
        BOOST_ERROR(failure);
    }
}
