/** @file evacuation_test.cpp  Evacuation of a data centre: three control members and two gateways as processes, with
 * fake endpoints in two data centres that record when requests arrive. */
#define BOOST_TEST_MODULE evacuation
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/SocketAddress.h>

#include "support/http_connection.h"
#include "support/platform_process.h"
#include "support/process_fleet.h"
#include "support/raw_server.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::size_t ControlCount = 3;
constexpr std::size_t GatewayCount = 2;
/** From the acknowledgement until no request may reach the data centre. The bound of the operators is 5 s; gateways in
 * touch hold the list before the acknowledgement, so that only requests on their way are left. */
constexpr auto Margin = 300ms;
constexpr auto MaxAcknowledgementTime = 1s; ///< Beyond this, each second is costly.
constexpr auto RequestInterval = 10ms; ///< Between two requests of a client.
constexpr std::size_t ClientsPerGateway = 6; ///< More than one endpoint takes, so that requests spread over all.
constexpr std::chrono::milliseconds ExecutionTime = 20ms;
constexpr std::chrono::milliseconds SlowExecutionTime =
    1s; ///< Time that the endpoints take for paths that end in /slow.
constexpr auto EvacuationBound = 5s; ///< The operators' bound, within which a disturbed deployment must keep.
constexpr unsigned Seeds = 3; ///< Schedules of disturbances that are played.
constexpr auto ObservationTime = 2s; ///< Longer than three reads of the platform's endpoint list.

/** An endpoint that records when requests arrive. */
class Endpoint
{
public:
    Endpoint()
        : server("127.0.0.1", [this](const std::string &head, const std::string & /*body*/) {
            return this->answer(head);
        })
    {
    }

    std::size_t arrivalsBetween(Clock::time_point start, Clock::time_point end)
    {
        const std::lock_guard lock(this->mutex);
        return static_cast<std::size_t>(
            std::count_if(this->arrivals.begin(), this->arrivals.end(), [start, end](Clock::time_point time) {
                return time >= start && time < end;
            }));
    }

private:
    std::string answer(const std::string &head)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->arrivals.push_back(Clock::now());
        }
        if (this->isBusy) {
            return "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        std::this_thread::sleep_for(head.find("/slow ") == std::string::npos ? ExecutionTime : SlowExecutionTime);
        return signedResponse(head, "ok");
    }

    std::mutex mutex; ///< Guards `arrivals`.
    std::vector<Clock::time_point> arrivals; ///< When requests arrived.

public:
    std::atomic<bool> isBusy = false; ///< Refuses requests.
    RawServer server; ///< Accepts the requests.
};

/** Endpoints 0 and 1 are in data centre north, 2 and 3 in south; endpoint 4 joins north when it is listed. */
class Deployment
{
public:
    static constexpr std::size_t North = 2; ///< Endpoints of north, without the one that joins.
    static constexpr std::size_t Joining = 4; ///< Endpoint that `isJoiningListed` lists.

