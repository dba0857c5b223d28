/** @file leaving_test.cpp  Endpoints that the platform lists as leaving. */
#define BOOST_TEST_MODULE leaving
#include <boost/test/unit_test.hpp>

#include <thread>

#include "support/process_fleet.h"

using namespace Chestnuthook::Testing;

namespace
{

/** The brief's "few seconds"; the list lags by 100 ms in this fleet and is read each 300 ms. */
constexpr auto FewSeconds = std::chrono::seconds(3);
constexpr int Calls = 12;

/** Runs calls of new programs one after the other through both entries. @return how many were answered 200. */
int runCalls(const ProcessFleet &fleet)
{
    int answered = 0;
    for (int i = 0; i < Calls; ++i) {
        const std::size_t entry = static_cast<std::size_t>(i) % fleet.entryAddresses.size();
        const HttpAnswer answer = fleet.ask(entry, "POST", "/v1/programs/" + fleet.createProgram(entry) + "/calls/1",
            R"({"kind":"model","model":")" + fleet.model
                + R"(","messages":[{"role":"user","content":"A verse"}],"max_tokens":4})");
        answered += answer.status == 200 ? 1 : 0;
    }
    return answered;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_new_work_and_no_call_is_lost)
{
    ProcessFleet fleet({.entries = 2, .engines = 2});
    const std::string leaving = fleet.engineAddresses[0];
    const std::string chat = "\"/v1/chat/completions\"";
    BOOST_TEST(runCalls(fleet) == Calls);
    const int both =
        ProcessFleet::ledgerCount(leaving, chat) + ProcessFleet::ledgerCount(fleet.engineAddresses[1], chat);
    BOOST_TEST(both >= Calls);
    BOOST_TEST(ProcessFleet::ledgerCount(leaving, chat) > 0);
    BOOST_TEST(http(fleet.platformAddress, "POST", "/fake/leave", R"({"address":")" + leaving + "\"}").status == 200);
    std::this_thread::sleep_for(FewSeconds);
    const int before = ProcessFleet::ledgerCount(leaving, chat);
    BOOST_TEST(runCalls(fleet) == Calls);
    BOOST_TEST(ProcessFleet::ledgerCount(leaving, chat) == before);
}
