/** @file quarantine_test.cpp  A request that crashes each endpoint that runs it is refused after two, whatever program
 * or entry it comes back through; those that were in flight beside it are served. */
#define BOOST_TEST_MODULE quarantine
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <thread>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;

BOOST_AUTO_TEST_CASE(a_poison_request_sent_twenty_times_kills_two_endpoints_and_blames_nobody_else)
{
    constexpr int Resends = 20;
    constexpr int Neighbours = 6;
    ProcessFleet fleet({.entries = 2, .engines = 5, .engineFlags = {"--token_ms=40"}});
    liftRates(fleet);
    for (const std::string &engine : fleet.engineAddresses) {
        orderFault(engine, R"({"kind":"crash","match":"poison","count":1000,"after_tokens":3})");
    }
    std::atomic<bool> done = false;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::mutex mutex;
    std::string refusals;
    std::vector<std::thread> neighbours;
    neighbours.reserve(Neighbours);
    for (int i = 0; i < Neighbours; ++i) {
        neighbours.emplace_back([&, i]() {
            for (int turn = 0; !done; ++turn) {
                const std::string call = "/v1/programs/" + fleet.createProgram(0) + "/calls/1";
                const std::string words = "innocent " + std::to_string(i) + " " + std::to_string(turn);
                const HttpAnswer answer = fleet.ask(0, "POST", call, modelCall(fleet.model, words, 12));
                (answer.status == 200 ? served : refused) += 1;
                if (answer.status != 200) {
                    const std::lock_guard lock(mutex);
                    refusals += answer.body;
                }
            }
        });
    }
    std::string body;
    for (int i = 0; i < Resends; ++i) {
        const std::size_t entry = static_cast<std::size_t>(i) % 2;
        const std::string call = "/v1/programs/" + fleet.createProgram(entry) + "/calls/1";
        const HttpAnswer answer = fleet.ask(entry, "POST", call, modelCall(fleet.model, "poison", 12, i % 3 == 0));
        const bool told = answer.body.find("\"quarantined\"") != std::string::npos;
        BOOST_TEST(told, answer.body);
        const std::string truth = i == 0 ? "\"ran\":\"yes\"" : "\"ran\":\"no\"";
        BOOST_TEST(answer.body.find(truth) != std::string::npos, answer.body);
    }
    done = true;
    for (std::thread &neighbour : neighbours) {
        neighbour.join();
    }
    int dead = 0;
    for (int i = 0; i < 5; ++i) {
        dead += fleet.processes.at("engine-" + std::to_string(i))->isRunning() ? 0 : 1;
    }
    BOOST_TEST(dead == 2);
    BOOST_TEST(refused == 0, refusals);
    BOOST_TEST(served > 0);
}
