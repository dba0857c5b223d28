/** @file quarantine_test.cpp  A request that crashes every endpoint is rejected after two crashes, whatever program or
 * entry it is resent through, while requests that were in flight with it succeed. */
#define BOOST_TEST_MODULE quarantine
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <thread>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;

BOOST_AUTO_TEST_CASE(quarantines_a_request_that_crashes_endpoints)
{
    constexpr int Resends = 20;
    constexpr int OtherClients = 6;
    ProcessFleet fleet({.entries = 2, .engines = 5, .engineFlags = {"--token_ms=40"}});
    raiseRateLimits(fleet);
    for (const std::string &engine : fleet.engineAddresses) {
        injectFault(engine, R"({"kind":"crash","match":"poison","count":1000,"after_tokens":3})");
    }
    std::atomic<bool> done = false;
    std::atomic<int> succeeded = 0;
    std::atomic<int> failed = 0;
    std::mutex mutex;
    std::string failures;
    std::vector<std::thread> otherClients;
    otherClients.reserve(OtherClients);
    for (int i = 0; i < OtherClients; ++i) {
        otherClients.emplace_back([&, i]() {
            for (int turn = 0; !done; ++turn) {
                const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
                const std::string text = "innocent " + std::to_string(i) + " " + std::to_string(turn);
                const HttpAnswer answer = fleet.ask(0, "POST", call, modelCall(fleet.model, text, 12));
                (answer.status == 200 ? succeeded : failed) += 1;
                if (answer.status != 200) {
                    const std::lock_guard lock(mutex);
                    failures += answer.body;
                }
            }
        });
    }
    std::string body;
    for (int i = 0; i < Resends; ++i) {
        const std::size_t entry = static_cast<std::size_t>(i) % 2;
        const std::string call = "/v1/programs/" + fleet.createProgram(entry) + "/calls/1";
        const HttpAnswer answer = fleet.ask(entry, "POST", call, modelCall(fleet.model, "poison", 12, i % 3 == 0));
        const bool quarantined = answer.body.find("\"quarantined\"") != std::string::npos;
        BOOST_TEST(quarantined, answer.body);
        const std::string expectedRan = i == 0 ? "\"ran\":\"yes\"" : "\"ran\":\"no\"";
        BOOST_TEST(answer.body.find(expectedRan) != std::string::npos, answer.body);
    }
    done = true;
    for (std::thread &client : otherClients) {
        client.join();
    }
    int dead = 0;
    for (int i = 0; i < 5; ++i) {
        dead += fleet.processes.at("engine-" + std::to_string(i))->isRunning() ? 0 : 1;
    }
    BOOST_TEST(dead == 2);
    BOOST_TEST(failed == 0, failures);
    BOOST_TEST(succeeded > 0);
}
