/** @file leaving_test.cpp  Endpoints that the platform lists as leaving get no new calls. */
#define BOOST_TEST_MODULE leaving
#include <boost/test/unit_test.hpp>

#include <thread>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;

namespace
{

/** By then all entries must have stopped sending calls. The list lags by 100 ms here and is polled every 300 ms. */
constexpr auto ListPropagationTime = std::chrono::seconds(3);
constexpr int CallCount = 12;

/** Runs calls one after the other, each in a new program, through both entries. @return how many succeeded. */
int runCalls(const ProcessFleet &fleet)
{
    int answered = 0;
    for (int i = 0; i < CallCount; ++i) {
        const std::size_t entry = static_cast<std::size_t>(i) % fleet.entryAddresses.size();
        const HttpAnswer answer = fleet.ask(entry, "POST", "/v1/programs/" + fleet.createProgram(entry) + "/calls/1",
            R"({"kind":"model","model":")" + fleet.model
                + R"(","messages":[{"role":"user","content":"A verse"}],"max_tokens":4})");
        answered += answer.status == 200 ? 1 : 0;
    }
    return answered;
}

} // namespace

BOOST_AUTO_TEST_CASE(leaving_endpoint_gets_no_new_calls)
{
    ProcessFleet fleet({.entries = 2, .engines = 2});
    const std::string leaving = fleet.engineAddresses[0];
    const std::string chat = "\"/v1/chat/completions\"";
    BOOST_TEST(runCalls(fleet) == CallCount);
    const int total =
        ProcessFleet::ledgerCount(leaving, chat) + ProcessFleet::ledgerCount(fleet.engineAddresses[1], chat);
    BOOST_TEST(total >= CallCount);
    BOOST_TEST(ProcessFleet::ledgerCount(leaving, chat) > 0);
    BOOST_TEST(http(fleet.platformAddress, "POST", "/fake/leave", R"({"address":")" + leaving + "\"}").status == 200);
    std::this_thread::sleep_for(ListPropagationTime);
    const int before = ProcessFleet::ledgerCount(leaving, chat);
    BOOST_TEST(runCalls(fleet) == CallCount);
    BOOST_TEST(ProcessFleet::ledgerCount(leaving, chat) == before);
}
