/** @file resumed_turn_test.cpp  Turns whose streams break off and are resumed by their clients: the turns that follow
 * run with exactly what the client sent and received, or the resumption is refused before it runs. */
#define BOOST_TEST_MODULE resumed_turn
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "support/http_connection.h"
#include "support/small_deployment.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr int Network = 47; ///< Third number of the loopback addresses.
constexpr std::size_t GatewayCount = 3;
constexpr std::size_t HistoryCount = 3;
constexpr unsigned EventCount = 6; ///< Events of each stream.
constexpr unsigned EventTokens = 10; ///< Tokens of each event.
constexpr unsigned TurnTokens = EventCount * EventTokens;
constexpr auto RefusalTime = 700ms; ///< A resumption that can't be served is refused within this time.

/** Runs turns, with events that name the request which they answer. The path says when a stream breaks off. */
class Endpoints
{
public:
    Endpoints()
        : servers{RawServer("127.0.0.1", this->handler()), RawServer("127.0.0.1", this->handler())}
    {
    }

    [[nodiscard]] std::vector<ListedEndpoint> listed() const
    {
        return {{"i-1", "app", this->servers[0].address}, {"i-2", "app", this->servers[1].address}};
    }
    /** Body with which the request ran; empty if it didn't run. */
    std::optional<std::string> bodyOf(const std::string &request)
    {
        const std::lock_guard lock(this->mutex);
        const auto run = this->bodies.find(request);
        return run == this->bodies.end() ? std::nullopt : std::optional(run->second);
    }

private:
    RawServer::Handler handler()
    {
        return [this](const std::string &head, const std::string &body) {
            return this->answer(head, body);
        };
    }

    std::string answer(const std::string &head, const std::string &body)
    {
        const std::string id = fieldOf(head, "X-Request-Id");
        {
            const std::lock_guard lock(this->mutex);
            this->bodies[id] = body;
        }
        const std::string target = head.substr(0, head.find('\r'));
        const auto hasWord = [&target](const std::string &word) {
            return target.find("/" + word) != std::string::npos;
        };
        const std::string lastEventId = fieldOf(head, "Last-Event-Id");
        const unsigned first = lastEventId.empty() ? 1 : static_cast<unsigned>(std::stoul(lastEventId)) + 1;
        std::string events;
        std::string sent; // The part before the stream breaks off.
        for (unsigned i = first; i <= EventCount; ++i) {
            events += "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + " of " + id + "\n";
            events += hasWord("lines") ? "data: and more\n\n" : "\n";
            events += hasWord("slow") ? std::string(PauseMark) : std::string();
            const bool isBreak = (hasWord("each") && i == first + 1) || (hasWord("first") && i == 2)
                || (hasWord("again") && first > 1 && i == first + 1) || (hasWord("last") && first == 1);
            sent = isBreak ? events : sent;
        }
        if (hasWord("void") && first > 1 && first <= EventCount) { // Fails before its first event, without a sign.
            return withoutLength(signedResponse(head, ""));
        }
        const bool lacksEnd = hasWord("last") && first == 1;
        const std::string response = signedResponse(head, events + (lacksEnd ? ": end\n\n" : ""));
        const std::size_t rest = sent.empty() ? 0 : response.size() - response.find(events) - sent.size();
        return rest == 0 ? response : truncateAndClose(response, rest);
    }

    std::mutex mutex; ///< Guards `bodies`.
    std::map<std::string, std::string> bodies; ///< By request id.

public:
    std::array<RawServer, 2> servers; ///< Declared last, as their threads use the rest.
};

/** What a client knows of a turn. */
struct Turn
{
    std::string path; ///< Selects the route and how streams break off.
    std::string input; ///< Request body.
    std::string previous = {}; ///< Request id of the turn before.
    unsigned budget = 0; ///< Tokens of its program; 0 if it has no budget.
    std::string first = {}; ///< Request that brought the first event.
    std::string request = {}; ///< Request that was sent last.
    std::vector<std::string> events = {}; ///< Data of the events received.
    bool isWhole = false; ///< The last response was complete.

    [[nodiscard]] std::string output() const
    {
        std::string output;
        for (const std::string &event : this->events) {
            output += event + "\n";
        }
        return output;
    }
    void addEvents(const std::string &body)
    {
        std::size_t at = 0;
        for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
            const std::string event = body.substr(at, end - at);
            at = end + 2;
            std::string data;
            for (std::size_t line = event.find("data: "); line != std::string::npos;
                 line = event.find("data: ", line)) {
                line += 6;
                data += (data.empty() ? "" : "\n") + event.substr(line, event.find('\n', line) - line);
            }
            this->events.push_back(data);
        }
    }
};

