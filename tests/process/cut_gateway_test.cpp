/** @file cut_gateway_test.cpp  Gateways that are cut off from endpoints, while clients and other daemons reach them.
 * The kernel drops the packets from a cut gateway at the endpoints' sockets. */
#define BOOST_TEST_MODULE cut_gateway
#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/small_deployment.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr int Network = 6; ///< Third number of the loopback addresses.
constexpr std::size_t GatewayCount = 4;
constexpr std::size_t EndpointCount = 4;
constexpr auto ContactTime = 3s; ///< From then on the clients of a cut gateway must be served as those of others.
constexpr auto RequestInterval = 20ms; ///< Between two requests to one gateway.
const std::string EventOne = "id: 1\ndata: one\n\n";
const std::string EventTwo = "id: 2\ndata: two\n\n";
const std::vector<std::string> Paths = {"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"};

/** An endpoint that records from where requests reach it. */
class Endpoint
{
public:
    Endpoint()
        : server("127.0.0.1",
            [this](Poco::Net::StreamSocket &connection, const std::string &head, const std::string & /*body*/) {
                return this->answer(connection, head);
            })
    {
    }

    unsigned runsOf(const std::string &requestId)
    {
        const std::lock_guard lock(this->mutex);
        return static_cast<unsigned>(this->sources[requestId].size());
    }
    /** Address from which the request came last; empty if it didn't come. */
    std::string sourceOf(const std::string &requestId)
    {
        const std::lock_guard lock(this->mutex);
        const auto &list = this->sources[requestId];
        return list.empty() ? std::string() : list.back();
    }

private:
    bool answer(Poco::Net::StreamSocket &connection, const std::string &head)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->sources[fieldOf(head, "X-Request-Id")].push_back(connection.peerAddress().host().toString());
        }
        const std::string target = head.substr(0, head.find(" HTTP"));
        const bool isStream =
            target.find("/stream/") != std::string::npos || target.find("/resume/") != std::string::npos;
        const std::string response = isStream
            ? signedResponse(head, EventOne + EventTwo, "Content-Type: text/event-stream\r\n")
            : signedResponse(head, "ok");
        std::this_thread::sleep_for(10ms);
        connection.sendBytes(response.data(), static_cast<int>(response.size()));
        return true;
    }

    std::mutex mutex; ///< Guards `sources`.
    std::map<std::string, std::vector<std::string>> sources; ///< Address of each sender, by request id.

public:
    RawServer server; ///< Accepts the requests.
};

std::string configuration()
{
    const auto route = [](const std::string &name, const std::string &rest) {
        return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name
            + R"(/","timeoutMs":3000,"targetLatencyMs":100,"service":"app",)" + rest + "}";
    };
    return R"({"version":1,"routes":[)" + route("safe", R"("kind":"safe","maxAttempts":2)") + ","
        + route("unsafe", R"("kind":"unsafe","maxAttempts":1)") + ","
        + route("stream", R"("kind":"stream","maxAttempts":1)") + ","
        + route("resume", R"("kind":"stream","maxAttempts":2,"resumable":true)")
        + R"(],"services":[{"name":"app","engine":{"stride":10}}],)"
        + R"("tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":4000,"burst":4000}]})";
}

/** What became of the requests to one gateway. */
struct Outcome
{
    unsigned sent = 0; ///< Requests sent.
    unsigned served = 0; ///< Of these, answered whole with 200.
    unsigned repeated = 0; ///< Ran more than once though their route doesn't allow it.
    unsigned falselyRefused = 0; ///< Answered 429 or 503, and ran.
    std::set<std::string> sources; ///< Where they reached endpoints from.
};

