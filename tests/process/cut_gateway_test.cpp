/** @file cut_gateway_test.cpp  Gateways that are cut off from endpoints, while clients and other daemons reach them.
 * The kernel drops the packets from a cut gateway at the endpoints' sockets. */
#define BOOST_TEST_MODULE cut_gateway
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gateway/relayed_stream_base.h"
#include "rpc/control_loop_base.h"
#include "support/small_deployment.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr int Network = 6; ///< Third number of the loopback addresses.
constexpr std::size_t GatewayCount = 4;
constexpr std::size_t EndpointCount = 4;
constexpr auto ContactTime = 3s; ///< From then on the clients of a cut gateway must be served as those of others.
constexpr auto RequestInterval = 20ms; ///< Between two requests to one gateway.
constexpr std::size_t SlowEventCount = 8; ///< Events of a slow stream.
constexpr auto SlowEventPause = 100ms; ///< Pause before each of them.
constexpr auto StrikeReportTime = 1s; ///< Strikes of one gateway are known to all after this time.
constexpr auto DetectionTime = 1500ms; ///< Time after which a gateway knows of a cut while it gets requests.
const std::string EventOne = "id: 1\ndata: one\n\n";
const std::string EventTwo = "id: 2\ndata: two\n\n";
const std::vector<std::string> Paths = {"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"};

/** Events of a slow stream; each has the same size. */
std::string slowEvents()
{
    std::string events;
    for (std::size_t i = 0; i < SlowEventCount; ++i) {
        events += "id: " + std::to_string(i) + "\ndata: slow\n\n";
    }
    return events;
}

/** An endpoint that records from where requests reach it. A path that ends in /crash makes it go down. Streams whose
 * path ends in /slow take SlowEventCount events, with pauses. */
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
    /** Whether the connection ended before the response to the request did. */
    bool wasAbandoned(const std::string &requestId)
    {
        const std::lock_guard lock(this->mutex);
        return this->abandoned.contains(requestId);
    }

    std::atomic<std::chrono::milliseconds> responseTime = 10ms; ///< Time until a response begins.
    std::atomic<bool> resetsConnections = false; ///< Resets connections instead of sending responses.

