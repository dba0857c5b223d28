/** @file late_response_test.cpp  Real processes: endpoints send a response to an earlier request once more where the
 * response to the next request on the connection is expected. */
#define BOOST_TEST_MODULE late_response
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "support/small_deployment.h"

using namespace Chestnuthook::Testing;

namespace
{

constexpr int Network = 21; ///< Third number of the loopback addresses.
constexpr unsigned RequestsAfter = 6; ///< Requests that follow on the connections of a late response.

/** A response that is sent late, in place of ID with the id of the earlier request. */
struct Late
{
    std::string name; ///< For messages.
    std::string bytes; ///< The response.
    bool hasId = true; ///< The response to the earlier request had an id as well.
};

std::ostream &operator<<(std::ostream &stream, const Late &late)
{
    return stream << late.name;
}

std::string rejection(const std::string &status, const std::string &fields, const std::string &body = "")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

const std::string Id = "X-Request-Id: ID\r\n";
const std::string NotExecuted = "X-Not-Executed: 1\r\n";
const std::vector<Late> LateResponses = {
    {"503", rejection("503 Full", Id + NotExecuted)},
    {"503 with a body", rejection("503 Full", Id + NotExecuted, "full")},
    {"429", rejection("429 Many", Id + NotExecuted + "Retry-After: 1\r\n")},
    {"400", rejection("400 Bad", Id + NotExecuted)},
    {"421", rejection("421 Misdirected", Id)},
    {"500", rejection("500 Error", Id + "X-Response-Signature: s\r\n", "failed")},
    {"200", rejection("200 OK", Id + "X-Response-Signature: s\r\n", "id: 1\ndata: of another\n\n")},
    {"400 without an id", rejection("400 Bad", NotExecuted), false},
    {"503 without an id", rejection("503 Full", NotExecuted), false},
    {"421 without an id", rejection("421 Misdirected", ""), false},
    {"200 without an id", rejection("200 OK", "X-Response-Signature: s\r\n", "id: 1\ndata: of another\n\n")},
    {"twice", rejection("503 Full", Id + NotExecuted) + rejection("503 Full", Id + NotExecuted)},
};
const std::vector<std::string> Routes = {"unsafe", "once", "resume", "safe"};

/** What the endpoints of a test have run. */
struct RunLog
{
    std::mutex mutex; ///< Guards the other members.
    std::map<std::string, unsigned> runs; ///< Number of runs by request id.
    unsigned lateSent = 0; ///< Number of late responses.
};

/** Rejects requests to `/ROUTE/full` and runs others, after the late response where one is due on the connection. */
class Endpoint
{
public:
    Endpoint(RunLog &log, Late late)
        : log(log)
        , late(std::move(late))
        , server("127.0.0.1",
              [this](Poco::Net::StreamSocket &connection, const std::string &head, const std::string & /*body*/) {
                  return this->answer(connection, head);
              })
    {
    }

private:
    bool answer(Poco::Net::StreamSocket &connection, const std::string &head)
    {
        const std::string id = fieldOf(head, "X-Request-Id");
        const std::string peer = connection.peerAddress().toString();
        const auto send = [&connection](const std::string &bytes) {
            connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        };
        if (head.find("/full") < head.find(" HTTP")) {
            const std::lock_guard lock(this->log.mutex);
            this->rejected[peer] = id;
            send(rejection("503 Full", (this->late.hasId ? "X-Request-Id: " + id + "\r\n" : "") + NotExecuted));
            return true;
        }
        std::string bytes;
        {
            const std::lock_guard lock(this->log.mutex);
            ++this->log.runs[id];
            if (const auto earlier = this->rejected.extract(peer); !earlier.empty()) {
                ++this->log.lateSent;
                bytes = this->late.bytes;
                for (std::size_t at = bytes.find(": ID"); at != std::string::npos; at = bytes.find(": ID")) {
                    bytes.replace(at + 2, 2, earlier.mapped());
                }
            }
        }
        send(bytes + signedResponse(head, "id: 1\ndata: " + id + "\n\n", "Content-Type: text/event-stream\r\n"));
        return true;
    }

    RunLog &log; ///< Must outlive this object.
    Late late; ///< What is sent late.
    std::map<std::string, std::string> rejected; ///< Id of the last rejected request by address of the connection.

public:
    RawServer server; ///< Accepts the requests.
};

std::string configuration()
{
    const auto route = [](const std::string &name, const std::string &rest) {
        return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name
            + R"(/","timeoutMs":1000,"targetLatencyMs":100,"service":"app",)" + rest + "}";
    };
    return R"({"version":1,"routes":[)" + route("unsafe", R"("kind":"unsafe","maxAttempts":1)") + ","
        + route("once", R"("kind":"stream","maxAttempts":1)") + ","
        + route("resume", R"("kind":"stream","maxAttempts":3,"resumable":true)") + ","
        + route("safe", R"("kind":"safe","maxAttempts":3)") + R"(],"services":[{"name":"app"}],)"
        + R"("tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":1000,"burst":1000}]})";
}

/** All cases use the same processes, with new endpoints for each. */
struct Fixture
{
    Fixture() = default;

    SmallDeployment deployment{Network, 1, configuration()}; ///< Its only gateway serves when the test starts.
    int endpointIds = 0; ///< Number of endpoint ids given out.
    int requestIds = 0; ///< Number of request ids given out.
};

Fixture &fixture()
{
    static Fixture instance;
    return instance;
}

/** Sends requests of @p route on connections on which @p late is due, and checks what became of each. */
void checkRoute(const std::string &route, const Late &late)
{
    Fixture &shared = fixture();
    RunLog log;
    std::array<std::unique_ptr<Endpoint>, 2> endpoints;
    std::vector<ListedEndpoint> list;
    for (auto &endpoint : endpoints) {
        endpoint = std::make_unique<Endpoint>(log, late);
        list.push_back({"i-" + std::to_string(++shared.endpointIds), "app", endpoint->server.address});
    }
    const auto newId = [&shared]() {
        return "r" + std::to_string(++shared.requestIds);
    };
    shared.deployment.setEndpoints(list);
    BOOST_REQUIRE(waitUntil([&]() {
        return shared.deployment.send(0, {"/" + route + "/ready", newId()}).status == 200;
    }));
    const Response full = shared.deployment.send(0, {"/" + route + "/full", newId()});
    BOOST_TEST(full.status == 503);
    for (unsigned i = 0; i < RequestsAfter; ++i) {
        const std::string id = newId();
        const Response response = shared.deployment.send(0, {"/" + route + "/run", id});
        const std::lock_guard lock(log.mutex);
        const unsigned runs = log.runs[id];
        if (route == "unsafe" || route == "once") {
            BOOST_TEST(runs <= 1U);
        }
        const std::array promises = {408, 421, 429, 503};
        const bool isPromise = std::ranges::find(promises, response.status) != promises.end();
        BOOST_TEST((!isPromise || runs == 0), route << " " << id << " ran and got " << response.status);
        if (response.status == 200 && response.complete) {
            BOOST_TEST(response.body.find("data: " + id + "\n") != std::string::npos, response.body);
        }
    }
    BOOST_TEST((log.lateSent > 0U) == late.hasId); // Otherwise the connections are not used again.
    shared.deployment.setEndpoints({});
}

} // namespace

/** Guards against a late copy of another request's response that decides what happens to the request in flight. */
BOOST_DATA_TEST_CASE(late_response_to_an_earlier_request_does_not_decide_the_next_one,
    boost::unit_test::data::make(Routes) * boost::unit_test::data::make(LateResponses), route, late)
{
    checkRoute(route, late);
}
