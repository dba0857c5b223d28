/** @file stale_configuration_test.cpp  Real processes: what a gateway answers that may not know the newest
 * configuration.
 */
#define BOOST_TEST_MODULE stale_configuration
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "support/small_deployment.h"

using namespace Chestnuthook::Testing;

namespace
{

constexpr int Network = 23; ///< Third number of the loopback addresses.
constexpr std::size_t ControlProcess = 0; ///< Index of the control member's process.

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/r/","timeoutMs":3000,)"
           R"("targetLatencyMs":100,"service":"app","kind":"safe","maxAttempts":2}],)"
           R"("services":[{"name":"app"}],)"
           R"("tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":10000,"burst":10000}]})";
}

struct Fixture
{
    Fixture()
    {
        this->deployment.setEndpoints({{"i-1", "app", this->endpoint.address}});
        BOOST_REQUIRE(waitUntil([this]() {
            return this->statusOf("/r/x") == 200;
        }));
    }

    int statusOf(const std::string &path)
    {
        return this->deployment.send(0, {path, "q" + std::to_string(++this->requestIds)}).status;
    }

    int statusOfUnknownKey()
    {
        ClientRequest request{"/r/x", "q" + std::to_string(++this->requestIds)};
        request.key = "unknown";
        return this->deployment.send(0, request).status;
    }

    RawServer endpoint{"127.0.23.30", [](const std::string &head, const std::string & /*body*/) {
                           return signedResponse(head, "done");
                       }};
    SmallDeployment deployment{Network, 1, configuration()}; ///< Its only gateway serves when the test starts.
    int requestIds = 0; ///< Number of request ids given out.
};

} // namespace

/** Guards against 404 and 401 by a configuration that may not be the newest one: clients give up on them. */
BOOST_FIXTURE_TEST_CASE(gateway_out_of_touch_denies_nothing_that_a_newer_configuration_may_allow, Fixture)
{
    BOOST_TEST(this->statusOf("/new/x") == 404);
    BOOST_TEST(this->statusOfUnknownKey() == 401);
    this->deployment.processes[ControlProcess]->signal(SIGSTOP);
    BOOST_TEST(waitUntil([this]() {
        return this->statusOf("/new/x") == 503;
    }));
    BOOST_TEST(this->statusOfUnknownKey() == 503);
    BOOST_TEST(this->statusOf("/r/x") == 200);
    this->deployment.processes[ControlProcess]->signal(SIGCONT);
    BOOST_TEST(waitUntil([this]() {
        return this->statusOf("/new/x") == 404;
    }));
    BOOST_TEST(this->statusOfUnknownKey() == 401);
}

BOOST_FIXTURE_TEST_CASE(gateway_that_has_just_started_is_not_ready_without_control, Fixture)
{
    this->deployment.processes[ControlProcess]->signal(SIGSTOP);
    const std::size_t gateway = this->deployment.processOfGateway(0);
    this->deployment.processes[gateway]->signal(SIGKILL);
    this->deployment.processes[gateway]->wait();
    this->deployment.start(gateway);
    BOOST_TEST(waitUntil([this]() {
        return this->statusOf("/r/x") == 503;
    }));
    BOOST_TEST(this->statusOf("/new/x") == 503);
    BOOST_TEST(this->statusOfUnknownKey() == 503);
    this->deployment.processes[ControlProcess]->signal(SIGCONT);
    BOOST_TEST(waitUntil([this]() {
        return this->statusOf("/r/x") == 200;
    }));
}