std::string configuration()
{
    const auto route = [](const std::string &name, bool isResumable) {
        return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name
            + R"(/","kind":"stream","timeoutMs":4000,"targetLatencyMs":100,"service":"app","maxAttempts":1,"retain":true,"retentionS":60,"resumable":)"
            + (isResumable ? "true" : "false") + "}";
    };
    return R"({"version":1,"routes":[)" + route("keep", true) + "," + route("once", false)
        + R"(],"services":[{"name":"app","engine":{"stride":10}}],"tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":2000,"burst":2000},)"
        + R"({"name":"print","apiKeys":["other key"],"ratePerS":2000,"burst":2000}]})";
}

struct Fixture
{
    Fixture()
    {
        this->deployment.setEndpoints(this->endpoints.listed());
        for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
            BOOST_REQUIRE(waitUntil([&]() {
                Turn turn{.path = "/keep/whole", .input = "x"};
                this->send(turn, gateway);
                return turn.isWhole;
            }));
        }
        BOOST_REQUIRE(waitUntil([&]() { // All history members know each other by then.
            Turn turn{.path = "/keep/first", .input = "x"};
            this->send(turn, 0);
            this->send(turn, 1);
            return turn.isWhole;
        }));
    }

    ClientRequest requestOf(Turn &turn, const std::string &key = "key")
    {
        turn.request = "r" + std::to_string(++this->ids);
        ClientRequest request{.path = turn.path, .id = turn.request, .body = turn.input, .key = key};
        if (!turn.previous.empty()) {
            request.fields.emplace_back("X-Previous-Turn", turn.previous);
        }
        if (turn.budget != 0) {
            request.fields.emplace_back("X-Program-Id", "p" + std::to_string(turn.budget));
            request.fields.emplace_back("X-Token-Budget", std::to_string(turn.budget));
            request.fields.emplace_back("X-Token-Count", "5," + std::to_string(TurnTokens));
        }
        if (!turn.events.empty()) {
            request.fields.emplace_back("Last-Event-Id", std::to_string(turn.events.size()));
            request.fields.emplace_back("Resumes", turn.first);
        }
        return request;
    }

    /** Begins the turn, or goes on after its last event. @return the response. */
    Response send(Turn &turn, std::size_t gateway)
    {
        const ClientRequest request = this->requestOf(turn);
        Response response = this->deployment.send(gateway, request);
        if (response.status == 200) {
            turn.first = turn.events.empty() ? turn.request : turn.first;
            turn.addEvents(response.body);
            turn.isWhole = response.complete;
        }
        return response;
    }

    /** Checks that several turns can continue the turn at once, with what its client sent and received. */
    void checkNext(const Turn &turn)
    {
        BOOST_TEST(turn.isWhole);
        BOOST_TEST(turn.events.size() == EventCount);
        std::vector<ClientRequest> requests;
        std::vector<std::future<Response>> responses;
        for (std::size_t i = 0; i < 2 * GatewayCount; ++i) {
            Turn next{.path = "/keep/whole", .input = "then", .previous = turn.request};
            requests.push_back(this->requestOf(next));
            responses.push_back(std::async(std::launch::async, [this, i, request = requests.back()]() {
                return this->deployment.send(i % GatewayCount, request);
            }));
        }
        for (std::size_t i = 0; i < requests.size(); ++i) {
            BOOST_TEST(responses[i].get().status == 200);
            BOOST_TEST(
                this->endpoints.bodyOf(requests[i].id).value_or("not run") == turn.input + turn.output() + "then");
        }
    }

    /** Checks that @p request is refused at once and didn't run. */
    void checkRefused(std::size_t gateway, const ClientRequest &request)
    {
        const auto start = std::chrono::steady_clock::now();
        const Response response = this->deployment.send(gateway, request);
        BOOST_TEST(response.status == 503);
        BOOST_TEST((std::chrono::steady_clock::now() - start < RefusalTime));
        BOOST_TEST(!this->endpoints.bodyOf(request.id).has_value());
    }

    void kill(std::size_t process)
    {
        this->deployment.processes[process]->signal(SIGKILL);
        this->deployment.processes[process]->wait();
    }

    /** Begins the turn at gateway 0 and reads its stream up to event @p count, with the connection left open. */
    void readUpTo(Turn &turn, unsigned count, HttpConnection &connection)
    {
        const ClientRequest request = this->requestOf(turn);
        std::string bytes = "POST " + request.path + " HTTP/1.1\r\nHost: " + SmallDeployment::Host
            + "\r\nX-Request-Id: " + request.id + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key\r\n"
            + "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        for (const auto &[name, value] : request.fields) {
            bytes.append(name).append(": ").append(value).append("\r\n");
        }
        bytes += "\r\n" + request.body;
        const Response response = connection.exchange(bytes, 4s, [count](const Response &part) {
            return part.body.find("id: " + std::to_string(count) + "\n") != std::string::npos
                && part.body.ends_with("\n\n");
        });
        turn.first = turn.request;
        turn.addEvents(response.body);
        BOOST_REQUIRE(turn.events.size() >= count);
        turn.events.resize(count);
    }

    Endpoints endpoints; ///< Declared before `deployment`, whose processes use it.
    SmallDeployment deployment{Network, GatewayCount, configuration(), {}, HistoryCount};
    int ids = 0; ///< Number of request ids given out.
};

} // namespace

