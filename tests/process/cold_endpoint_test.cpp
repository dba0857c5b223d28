/** @file cold_endpoint_test.cpp  Cold endpoints, which tolerate few requests per second from all gateways together. */
#define BOOST_TEST_MODULE cold_endpoint
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/small_deployment.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr int Network = 17; ///< Third number of the loopback addresses.
constexpr std::size_t GatewayCount = 4;
constexpr std::size_t EndpointCount = 2;
constexpr unsigned PerSecond = 25; ///< Requests per second that a cold endpoint tolerates.
constexpr double Allowed = PerSecond * 1.5 + 5; ///< In one second, with the default bounds.
constexpr auto RequestInterval = 5ms; ///< Between two requests at each gateway.
constexpr auto ListTime = 2s; ///< Time after which gateways know what the list says.
constexpr unsigned LongColdMs = 600000;

using Clock = std::chrono::steady_clock;

/** An endpoint that records when requests arrive. */
class Endpoint
{
public:
    Endpoint()
        : server("127.0.0.1", [this](const std::string &head, const std::string & /*body*/) {
            const std::lock_guard lock(this->mutex);
            this->arrivals.push_back(Clock::now());
            return signedResponse(head, "ok", this->field);
        })
    {
    }

    /** Adds the header field @p text to further responses. */
    void addField(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->field = text;
    }
    std::size_t requestsSince(Clock::time_point start)
    {
        const std::lock_guard lock(this->mutex);
        return static_cast<std::size_t>(std::ranges::count_if(this->arrivals, [start](Clock::time_point time) {
            return time >= start;
        }));
    }
    /** Largest number of requests in a second that begins at @p start or later. */
    std::size_t mostInSecond(Clock::time_point start)
    {
        const std::lock_guard lock(this->mutex);
        std::size_t most = 0;
        std::deque<Clock::time_point> window;
        for (const Clock::time_point time : this->arrivals) {
            if (time < start) {
                continue;
            }
            window.push_back(time);
            while (time - window.front() > 1s) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

private:
    std::mutex mutex; ///< Guards the members below.
    std::vector<Clock::time_point> arrivals; ///< When requests arrived.
    std::string field; ///< Header field of all responses; empty for none.

public:
    RawServer server; ///< Accepts the requests.
};

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,)"
           R"("targetLatencyMs":100,"service":"app","maxAttempts":2,"sticky":true}],"services":[{"name":"app","coldS":20,)"
           R"("coldPerS":)"
        + std::to_string(PerSecond)
        + R"(}],"tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":4000,"burst":4000}]})";
}

struct Fixture
{
    Fixture()
    {
        this->list({0, 0});
        for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
            BOOST_REQUIRE(waitUntil([&]() {
                return this->deployment.send(gateway, {"/safe/x", "warm" + std::to_string(gateway)}).status == 200;
            }));
        }
    }

    /** Lists the endpoints, which stay cold for so many milliseconds, and waits until gateways know. */
    void list(const std::vector<unsigned> &coldLeftMs)
    {
        std::vector<ListedEndpoint> listed;
        for (std::size_t i = 0; i < EndpointCount; ++i) {
            listed.push_back({"i-" + std::to_string(i), "app", this->endpoints[i].server.address, coldLeftMs[i]});
        }
        this->deployment.setEndpoints(listed);
        std::this_thread::sleep_for(ListTime);
    }

    /** Sends requests to all gateways for @p duration. @return how many were sent, and how many of them served. */
    std::pair<unsigned, unsigned> sendFor(std::chrono::milliseconds duration)
    {
        std::atomic<unsigned> sent = 0;
        std::atomic<unsigned> served = 0;
        const auto end = Clock::now() + duration;
        std::vector<std::jthread> clients;
        for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
            clients.emplace_back([&, gateway]() {
                while (Clock::now() < end) {
                    const unsigned number = this->lastId++;
                    ClientRequest request{"/safe/x", "r" + std::to_string(number)};
                    request.fields = {{"Cookie", "X-Affinity-Key=o" + std::to_string(number % 50)}};
                    ++sent;
                    const Response response = this->deployment.send(gateway, request);
                    served += response.status == 200 ? 1 : 0;
                    this->otherFailures += response.status != 200 && response.status != 503 ? 1 : 0;
                    std::this_thread::sleep_for(RequestInterval);
                }
            });
        }
        clients.clear();
        return {sent, served};
    }

    std::vector<Endpoint> endpoints{EndpointCount}; ///< All of one service.
    std::atomic<unsigned> lastId = 0; ///< Makes request ids unique.
    std::atomic<unsigned> otherFailures = 0; ///< Requests that were neither served nor refused with 503.
    SmallDeployment deployment{Network, GatewayCount, configuration()};
};

} // namespace

// Guards against cold endpoints that crash because each gateway counts for itself, also after the control member is
// gone.
BOOST_FIXTURE_TEST_CASE(cold_endpoints_get_no_more_than_they_tolerate, Fixture)
{
    this->list({LongColdMs, LongColdMs});
    const auto start = Clock::now();
    const auto [sent, served] = this->sendFor(5s);
    this->deployment.processes[0]->signal(SIGKILL);
    static_cast<void>(this->sendFor(5s));
    for (Endpoint &endpoint : this->endpoints) {
        BOOST_TEST_MESSAGE(endpoint.mostInSecond(start) << " requests in a second");
        BOOST_TEST(static_cast<double>(endpoint.mostInSecond(start)) <= Allowed);
    }
    BOOST_TEST_MESSAGE(served << " of " << sent << " served in 5 s");
    BOOST_TEST(served >= PerSecond * EndpointCount * 5 / 2); // Most of what they tolerate is used.
    BOOST_TEST(this->otherFailures.load() == 0U);
}

// Guards against requests to a cold endpoint, also by affinity, while a warm one has room; and against one that stays
// cold.
BOOST_FIXTURE_TEST_CASE(warm_endpoint_takes_the_requests_until_the_cold_one_is_warm, Fixture)
{
    this->list({LongColdMs, 0});
    auto start = Clock::now();
    const auto [sent, served] = this->sendFor(2s);
    BOOST_TEST(served == sent);
    BOOST_TEST(this->endpoints[0].requestsSince(start) * 50 <= sent);
    this->list({500, 0}); // A shorter time doesn't count before lists have stated it for long enough.
    this->list({0, 0});
    std::this_thread::sleep_for(2s);
    start = Clock::now();
    static_cast<void>(this->sendFor(2s));
    BOOST_TEST(this->endpoints[0].requestsSince(start) * 5 >= this->endpoints[1].requestsSince(start));
}

// Guards against a gateway that ignores what responses say until the list shows it.
BOOST_FIXTURE_TEST_CASE(endpoint_that_states_that_it_is_cold_is_limited_at_once, Fixture)
{
    for (Endpoint &endpoint : this->endpoints) {
        endpoint.addField("X-Cold-Ms: 30000\r\n");
    }
    static_cast<void>(this->sendFor(500ms));
    std::this_thread::sleep_for(1s);
    const auto start = Clock::now();
    static_cast<void>(this->sendFor(4s));
    for (Endpoint &endpoint : this->endpoints) {
        BOOST_TEST(static_cast<double>(endpoint.mostInSecond(start)) <= Allowed);
    }
}