private:
    bool answer(Poco::Net::StreamSocket &connection, const std::string &head)
    {
        const std::string id = fieldOf(head, "X-Request-Id");
        {
            const std::lock_guard lock(this->mutex);
            this->sources[id].push_back(connection.peerAddress().host().toString());
        }
        const std::string target = head.substr(0, head.find(" HTTP"));
        const bool isStream =
            target.find("/stream/") != std::string::npos || target.find("/resume/") != std::string::npos;
        std::this_thread::sleep_for(this->responseTime.load());
        if (target.ends_with("/crash")) {
            this->server.stopListening();
        }
        if (this->resetsConnections || target.ends_with("/crash")) {
            connection.setLinger(true, 0);
            return false;
        }
        if (target.ends_with("/slow")) {
            return this->sendSlowStream(connection, head, id);
        }
        const std::string response = isStream
            ? signedResponse(head, EventOne + EventTwo, "Content-Type: text/event-stream\r\n")
            : signedResponse(head, "ok");
        connection.sendBytes(response.data(), static_cast<int>(response.size()));
        return true;
    }

    bool sendSlowStream(Poco::Net::StreamSocket &connection, const std::string &head, const std::string &id)
    {
        std::string response = signedResponse(head, slowEvents(), "Content-Type: text/event-stream\r\n");
        const std::size_t bodyStart = response.size() - slowEvents().size();
        const std::size_t eventBytes = slowEvents().size() / SlowEventCount;
        connection.sendBytes(response.data(), static_cast<int>(bodyStart));
        for (std::size_t i = 0; i < SlowEventCount; ++i) {
            const Poco::Timespan pause(std::chrono::duration_cast<std::chrono::microseconds>(SlowEventPause).count());
            if (connection.poll(pause, Poco::Net::Socket::SELECT_READ)) { // The next request isn't sent before the end.
                const std::lock_guard lock(this->mutex);
                this->abandoned.insert(id);
                return false;
            }
            connection.sendBytes(response.data() + bodyStart + i * eventBytes, static_cast<int>(eventBytes));
        }
        return true;
    }

    std::mutex mutex; ///< Guards the members below.
    std::map<std::string, std::vector<std::string>> sources; ///< Address of each sender, by request id.
    std::set<std::string> abandoned; ///< Ids of requests whose connection ended before their response.

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

    /** Addresses from which request @p id reached an endpoint last; empty if it reached none. */
    std::string sourceOf(const std::string &id)
    {
        std::string source;
        for (Endpoint &endpoint : this->endpoints) {
            source += endpoint.sourceOf(id);
        }
        return source;
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

/** Checks that at each gateway all but 10 + 1 in 50 requests are served, the stricter half of the users' rule. */
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

BOOST_FIXTURE_TEST_CASE(overlapping_cuts_keep_all_promises, Fixture)
{
    this->cutOff({0, 1});
    checkTruth(this->sendFor(1s));
    this->cutOff({1, 2});
    checkTruth(this->sendFor(1s));
    this->cutOff({2, 3});
    checkTruth(this->sendFor(ContactTime));
    const std::vector<Outcome> during = this->sendFor(1s);
    checkTruth(during);
    checkServed(during);
}

BOOST_FIXTURE_TEST_CASE(link_to_a_single_endpoint_is_replaced_by_another_gateway, Fixture)
{
    this->cutOff({0}, 0);
    checkTruth(this->sendFor(DetectionTime));
    const std::vector<Outcome> during = this->sendFor(1s);
    checkTruth(during);
    checkServed(during);
    BOOST_TEST(during[0].sources.contains(this->deployment.sourcesOf({0}).front()));
    BOOST_TEST(during[0].sources.size() > 1U);
    for (std::size_t gateway = 1; gateway < GatewayCount; ++gateway) {
        BOOST_TEST((during[gateway].sources == std::set<std::string>{this->deployment.sourcesOf({gateway}).front()}));
    }
}

BOOST_FIXTURE_TEST_CASE(endpoints_that_are_silent_for_a_second_are_not_taken_for_cut_off, Fixture)
{
    checkServed(this->sendFor(300ms));
    for (Endpoint &endpoint : this->endpoints) {
        endpoint.responseTime = 1100ms;
    }
    const std::vector<Outcome> during = this->sendFor(3s);
    checkTruth(during);
    for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
        BOOST_TEST(during[gateway].served == during[gateway].sent);
        BOOST_TEST((during[gateway].sources == std::set<std::string>{this->deployment.sourcesOf({gateway}).front()}));
    }
}

BOOST_FIXTURE_TEST_CASE(gateway_that_stops_cuts_no_stream_that_it_relays, Fixture)
{
    this->cutOff({0});
    checkTruth(this->sendFor(DetectionTime));
    std::vector<Response> responses(24);
    std::vector<std::string> ids;
    std::vector<std::jthread> clients;
    for (Response &response : responses) {
        ids.push_back("slow" + std::to_string(ids.size()));
        clients.emplace_back([this, &response, id = ids.back()]() {
            response = this->deployment.send(0, {"/stream/slow", id});
        });
    }
    std::this_thread::sleep_for(2 * SlowEventPause);
    for (std::size_t gateway = 1; gateway + 1 < GatewayCount; ++gateway) {
        this->deployment.processes[this->deployment.processOfGateway(gateway)]->signal(SIGTERM);
    }
    clients.clear();
    std::set<std::string> sources;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        BOOST_TEST(responses[i].complete);
        BOOST_TEST(responses[i].body == slowEvents());
        sources.insert(this->sourceOf(ids[i]));
    }
    BOOST_TEST(sources.size() > 1U);
    for (std::size_t gateway = 1; gateway + 1 < GatewayCount; ++gateway) {
        BOOST_TEST(this->deployment.processes[this->deployment.processOfGateway(gateway)]->wait() == 0);
    }
    const std::vector<Outcome> after = this->sendFor(500ms);
    BOOST_TEST(after[0].served == after[0].sent);
}