    Deployment()
        : platform("127.0.0.1", [this](const std::string & /*head*/, const std::string & /*body*/) {
            const std::string list = this->endpointList();
            const std::string status = this->isPlatformDown ? "500 Down" : "200 OK";
            return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        })
    {
        const unsigned short rpcPort = Poco::Net::SocketAddress(reserveAddress(ipOf(1))).port();
        for (std::size_t i = 0; i < ControlCount; ++i) {
            this->operatorAddresses.push_back(reserveAddress(ipOf(1 + i)));
            this->add("deployment", 1 + i, R"("control":")" + this->operatorAddresses.back() + "\"", rpcPort);
        }
        for (std::size_t i = 0; i < GatewayCount; ++i) {
            this->clientAddresses.push_back(reserveAddress(ipOf(21 + i)));
            this->add("gateway", 21 + i, R"("front":")" + this->clientAddresses.back() + "\"", rpcPort);
        }
        this->processes.resize(this->instances.size());
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            this->start(i, true);
        }
        const std::string configuration =
            R"({"version":1,"routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,)"
            R"("targetLatencyMs":500,"service":"app","maxAttempts":2},{"name":"only","host":"h.example",)"
            R"("pathPrefix":"/only/","kind":"safe","timeoutMs":3000,"targetLatencyMs":100,"service":"only","maxAttempts":1}],)"
            R"("services":[{"name":"app"},{"name":"only"}],)"
            R"("tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":4000,"burst":4000}]})";
        BOOST_REQUIRE(waitUntil([&]() {
            return this->operatorCall("/-/config/put", configuration).status == 200;
        }));
        this->waitUntilServed();
    }
    ~Deployment() = default;
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    void waitUntilServed()
    {
        for (std::size_t i = 0; i < GatewayCount; ++i) {
            BOOST_REQUIRE(waitUntil([&]() {
                return this->call(i, "/safe/x").status == 200;
            }));
        }
    }

    void start(std::size_t process, bool isBootstrap = false)
    {
        this->instances[process].isBootstrap = isBootstrap;
        this->processes[process] = startInstance(this->instances[process], this->folder.path);
    }
    void kill(std::size_t process)
    {
        this->processes[process]->signal(SIGKILL);
        this->processes[process]->wait();
    }

    HttpAnswer call(std::size_t gateway, const std::string &path)
    {
        const std::string id = "r" + std::to_string(this->lastId++);
        return http(this->clientAddresses[gateway], "GET", path, "",
            {{"Host", "h.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}, {"Authorization", "Bearer key"}});
    }

    /** Sends an operator's call to one member after another and follows redirects. @return the first answer that is
     * neither a redirect nor 503; the last one if there is none. */
    HttpAnswer operatorCall(const std::string &path, const std::string &body = "")
    {
        HttpAnswer answer;
        for (std::string address : this->operatorAddresses) {
            for (int redirects = 0; redirects < 3; ++redirects) {
                answer = http(address, "POST", path, body);
                if (answer.status != 307) {
                    break;
                }
                const std::string location = answer.headers["Location"].substr(std::string("http://").size());
                address = location.substr(0, location.find('/'));
            }
            if (answer.status != 0 && answer.status != 307 && answer.status != 503) {
                break;
            }
        }
        return answer;
    }

    /** Repeats an operator's call until it is acknowledged. @return when that was. */
    Clock::time_point change(const std::string &action)
    {
        BOOST_REQUIRE(waitUntil([&]() {
            return this->operatorCall("/-/evacuations/" + action).status == 200;
        }));
        return Clock::now();
    }

    /** Index of the control member that leads. */
    std::size_t leader()
    {
        std::optional<std::size_t> found;
        BOOST_REQUIRE(waitUntil([&]() {
            for (std::size_t i = 0; i < ControlCount; ++i) {
                if (this->processes[i]->isRunning()
                    && http(this->operatorAddresses[i], "GET", "/-/config/get").status == 200) {
                    found = i;
                }
            }
            return found.has_value();
        }));
        return *found;
    }

    std::size_t arrivalsInNorth(Clock::time_point start, Clock::time_point end = Clock::time_point::max())
    {
        return this->endpoints[0].arrivalsBetween(start, end) + this->endpoints[1].arrivalsBetween(start, end)
            + this->endpoints[Joining].arrivalsBetween(start, end);
    }

    TemporaryFolder folder; ///< Settings, logs and data.
    std::deque<Endpoint> endpoints{Joining + 1}; ///< All of service `app`; the first one also of `only`.
    std::atomic<bool> isJoiningListed = false; ///< The list has the endpoint `Joining`.
    std::atomic<bool> isPlatformDown = false; ///< The endpoint list can't be read.
    std::atomic<unsigned> lastId = 0; ///< Makes request ids unique.
    RawServer platform; ///< Serves the endpoint list.
    std::vector<PlatformInstance> instances; ///< Control members, then gateways.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< In the order of `instances`.
    std::vector<std::string> operatorAddresses; ///< Of the control members.
    std::vector<std::string> clientAddresses; ///< Of the gateways.

private:
    static std::string ipOf(std::size_t host)
    {
        return "127.0.30." + std::to_string(host);
    }
    void add(const std::string &program, std::size_t host, const std::string &listen, unsigned short rpcPort)
    {
        PlatformInstance instance;
        instance.program = program;
        instance.name = program + "-" + std::to_string(host);
        instance.ip = ipOf(host);
        instance.listen = listen;
        instance.rpcPort = rpcPort;
        instance.seeds = {ipOf(1) + ":1", ipOf(2) + ":1", ipOf(3) + ":1"};
        instance.platformAddress = this->platform.address;
        instance.toleratedFailures = 1;
        this->instances.push_back(instance);
    }
    std::string endpointList()
    {
        std::string entries;
        const auto add = [&entries](const std::string &id, const std::string &service, const Endpoint &endpoint,
                             const std::string &zone) {
            entries += (entries.empty() ? R"({"id":")" : R"(,{"id":")") + id + R"(","service":")" + service
                + R"(","addr":")" + endpoint.server.address + R"(","zone":")" + zone
                + R"(","version":"v1","slots":8,"state":"ready"})";
        };
        for (std::size_t i = 0; i < Joining; ++i) {
            add("i-" + std::to_string(i), "app", this->endpoints[i], i < North ? "north" : "south");
        }
        if (this->isJoiningListed) {
            add("i-new", "app", this->endpoints[Joining], "north");
        }
        add("o-0", "only", this->endpoints[0], "north");
        return R"({"instances":[)" + entries + R"(],"nextToken":null})";
    }
};

/** Clients that send requests to all gateways without a pause while this exists. */
class Load
{
public:
    explicit Load(Deployment &deployment)
    {
        for (std::size_t client = 0; client < ClientsPerGateway * GatewayCount; ++client) {
            this->clients.emplace_back([this, &deployment, client](const std::stop_token &stop) {
                while (!stop.stop_requested()) {
                    const int status = deployment.call(client % GatewayCount, "/safe/x").status;
                    ++this->sent;
                    this->served += status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(RequestInterval);
                }
            });
        }
    }

    std::atomic<unsigned> sent = 0; ///< Requests that have been answered or have failed.
    std::atomic<unsigned> served = 0; ///< Requests with status 200.

private:
    std::vector<std::jthread> clients; ///< Declared last, so that they end first.
};

/** Kills or pauses one control member or gateway after the other while this exists; which ones and for how long follows
 * from the seed. */
class Disturbances
{
public:
    Disturbances(Deployment &deployment, unsigned seed)
        : thread([&deployment, seed](const std::stop_token &stop) {
            std::mt19937 random(seed);
            const auto milliseconds = [&random](int min, int max) {
                return std::chrono::milliseconds(std::uniform_int_distribution<int>(min, max)(random));
            };
            while (!stop.stop_requested()) {
                const std::size_t target = random() % deployment.processes.size();
                const bool isKill = random() % 2 == 0;
                if (isKill) {
                    deployment.kill(target);
                    std::this_thread::sleep_for(milliseconds(50, 1500));
                    deployment.start(target);
                } else {
                    deployment.processes[target]->signal(SIGSTOP);
                    std::this_thread::sleep_for(milliseconds(50, 1500));
                    deployment.processes[target]->signal(SIGCONT);
                }
                std::this_thread::sleep_for(milliseconds(50, 800));
            }
        })
    {
    }

private:
    std::jthread thread; ///< Ends with each process running.
};

} // namespace