struct Fixture
{
    Fixture()
    {
        std::vector<ListedEndpoint> list;
        for (std::size_t i = 0; i < EndpointCount; ++i) {
            list.push_back({"i-" + std::to_string(i), "app", this->endpoints[i].server.address});
        }
        this->deployment.setEndpoints(list);
        for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
            BOOST_REQUIRE(waitUntil([&]() {
                return this->deployment.send(gateway, {"/safe/x", "warm" + std::to_string(gateway)}).status == 200;
            }));
        }
    }

    /** Cuts @p gateways, and no others, off from the endpoint with the given index, or from all. */
    void cutOff(const std::vector<std::size_t> &gateways, std::size_t endpoint = EndpointCount)
    {
        for (std::size_t i = 0; i < EndpointCount; ++i) {
            if (endpoint == EndpointCount || endpoint == i) {
                this->endpoints[i].server.cutOff(this->deployment.sourcesOf(gateways));
            }
        }
    }

    /** Sends requests to each gateway for @p duration, at an interval each. @return the outcomes by gateway. */
    std::vector<Outcome> sendFor(std::chrono::milliseconds duration)
    {
        std::vector<Outcome> outcomes(GatewayCount);
        const auto end = std::chrono::steady_clock::now() + duration;
        std::vector<std::jthread> clients;
        for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
            for (std::size_t path = 0; path < Paths.size(); ++path) {
                clients.emplace_back([&, gateway, path]() {
                    while (std::chrono::steady_clock::now() < end) {
                        this->sendOne(gateway, path, outcomes[gateway]);
                        std::this_thread::sleep_for(RequestInterval);
                    }
                });
            }
        }
        return clients.clear(), outcomes;
    }

    void sendOne(std::size_t gateway, std::size_t path, Outcome &outcome)
    {
        const std::string id = "r" + std::to_string(this->ids++);
        const Response response = this->deployment.send(gateway, {Paths[path], id});
        unsigned runs = 0;
        const std::lock_guard lock(this->mutex);
        for (Endpoint &endpoint : this->endpoints) {
            runs += endpoint.runsOf(id);
            if (const std::string source = endpoint.sourceOf(id); !source.empty()) {
                outcome.sources.insert(source);
            }
        }
        const bool isRepeatable = Paths[path].starts_with("/safe") || Paths[path].starts_with("/resume");
        ++outcome.sent;
        outcome.served += response.status == 200 && response.complete ? 1 : 0;
        outcome.repeated += !isRepeatable && runs > 1 ? 1 : 0;
        outcome.falselyRefused += (response.status == 503 || response.status == 429) && runs > 0 ? 1 : 0;
    }

    std::deque<Endpoint> endpoints{EndpointCount}; ///< Endpoints of the only service.
    SmallDeployment deployment{Network, GatewayCount, configuration()}; ///< Ready to serve when the test starts.
    std::mutex mutex; ///< Guards the outcomes while requests are sent.
    std::atomic<int> ids = 0; ///< Number of request ids given out.
};

/** Checks the promises that hold whatever is cut. */
void checkTruth(const std::vector<Outcome> &outcomes)
{
    for (const Outcome &outcome : outcomes) {
        BOOST_TEST(outcome.repeated == 0U);
        BOOST_TEST(outcome.falselyRefused == 0U);
    }
}

/** Checks that the users' rule holds for each gateway: served two thirds as often as at the others, or all but 10 + 1
 * in 50 of the requests. */
void checkServed(const std::vector<Outcome> &outcomes)
{
    for (const Outcome &outcome : outcomes) {
        BOOST_TEST(outcome.sent - outcome.served <= 10 + outcome.sent / 50,
            outcome.served << " of " << outcome.sent << " requests are served");
    }
}

} // namespace

BOOST_FIXTURE_TEST_CASE(clients_of_gateways_that_are_cut_off_are_served, Fixture)
{
    checkServed(this->sendFor(500ms)); // Leaves kept connections.
    this->cutOff({0, 1});
    checkTruth(this->sendFor(ContactTime));
    const std::vector<Outcome> during = this->sendFor(3s);
    checkTruth(during);
    checkServed(during);
    for (const std::string &source : this->deployment.sourcesOf({0, 1})) {
        BOOST_TEST(!during[0].sources.contains(source));
        BOOST_TEST(!during[1].sources.contains(source));
    }
    this->cutOff({});
    BOOST_TEST(waitUntil([this]() {
        const std::vector<Outcome> after = this->sendFor(200ms);
        return after[0].sources == std::set<std::string>{this->deployment.sourcesOf({0}).front()};
    }));
    checkServed(this->sendFor(1s));
}