BOOST_FIXTURE_TEST_CASE(requests_survive_the_end_of_the_gateway_that_relays_them, Fixture)
{
    this->cutOff({0});
    checkTruth(this->sendFor(DetectionTime));
    std::jthread killer([this]() {
        std::this_thread::sleep_for(300ms);
        for (const std::size_t gateway : {1U, 2U}) {
            this->deployment.processes[this->deployment.processOfGateway(gateway)]->signal(SIGKILL);
        }
    });
    checkTruth({this->sendFor(1500ms)[0]});
    const Outcome after = this->sendFor(1s)[0];
    BOOST_TEST(after.served == after.sent);
}

BOOST_FIXTURE_TEST_CASE(pause_of_the_gateways_that_relay_cuts_no_stream, Fixture)
{
    this->cutOff({0});
    checkTruth(this->sendFor(DetectionTime));
    std::vector<Response> responses(8);
    std::vector<std::jthread> clients;
    clients.reserve(responses.size() + 1);
    for (Response &response : responses) {
        clients.emplace_back([this, &response]() {
            response = this->deployment.send(0, {"/stream/slow", "slow" + std::to_string(this->ids++)});
        });
    }
    std::this_thread::sleep_for(2 * SlowEventPause);
    const auto signalOthers = [this](int number) {
        for (std::size_t gateway = 1; gateway < GatewayCount; ++gateway) {
            this->deployment.processes[this->deployment.processOfGateway(gateway)]->signal(number);
        }
    };
    signalOthers(SIGSTOP);
    clients.emplace_back([this]() { // Asks for further connections meanwhile.
        std::ignore = this->deployment.send(0, {"/safe/x", "meanwhile"}, 600ms);
    });
    std::this_thread::sleep_for(500ms);
    signalOthers(SIGCONT);
    clients.clear();
    for (const Response &response : responses) {
        BOOST_TEST(response.complete);
        BOOST_TEST(response.body == slowEvents());
    }
}

BOOST_FIXTURE_TEST_CASE(close_of_a_client_reaches_the_endpoint_through_another_gateway, Fixture)
{
    this->cutOff({0});
    checkTruth(this->sendFor(DetectionTime));
    std::ignore =
        this->deployment.send(0, {"/stream/slow", "left"}, SlowEventPause / 2); // Leaves before the first event.
    BOOST_TEST(waitUntil(
        [this]() {
            return std::ranges::any_of(this->endpoints, [](Endpoint &endpoint) {
                return endpoint.wasAbandoned("left");
            });
        },
        500ms));
    BOOST_TEST(this->sourceOf("left") != this->deployment.sourcesOf({0}).front());
}

BOOST_FIXTURE_TEST_CASE(request_that_was_given_up_in_a_cut_does_not_run_after_it, Fixture)
{
    constexpr int Requests = 20;
    checkServed(this->sendFor(500ms)); // Leaves kept connections.
    this->cutOff({0});
    std::vector<std::string> ids;
    for (int i = 0; i < Requests; ++i) {
        ids.push_back("cut" + std::to_string(i));
        BOOST_TEST(this->deployment.send(0, {"/safe/x", ids.back()}).status == 200);
    }
    this->cutOff({});
    std::this_thread::sleep_for(ContactTime);
    for (const std::string &id : ids) {
        unsigned runs = 0;
        for (Endpoint &endpoint : this->endpoints) {
            runs += endpoint.runsOf(id);
        }
        BOOST_TEST(runs == 1U, id << " ran " << runs << " times");
    }
}