// A turn that is kept without the events that an earlier request brought.
BOOST_FIXTURE_TEST_CASE(turn_that_a_client_resumes_is_kept_with_its_first_events, Fixture)
{
    for (const std::size_t resumedAt : {std::size_t{0}, std::size_t{1}}) {
        Turn turn{.path = "/keep/first", .input = "one"};
        this->send(turn, 0);
        BOOST_TEST(!turn.isWhole);
        BOOST_TEST(turn.events.size() == 2U);
        this->send(turn, resumedAt);
        this->checkNext(turn);
    }
}

// Events that are lost between the parts of several requests.
BOOST_FIXTURE_TEST_CASE(turn_that_is_resumed_again_and_again_is_kept_with_all_events, Fixture)
{
    Turn turn{.path = "/keep/each/lines", .input = "one"};
    for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
        this->send(turn, gateway);
    }
    this->checkNext(turn);
}

// A turn that is kept with events of the first run which its client never got.
BOOST_FIXTURE_TEST_CASE(turn_is_kept_with_the_events_that_the_client_has_not_with_those_that_were_sent, Fixture)
{
    Turn turn{.path = "/keep/slow", .input = "one"};
    {
        HttpConnection connection(this->deployment.clientAddresses[0], 1s);
        this->readUpTo(turn, 3, connection);
        turn.events.resize(1);
        this->send(turn, 1); // The first gateway still receives.
    }
    this->checkNext(turn);
}

// Two runs of a turn that are joined because the first gateway writes on.
BOOST_FIXTURE_TEST_CASE(gateway_that_wakes_up_does_not_change_a_turn_that_went_on_elsewhere, Fixture)
{
    Turn turn{.path = "/keep/slow/again", .input = "one"};
    HttpConnection connection(this->deployment.clientAddresses[0], 1s);
    this->readUpTo(turn, 2, connection);
    ChildProcess &gateway = *this->deployment.processes[this->deployment.processOfGateway(0)];
    gateway.signal(SIGSTOP);
    this->send(turn, 1);
    gateway.signal(SIGCONT);
    std::this_thread::sleep_for(300ms);
    BOOST_TEST(turn.events.size() == 4U);
    this->send(turn, 2);
    this->checkNext(turn);
}

// A turn that lacks its first events because the gateway that brought them is gone.
BOOST_FIXTURE_TEST_CASE(turn_is_kept_whole_after_its_gateway_and_a_history_member_were_killed, Fixture)
{
    Turn turn{.path = "/keep/slow", .input = "one"};
    HttpConnection connection(this->deployment.clientAddresses[0], 1s);
    this->readUpTo(turn, 3, connection);
    this->kill(this->deployment.processOfGateway(0));
    this->kill(SmallDeployment::processOfHistory(0));
    BOOST_REQUIRE(waitUntil([&]() {
        return this->send(turn, 1).status == 200;
    }));
    this->deployment.start(this->deployment.processOfGateway(0));
    BOOST_REQUIRE(waitUntil([&]() {
        Turn other{.path = "/keep/whole", .input = "x"};
        this->send(other, 0);
        return other.isWhole;
    }));
    this->checkNext(turn);
}