// Guards against gateways that don't take over the mark, against an acknowledgement before they have it, and against
// marks that get lost with a leader, with all members at once, or for an endpoint that joins.
BOOST_FIXTURE_TEST_CASE(no_request_reaches_an_evacuated_data_centre_until_its_evacuation_ends, Deployment)
{
    Load load(*this);
    BOOST_TEST(waitUntil([&]() {
        return this->arrivalsInNorth({}) > 10;
    }));
    const auto asked = Clock::now();
    const auto acknowledged = this->change("north/start");
    BOOST_TEST((acknowledged - asked < MaxAcknowledgementTime));
    BOOST_TEST_MESSAGE("acknowledged after "
        << std::chrono::duration_cast<std::chrono::milliseconds>(acknowledged - asked).count() << " ms");
    const auto start = acknowledged + Margin;
    std::this_thread::sleep_for(ObservationTime);
    BOOST_TEST(this->arrivalsInNorth(start) == 0U);
    BOOST_TEST(load.served == load.sent); // The other data centre serves all.
    const HttpAnswer refused = this->call(0, "/only/x");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.headers.contains("Retry-After"));

    const std::size_t first = this->leader();
    this->kill(first);
    this->isJoiningListed = true;
    BOOST_TEST(this->leader() != first);
    std::this_thread::sleep_for(ObservationTime);
    this->start(first);
    BOOST_TEST(this->arrivalsInNorth(start) == 0U);

    for (std::size_t i = 0; i < ControlCount; ++i) {
        this->kill(i);
    }
    std::this_thread::sleep_for(ObservationTime); // Gateways keep the mark while they are out of touch.
    for (std::size_t i = 0; i < ControlCount; ++i) {
        this->start(i);
    }
    static_cast<void>(this->leader());
    this->kill(ControlCount); // A gateway that knows of nothing.
    this->start(ControlCount);
    this->waitUntilServed();
    std::this_thread::sleep_for(ObservationTime);
    BOOST_TEST(this->arrivalsInNorth(start) == 0U);
    BOOST_TEST(this->call(0, "/only/x").status == 503);

    const auto ended = this->change("north/end");
    BOOST_TEST(this->arrivalsInNorth(start, ended - MaxAcknowledgementTime) == 0U);
    BOOST_TEST(waitUntil(
        [&]() {
            return this->endpoints[0].arrivalsBetween(ended, Clock::time_point::max()) > 0
                && this->endpoints[Joining].arrivalsBetween(ended, Clock::time_point::max()) > 0;
        },
        3s));
    BOOST_TEST(this->call(0, "/only/x").status == 200);
}