BOOST_FIXTURE_TEST_CASE(requests_that_met_a_cut_are_not_quarantined, Fixture)
{
    constexpr int Rounds = 10;
    constexpr auto ResponseTime = 200ms;
    for (Endpoint &endpoint : this->endpoints) {
        endpoint.responseTime = ResponseTime;
    }
    const auto setCut = [this](bool isCut) {
        this->cutOff(isCut ? std::vector<std::size_t>{0, 1, 2, 3} : std::vector<std::size_t>{});
        for (Endpoint &endpoint : this->endpoints) {
            endpoint.resetsConnections = isCut;
        }
    };
    for (int round = 0; round < Rounds; ++round) {
        std::jthread client([this]() {
            std::ignore = this->deployment.send(0, {"/safe/same", "round" + std::to_string(this->ids++)});
        });
        std::this_thread::sleep_for(ResponseTime / 2);
        setCut(true);
        client.join();
        std::this_thread::sleep_for(ResponseTime);
        setCut(false);
        BOOST_REQUIRE(waitUntil([this]() {
            return this->deployment.send(0, {"/safe/other", "other" + std::to_string(this->ids++)}).status == 200;
        }));
    }
    BOOST_TEST(this->deployment.send(0, {"/safe/same", "last"}).status == 200);
}

BOOST_FIXTURE_TEST_CASE(request_that_brings_three_endpoints_down_is_quarantined, Fixture)
{
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(this->deployment.send(0, {"/unsafe/crash", "crash" + std::to_string(i)}).status == 502);
    }
    std::this_thread::sleep_for(StrikeReportTime);
    BOOST_TEST(this->deployment.send(1, {"/unsafe/crash", "again"}).status == 503);
    BOOST_TEST(this->sourceOf("again").empty());
    BOOST_TEST(this->deployment.send(1, {"/unsafe/x", "other"}).status == 200);
}

BOOST_FIXTURE_TEST_CASE(new_clients_are_sent_to_gateways_that_reach_endpoints, Fixture)
{
    const auto listed = [this]() {
        return http(this->deployment.directoryAddress, "GET", "/-/resolve?name=h.example&region=r&zone=z").body;
    };
    const auto isListed = [&](std::size_t gateway) {
        return listed().find(this->deployment.clientAddresses[gateway]) != std::string::npos;
    };
    this->cutOff({0, 1});
    checkTruth(this->sendFor(DetectionTime));
    BOOST_TEST(!isListed(0));
    BOOST_TEST(!isListed(1));
    BOOST_TEST(isListed(2));
    BOOST_TEST(isListed(3));
    this->cutOff({});
    BOOST_TEST(waitUntil([&]() {
        return isListed(0) && isListed(1);
    }));
}

BOOST_FIXTURE_TEST_CASE(only_daemons_of_the_deployment_may_ask_for_connections, Fixture)
{
    const PlatformInstance &gateway = this->deployment.instances[this->deployment.processOfGateway(0)];
    const std::string address = gateway.ip + ":" + std::to_string(gateway.rpcPort);
    const std::string bytes = sendRawRequest(address,
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: forged\r\nX-Expected-Instance: i-0\r\n"
        "X-Tenant: glue\r\nContent-Length: 0\r\n\r\n",
        500ms);
    BOOST_TEST(bytes.find("HTTP/1.1") == std::string::npos);
    BOOST_TEST(this->sourceOf("forged").empty());
    for (const std::string secret : {"another", "test"}) {
        ControlLoop loop(secret, "stranger");
        RpcLink link(loop.rpc(), address);
        const auto ask = [&link](const std::string &endpoint) {
            return link.services().then([endpoint](OfferedServices &&services) {
                auto request = services.peer.castAs<Wire::EndpointRelay>().connectRequest();
                request.setEndpoint(endpoint.c_str());
                request.setToCaller(makeSink(kj::refcounted<RelayBuffer>()));
                return request.send().ignoreResult();
            });
        };
        BOOST_CHECK_THROW(loop.wait(ask("i-none")), kj::Exception);
        BOOST_CHECK_THROW(loop.wait(ask(this->endpoints[0].server.address)), kj::Exception);
        if (secret == "test") {
            BOOST_CHECK_NO_THROW(loop.wait(ask("i-0")));
        } else {
            BOOST_CHECK_THROW(loop.wait(ask("i-0")), kj::Exception);
        }
    }
}