// A resumption that runs although nobody holds the first events any more.
BOOST_FIXTURE_TEST_CASE(resumption_is_refused_after_all_history_members_were_restarted, Fixture)
{
    Turn turn{.path = "/keep/first", .input = "one"};
    this->send(turn, 0);
    for (std::size_t member = 0; member < HistoryCount; ++member) {
        this->kill(SmallDeployment::processOfHistory(member));
    }
    for (std::size_t member = 0; member < HistoryCount; ++member) {
        this->deployment.start(SmallDeployment::processOfHistory(member));
    }
    BOOST_REQUIRE(waitUntil([&]() {
        Turn other{.path = "/keep/whole", .input = "x"};
        this->send(other, 1);
        return other.isWhole;
    }));
    this->checkRefused(0, this->requestOf(turn));
    this->checkRefused(1, this->requestOf(turn));
    Turn again{.path = "/keep/whole", .input = "one"};
    this->send(again, 1);
    this->checkNext(again);
}

// A turn that is taken for whole although only its end was missing, or that loses its last event.
BOOST_FIXTURE_TEST_CASE(turn_whose_stream_breaks_after_its_last_event_is_kept_whole, Fixture)
{
    Turn turn{.path = "/keep/last", .input = "one"};
    this->send(turn, 0);
    BOOST_TEST(!turn.isWhole);
    BOOST_TEST(turn.events.size() == EventCount);
    this->send(turn, 1);
    this->checkNext(turn);
}

// A turn that is taken for whole because the endpoint that resumes it ends its response before any event.
BOOST_FIXTURE_TEST_CASE(resumption_without_an_event_is_not_whole_before_all_tokens, Fixture)
{
    Turn turn{.path = "/keep/first/void", .input = "one", .budget = 10 * TurnTokens};
    this->send(turn, 0);
    BOOST_TEST(turn.events.size() == 2U);
    this->send(turn, 1);
    BOOST_TEST(!turn.isWhole);
    BOOST_TEST(turn.events.size() == 2U);
    turn = {.path = "/keep/last/void", .input = "one", .budget = 10 * TurnTokens};
    this->send(turn, 0);
    BOOST_TEST(!turn.isWhole);
    this->send(turn, 1);
    this->checkNext(turn);
}

// A turn that is kept with the beginning of another one.
BOOST_FIXTURE_TEST_CASE(resumption_of_another_turn_or_without_its_name_is_refused, Fixture)
{
    Turn turn{.path = "/keep/first", .input = "one"};
    this->send(turn, 0);
    const Turn begun = turn;
    Turn other = begun;
    other.input = "two";
    this->checkRefused(1, this->requestOf(other));
    other = begun;
    other.previous = begun.request;
    this->checkRefused(1, this->requestOf(other));
    other = begun;
    other.first = "never";
    this->checkRefused(1, this->requestOf(other));
    ClientRequest request = this->requestOf(other = begun);
    std::erase_if(request.fields, [](const auto &field) {
        return field.first == "Resumes";
    });
    this->checkRefused(0, request);
    this->checkRefused(1, this->requestOf(other = begun, "other key"));
    other = begun;
    other.events.resize(4, "never sent"); // The client can't have these events.
    this->checkRefused(1, this->requestOf(other));
    this->send(turn, 1);
    this->checkNext(turn);
}

// Half a turn of a route whose streams aren't resumed.
BOOST_FIXTURE_TEST_CASE(resumption_on_a_route_that_keeps_turns_and_is_not_resumable_is_refused, Fixture)
{
    Turn turn{.path = "/once/first", .input = "one"};
    this->send(turn, 0);
    BOOST_TEST(turn.events.size() == 2U);
    this->checkRefused(0, this->requestOf(turn));
    this->checkRefused(1, this->requestOf(turn));
}

// A program that is refused although its budget holds the turn, as a killed gateway's claim stands beside the new one.
BOOST_FIXTURE_TEST_CASE(budget_counts_the_tokens_of_a_resumed_turn_once, Fixture)
{
    std::vector<Turn> turns;
    std::deque<HttpConnection> connections;
    for (const unsigned budget : {TurnTokens + EventTokens, 2 * TurnTokens}) {
        turns.push_back({.path = "/keep/slow", .input = "one", .budget = budget});
        connections.emplace_back(this->deployment.clientAddresses[0], 1s);
        this->readUpTo(turns.back(), EventCount / 2, connections.back());
    }
    this->kill(this->deployment.processOfGateway(0));
    for (Turn &turn : turns) {
        BOOST_TEST(this->send(turn, 1).status == 200);
        BOOST_TEST(turn.isWhole);
        const unsigned turnsLeft = turn.budget / TurnTokens - 1;
        for (unsigned i = 0; i <= turnsLeft; ++i) {
            Turn next{.path = "/keep/whole", .input = "then", .previous = turn.request, .budget = turn.budget};
            BOOST_TEST(this->send(next, 2).status == (i < turnsLeft ? 200 : 402));
        }
    }
}