// Guards against an answer of a member that doesn't lead or has no quorum, and against names that nothing has.
BOOST_FIXTURE_TEST_CASE(calls_are_redirected_refused_and_idempotent_as_documented, Deployment)
{
    const std::size_t leader = this->leader();
    for (std::size_t i = 0; i < ControlCount; ++i) {
        if (i != leader) {
            HttpAnswer answer;
            BOOST_TEST(waitUntil([&]() { // Until it knows the operator address of the leader, it answers 503.
                answer = http(this->operatorAddresses[i], "POST", "/-/evacuations/north/start");
                return answer.status == 307;
            }));
            BOOST_TEST(answer.headers.at("Location")
                == "http://" + this->operatorAddresses[leader] + "/-/evacuations/north/start");
        }
    }
    const auto atLeader = [&](const std::string &rest) {
        return http(this->operatorAddresses[leader], "POST", "/-/evacuations/" + rest).status;
    };
    BOOST_TEST(atLeader("west/start") == 404);
    BOOST_TEST(atLeader("west/end") == 404);
    BOOST_TEST(atLeader("north/other") == 404);
    BOOST_TEST(atLeader("north/end") == 200); // Not evacuated.
    BOOST_TEST(atLeader("north/start") == 200);
    BOOST_TEST(atLeader("north/start") == 200);
    BOOST_TEST(atLeader("z/start") == 200); // Named by instances only.
    BOOST_TEST(atLeader("z/end") == 200);
    BOOST_TEST(this->call(0, "/only/x").status == 503);
    BOOST_TEST(atLeader("north/end") == 200);
    BOOST_TEST(this->call(0, "/only/x").status == 200);
    for (std::size_t i = 0; i < ControlCount; ++i) {
        if (i != leader) {
            this->processes[i]->signal(SIGSTOP);
        }
    }
    const auto asked = Clock::now();
    BOOST_TEST(atLeader("north/start") == 503);
    BOOST_TEST((Clock::now() - asked < 2s));
    for (std::size_t i = 0; i < ControlCount; ++i) {
        this->processes[i]->signal(SIGCONT);
    }
}

