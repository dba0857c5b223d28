/** @file drain_test.cpp  A graceful shutdown of an entry under load must not interrupt requests. */
#define BOOST_TEST_MODULE drain
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include "support/program_call.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

/** A client connection that is kept open between requests. */
class KeptConnection
{
public:
    explicit KeptConnection(const ProcessFleet &fleet)
        : key(fleet.key)
        , session(Poco::Net::SocketAddress(fleet.entryAddresses[0]))
    {
        this->session.setKeepAlive(true);
        this->session.setKeepAliveTimeout(Poco::Timespan(60, 0));
        BOOST_REQUIRE_EQUAL(this->request("GET", "/healthz"), 200);
    }

    /** @return the status of the complete response, or 0 if none arrived. */
    int request(const std::string &method, const std::string &path)
    {
        try {
            Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
            request.set("Authorization", "Bearer " + this->key);
            request.setContentLength(0);
            this->session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(this->session.receiveResponse(response), body);
            const bool isComplete = static_cast<std::streamsize>(body.size()) == response.getContentLength64();
            return isComplete ? response.getStatus() : 0;
        } catch (const Poco::Exception &) {
            return 0;
        }
    }

private:
    const std::string key; ///< API key of the client.
    Poco::Net::HTTPClientSession session;
};

} // namespace

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

BOOST_AUTO_TEST_CASE(request_taken_at_the_end_of_a_shutdown_is_not_cut)
{
    constexpr int Connections = 12;
    ProcessFleet fleet({.entries = 2});
    raiseRateLimits(fleet);
    const std::string path = "/v1/services/" + fleet.service + "/stock?request=";
    std::vector<std::unique_ptr<KeptConnection>> connections(Connections);
    for (auto &connection : connections) {
        connection = std::make_unique<KeptConnection>(fleet);
    }
    ChildProcess &entry = *fleet.processes.at("entry-0");
    entry.signal(SIGTERM);
    std::this_thread::sleep_for(2s);
    std::vector<std::unique_ptr<Poco::Net::StreamSocket>> unused;
    // Pauses in which the entry is idle, each followed by a request on a connection that was open before.
    for (int i = 0; i < Connections; ++i) {
        const std::string name = "e" + std::to_string(i);
        const int status = connections[i]->request("GET", path + name + "&delay_ms=300");
        const bool hasRun = countRequestsWithQuery(fleet.serviceAddresses, "request=" + name) > 0;
        BOOST_TEST(
            (status != 0 || !hasRun), "request " << i << " ran and its connection was closed without a response");
        if (status == 0) {
            break;
        }
        unused.push_back(std::make_unique<Poco::Net::StreamSocket>());
        try { // A new connection prolongs the time for which the entry goes on accepting others.
            unused.back()->connect(Poco::Net::SocketAddress(fleet.entryAddresses[0]));
        } catch (const Poco::Exception &) {
            break;
        }
        std::this_thread::sleep_for(110ms);
    }
    BOOST_TEST(entry.wait() == 0);
}

/** Clients that use an address for longer than the directory allows must neither prolong the shutdown nor be cut. */
BOOST_AUTO_TEST_CASE(shutdown_ends_while_clients_go_on_sending)
{
    constexpr int Clients = 3;
    ProcessFleet fleet({.entries = 2});
    raiseRateLimits(fleet);
    const std::string path = "/v1/services/" + fleet.service + "/stock?request=";
    std::atomic<bool> done = false;
    std::atomic<int> answered = 0;
    std::vector<std::thread> clients;
    clients.reserve(Clients);
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i]() {
            for (int number = 0; !done; ++number) {
                const std::string name = std::to_string(i) + "-" + std::to_string(number);
                answered += fleet.ask(0, "GET", path + name + "&delay_ms=300").status == 200 ? 1 : 0;
            }
        });
    }
    ChildProcess &entry = *fleet.processes.at("entry-0");
    entry.signal(SIGTERM);
    BOOST_TEST(entry.wait(30s) == 0);
    done = true;
    for (std::thread &client : clients) {
        client.join();
    }
    BOOST_TEST(ledgerOf(fleet.serviceAddresses[0]).size() == static_cast<std::size_t>(answered));
}
