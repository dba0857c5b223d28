/** @file late_stop_test.cpp  Real processes: requests that arrive at a stopping gateway up to its end, with work that
 * is longer than what is left of its grace period. */
#define BOOST_TEST_MODULE late_stop
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <map>
#include <mutex>
#include <thread>

#include "support/small_deployment.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr int Network = 24; ///< Third number of the loopback addresses.
constexpr auto GracePeriod = 8s; ///< See PlatformInstance.
constexpr std::size_t RequestCount = 40; ///< Sent at equal intervals from SIGTERM to the end of the grace period.
constexpr unsigned Slots = 12; ///< Requests that run at the same time; others are refused.

std::string configuration()
{
    const auto route = [](const std::string &name, const std::string &rest) {
        return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name
            + R"(/","timeoutMs":12000,"targetLatencyMs":100,"service":"app",)" + rest + "}";
    };
    return R"({"version":1,"routes":[)" + route("unsafe", R"("kind":"unsafe","maxAttempts":1)") + ","
        + route("turn", R"("kind":"stream","maxAttempts":1)") + R"(],"services":[{"name":"app"}],)"
        + R"("tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":1000,"burst":1000}]})";
}

struct Fixture
{
    Fixture()
    {
        this->deployment.setEndpoints({{"i-1", "app", this->endpoint.address}});
        BOOST_REQUIRE(waitUntil([this]() {
            return this->deployment.send(0, {"/unsafe/0", "ready" + std::to_string(++this->tries)}).status == 200;
        }));
    }

    /** Runs a request for as many milliseconds as the last part of its path says. */
    std::string run(const std::string &head)
    {
        const std::string target = head.substr(0, head.find(" HTTP"));
        const auto work = std::chrono::milliseconds(std::stoi(target.substr(target.rfind('/') + 1)));
        {
            const std::lock_guard lock(this->mutex);
            if (this->running >= Slots) {
                return "HTTP/1.1 503 Full\r\nX-Request-Id: " + fieldOf(head, "X-Request-Id")
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            }
            ++this->running;
            ++this->runs[fieldOf(head, "X-Request-Id")];
        }
        std::this_thread::sleep_for(work);
        const std::lock_guard lock(this->mutex);
        --this->running;
        return signedResponse(head, "id: 1\ndata: done\n\n", "Content-Type: text/event-stream\r\n");
    }

    std::mutex mutex; ///< Guards the next two members.
    unsigned running = 0; ///< Requests that run.
    std::map<std::string, unsigned> runs; ///< Number of runs by request id.
    RawServer endpoint{"127.0.24.30", [this](const std::string &head, const std::string & /*body*/) {
                           return this->run(head);
                       }};
    SmallDeployment deployment{Network, 1, configuration()}; ///< Its only gateway serves when the test starts.
    int tries = 0; ///< Number of requests before the test.
};

const std::vector<std::string> Paths = {"/unsafe/100", "/unsafe/6000", "/turn/100", "/turn/6000"};

/** Stops a gateway while requests to @p path arrive. */
void checkStop(const std::string &path)
{
    Fixture fixture;
    const std::size_t gateway = fixture.deployment.processOfGateway(0);
    fixture.deployment.processes[gateway]->signal(SIGTERM);
    const auto start = std::chrono::steady_clock::now();
    std::vector<Response> responses(RequestCount);
    std::vector<std::jthread> clients;
    for (std::size_t i = 0; i < RequestCount; ++i) {
        clients.emplace_back([&, i]() {
            std::this_thread::sleep_until(start + i * std::chrono::milliseconds(GracePeriod) / RequestCount);
            ClientRequest request{path, "s" + std::to_string(i)};
            request.deadlineMs = 12000;
            responses[i] = fixture.deployment.send(0, request, 10s);
        });
    }
    clients.clear();
    for (std::size_t i = 0; i < RequestCount; ++i) {
        const std::string id = "s" + std::to_string(i);
        const std::lock_guard lock(fixture.mutex);
        if (fixture.runs[id] != 0) {
            BOOST_TEST((responses[i].status == 200 && responses[i].complete),
                id << " ran, and its client got " << responses[i].status);
        }
    }
    BOOST_TEST(fixture.deployment.processes[gateway]->wait() == 0);
}

} // namespace

/** Guards against requests that are taken late in a planned stop, run, and are cut when the process ends. */
BOOST_DATA_TEST_CASE(request_that_runs_during_a_stop_is_answered, boost::unit_test::data::make(Paths), path)
{
    checkStop(path);
}