// Guards against a retry that goes to the data centre, and against requests in flight that are cut.
BOOST_FIXTURE_TEST_CASE(requests_in_flight_end_there_and_retries_go_elsewhere, Deployment)
{
    std::atomic<unsigned> served = 0;
    constexpr unsigned SlowCount = 16; // Four at each endpoint.
    std::vector<std::jthread> clients;
    const auto begin = Clock::now();
    for (unsigned i = 0; i < SlowCount; ++i) {
        clients.emplace_back([this, &served]() {
            served += this->call(0, "/safe/slow").status == 200 ? 1 : 0;
        });
    }
    BOOST_TEST(waitUntil([&]() {
        return this->arrivalsInNorth(begin) > 0;
    }));
    const auto start = this->change("north/start") + Margin;
    clients.clear();
    BOOST_TEST(served == SlowCount);
    this->endpoints[2].isBusy = true;
    this->endpoints[3].isBusy = true;
    for (std::size_t i = 0; i < 20; ++i) {
        const HttpAnswer answer = this->call(i % GatewayCount, "/safe/x");
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.headers.contains("Retry-After"));
    }
    BOOST_TEST(this->arrivalsInNorth(start) == 0U);
}

// Guards against an evacuation that waits until a new leader can read the platform's list.
BOOST_FIXTURE_TEST_CASE(new_leader_evacuates_while_the_list_can_not_be_read, Deployment)
{
    this->isPlatformDown = true;
    const std::size_t first = this->leader();
    this->kill(first);
    BOOST_TEST(this->leader() != first);
    const auto asked = Clock::now();
    const auto acknowledged = this->change("north/start");
    BOOST_TEST((acknowledged - asked < 2 * MaxAcknowledgementTime));
    {
        Load load(*this);
        std::this_thread::sleep_for(ObservationTime);
        BOOST_TEST(load.sent > 0U);
    }
    BOOST_TEST(this->arrivalsInNorth(acknowledged + Margin) == 0U);
    static_cast<void>(this->change("north/end"));
    BOOST_TEST(waitUntil([this]() {
        return this->call(0, "/only/x").status == 200;
    }));
}

// Guards against an evacuation that is lost, or reaches a gateway late, in an order of faults that no other case has.
BOOST_FIXTURE_TEST_CASE(evacuation_keeps_its_bound_while_processes_fail, Deployment)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Load load(*this);
            const Disturbances disturbances(*this, seed);
            BOOST_TEST(waitUntil([&]() {
                return load.served > 100U;
            }));
            const auto start = this->change("north/start") + EvacuationBound;
            std::this_thread::sleep_until(start + ObservationTime);
            const auto end = Clock::now();
            BOOST_TEST(this->arrivalsInNorth(start, end) == 0U);
            static_cast<void>(this->change("north/end"));
            BOOST_TEST(waitUntil([&]() {
                return this->arrivalsInNorth(end) > 0;
            }));
        }
    }
}

// Guards against an acknowledgement before the change is on the disks of a majority.
BOOST_FIXTURE_TEST_CASE(acknowledged_evacuation_survives_the_death_of_all_processes, Deployment)
{
    static_cast<void>(this->change("north/start"));
    for (const std::unique_ptr<ChildProcess> &process : this->processes) {
        process->signal(SIGKILL);
    }
    const auto start = Clock::now() + Margin;
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
        this->kill(i);
        this->start(i);
    }
    this->waitUntilServed();
    {
        const Load load(*this);
        std::this_thread::sleep_for(ObservationTime);
    }
    BOOST_TEST(this->arrivalsInNorth(start) == 0U);
    BOOST_TEST(this->call(0, "/only/x").status == 503);
}
