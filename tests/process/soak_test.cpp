/** @file soak_test.cpp  Randomized soak test: the platform's programs run under kills, pauses, network faults and
 * configuration changes, while clients check the guarantees of the service. A seed determines the schedule of faults.
 *
 * CHESTNUTHOOK_SOAK_SEEDS=first-last selects other seeds than the default ones; see docs/SOAK.md. */
#define BOOST_TEST_MODULE soak
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "support/faulty_link.h"
#include "support/platform_process.h"
#include "support/process_fleet.h"
#include "support/raw_server.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr auto LoadDuration = 6s; ///< Time during which clients send requests and faults start.
constexpr auto MaxFaultDuration = 1500ms;
constexpr auto RecoveryTimeout = 10s; ///< All requests must be served again within this time after the last fault.
constexpr auto ResponseTimeout = 4s; ///< Time to wait for a response; exceeds the deadline of each request.
constexpr auto ExecutionTime = 20ms; ///< Time that an endpoint takes to run a request.
constexpr std::size_t LostResponseInterval = 40; ///< One in this many responses is lost by the endpoint.
constexpr int ClientCount = 6;
constexpr int MaxFaults = 9;
constexpr unsigned TokensPerEvent = 10; ///< Tokens of each event, as configured.
constexpr unsigned MaxTurnTokens = 30; ///< Most tokens of a turn, as declared by the client.
constexpr unsigned ProgramTokenBudget = 120; ///< Token budget of each program.

enum class FaultKind : std::uint8_t { Kill, Pause, Terminate, KillAll, Link, Configure };

constexpr std::array FaultNames = {"kill", "pause", "terminate", "kill all", "link", "configure"};
constexpr std::array LinkFaultNames = {"none", "delay", "stall", "hold responses", "reset", "reset on response"};

/** One entry of a schedule. */
struct Fault
{
    FaultKind kind = FaultKind::Kill;
    std::chrono::milliseconds at{0}; ///< Start, relative to the start of the load.
    std::chrono::milliseconds duration{0}; ///< Time until the fault ends.
    std::size_t target = 0; ///< Index of the process or link.
    LinkFault link = LinkFault::None; ///< Fault of the link.
};

using Random = boost::random::mt19937;

int randomInt(Random &random, int min, int max)
{
    return boost::random::uniform_int_distribution<int>(min, max)(random);
}

std::vector<Fault> generateSchedule(unsigned seed, std::size_t processes, std::size_t links)
{
    // Links are chosen as often as all process faults together, since they have more kinds of faults.
    constexpr std::array Kinds = {FaultKind::Kill, FaultKind::Pause, FaultKind::Terminate, FaultKind::KillAll,
        FaultKind::Link, FaultKind::Link, FaultKind::Link, FaultKind::Link, FaultKind::Configure};
    Random random(seed);
    std::vector<Fault> schedule(static_cast<std::size_t>(randomInt(random, 2, MaxFaults)));
    for (Fault &fault : schedule) {
        fault.kind = Kinds[static_cast<std::size_t>(randomInt(random, 0, static_cast<int>(Kinds.size()) - 1))];
        fault.at = std::chrono::milliseconds(randomInt(random, 200, 5000));
        fault.duration = std::chrono::milliseconds(randomInt(random, 50, static_cast<int>(MaxFaultDuration.count())));
        const std::size_t targets = fault.kind == FaultKind::Link ? links : processes;
        fault.target = static_cast<std::size_t>(randomInt(random, 0, static_cast<int>(targets) - 1));
        fault.link = static_cast<LinkFault>(randomInt(random, 1, static_cast<int>(LinkFault::ResetOnResponse)));
    }
    return schedule;
}

/** A fake endpoint that records the requests that it ran and echoes their ids. */
class SoakEndpoint
{
public:
    SoakEndpoint()
        : server("127.0.0.1",
            [this](const std::string &head, const std::string &body) {
                return this->answer(head, body);
            })
        , link(this->server.address)
    {
    }

    /** Bodies of all runs of the request @p id. */
    std::vector<std::string> runsOf(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        return this->runs[id];
    }

private:
    std::string answer(const std::string &head, const std::string &body)
    {
        const std::string id = fieldOf(head, "X-Request-Id");
        {
            const std::lock_guard lock(this->mutex);
            this->runs[id].push_back(body);
        }
        std::this_thread::sleep_for(ExecutionTime);
        if (std::hash<std::string>()(id) % LostResponseInterval == 0) {
            return std::string(CloseMark); // The request has run, but the response is lost.
        }
        if (head.find(" /turn/") == std::string::npos) {
            return signedResponse(head, "ran " + id);
        }
        const std::string events = "id: 1\ndata: a " + id + "\n\nid: 2\ndata: b " + id + "\n\n";
        return signedResponse(head, events, "Content-Type: text/event-stream\r\n");
    }

    std::mutex mutex; ///< Guards `runs`.
    std::map<std::string, std::vector<std::string>> runs; ///< Request bodies of all runs, by request id.
    RawServer server; ///< Accepts the requests.

public:
    FaultyLink link; ///< Proxy through which gateways reach the endpoint.
};

/** Two gateways, three control and three history members, with fake endpoints and a fake endpoint list. */
class SoakDeployment
{
public:
    SoakDeployment()
        : platform("127.0.0.1", [this](const std::string & /*head*/, const std::string & /*body*/) {
            std::string entries;
            for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
                entries += (i == 0 ? "" : ",") + (R"({"id":"i-)" + std::to_string(i) + R"(","service":"app","addr":")")
                    + this->endpoints[i].link.address + R"(","zone":"z","slots":8,"state":"ready"})";
            }
            const std::string list = R"({"instances":[)" + entries + R"(],"nextToken":null})";
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        })
    {
        const std::string first = reserveAddress("127.0.1.1");
        const auto rpcPort = static_cast<unsigned short>(std::stoul(first.substr(first.find(':') + 1)));
        const auto add = [&](const std::string &program, int host, const std::string &listen) {
            PlatformInstance instance;
            instance.program = program;
            instance.name = program + "-" + std::to_string(host);
            instance.ip = "127.0.1." + std::to_string(host);
            instance.listen = listen;
            instance.rpcPort = rpcPort;
            instance.seeds = {"127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1"};
            instance.platformAddress = this->platform.address;
            instance.toleratedFailures = 1;
            if (host != 1) {
                reserveAddress(instance.ip, rpcPort);
            }
            this->instances.push_back(instance);
        };
        for (int host = 1; host <= 3; ++host) {
            this->operatorAddresses.push_back(reserveAddress("127.0.1." + std::to_string(host)));
            add("deployment", host, R"("control":")" + this->operatorAddresses.back() + "\"");
        }
        for (int host = 11; host <= 13; ++host) {
            add("history", host, "");
        }
        for (int host = 21; host <= 22; ++host) {
            const std::string ip = "127.0.1." + std::to_string(host);
            this->clientAddresses.push_back(reserveAddress(ip));
            add("gateway", host,
                R"("front":")" + this->clientAddresses.back() + R"(","ready":")" + reserveAddress(ip) + "\"");
            this->clientLinks.emplace_back(this->clientAddresses.back());
        }
        this->processes.resize(this->instances.size());
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            this->start(i, true);
        }
    }

    void start(std::size_t process, bool isBootstrap = false)
    {
        this->instances[process].isBootstrap = isBootstrap;
        this->processes[process] = startInstance(this->instances[process], this->folder.path);
    }

    void startEnded()
    {
        for (std::size_t i = 0; i < this->processes.size(); ++i) {
            if (!this->processes[i]->isRunning()) {
                this->start(i);
            }
        }
    }

    /** Sends configuration @p version, in which @p key is a valid API key. @return whether it was acknowledged. */
    bool putConfiguration(unsigned version, const std::string &key) const
    {
        const auto route = [](const std::string &name, const std::string &rest) {
            return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name + R"(/","kind":)" + rest
                + R"(,"timeoutMs":2000,"targetLatencyMs":100,"service":"app"})";
        };
        const std::string document = R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
            + route("safe", R"("safe","maxAttempts":2)") + "," + route("unsafe", R"("unsafe","maxAttempts":2)") + ","
            + route("turn", R"("stream","maxAttempts":1,"retain":true,"retentionS":60)")
            + R"(],"services":[{"name":"app","engine":{"stride":10}}],"tenants":[{"name":"glue","apiKeys":["always",")"
            + key + R"("],"ratePerS":2000,"burst":2000}]})";
        for (const std::string &address : this->operatorAddresses) {
            try {
                const std::string bytes = sendRawRequest(address,
                    "POST /-/config/put HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                        + std::to_string(document.size()) + "\r\n\r\n" + document,
                    1s);
                if (bytes.starts_with("HTTP/1.1 200")) {
                    return true;
                }
            } catch (const Poco::Exception &) {
                // This member is down; try the next one.
            }
        }
        return false;
    }

    TemporaryFolder folder; ///< Settings, logs and data; kept if the test fails.
    std::deque<SoakEndpoint> endpoints{3}; ///< All belong to one service.
    RawServer platform; ///< Serves the platform's endpoint list.
    std::vector<PlatformInstance> instances; ///< Settings of each process.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< In the order of `instances`.
    std::vector<std::string> operatorAddresses; ///< Operator addresses of the control members.
    std::vector<std::string> clientAddresses; ///< Client addresses of the gateways.
    std::deque<FaultyLink> clientLinks; ///< Proxies from the clients to each of `clientAddresses`.
};

/** Runs the schedule and the clients of one seed, and collects violated guarantees. */
class Soak
{
public:
    explicit Soak(unsigned seed)
        : seed(seed)
    {
        this->deployment.folder.isKept = true; // Reset if no guarantee was violated.
        BOOST_REQUIRE_MESSAGE(waitUntil([this]() {
            return this->deployment.putConfiguration(1, "key-1");
        }),
            "no configuration is acknowledged; logs in " + this->folder());
        this->waitForService();
    }

    void run()
    {
        const auto schedule = generateSchedule(this->seed, this->deployment.processes.size(),
            this->deployment.endpoints.size() + this->deployment.clientLinks.size());
        for (const Fault &fault : schedule) {
            std::cout << "  " << fault.at.count() << " to " << (fault.at + fault.duration).count()
                      << " ms: " << FaultNames.at(static_cast<std::size_t>(fault.kind)) << ' ' << fault.target << ' '
                      << (fault.kind == FaultKind::Link ? LinkFaultNames.at(static_cast<std::size_t>(fault.link)) : "")
                      << '\n';
        }
        const Clock::time_point loadStart = Clock::now();
        std::vector<std::jthread> threads; // Joined even if a step throws.
        threads.reserve(ClientCount);
        for (int client = 0; client < ClientCount; ++client) {
            threads.emplace_back([this, client, loadStart]() {
                this->runClient(client, loadStart + LoadDuration);
            });
        }
        std::multimap<std::chrono::milliseconds, std::function<void()>> steps;
        for (const Fault &fault : schedule) {
            steps.emplace(fault.at, [this, &fault]() {
                this->injectFault(fault);
            });
            steps.emplace(fault.at + fault.duration, [this, &fault]() {
                this->endFault(fault);
            });
        }
        for (const auto &[at, step] : steps) {
            std::this_thread::sleep_until(loadStart + at);
            step();
        }
        for (std::jthread &thread : threads) {
            thread.join();
        }
        this->waitForService();
        this->checkGuarantees();
        this->deployment.folder.isKept = !this->violations.empty() || std::getenv("CHESTNUTHOOK_SOAK_KEEP") != nullptr;
    }

    /** Folder of the logs; deleted by the destructor if no guarantee was violated. */
    [[nodiscard]] const std::string &folder() const
    {
        return this->deployment.folder.path;
    }

    std::vector<std::string> violations; ///< Violated guarantees, each with its request.
    std::map<int, unsigned> statusCounts; ///< Number of responses by HTTP status; 0 for no response.

private:
    void recordViolation(const std::string &guarantee, const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        this->violations.push_back(guarantee + ", request " + id);
    }

    FaultyLink &linkOf(std::size_t target)
    {
        const std::size_t endpoints = this->deployment.endpoints.size();
        return target < endpoints ? this->deployment.endpoints[target].link
                                  : this->deployment.clientLinks[target - endpoints];
    }

    void injectFault(const Fault &fault)
    {
        auto &processes = this->deployment.processes;
        switch (fault.kind) {
        case FaultKind::Kill:
            processes[fault.target]->signal(SIGKILL);
            break;
        case FaultKind::Pause:
            processes[fault.target]->signal(SIGSTOP);
            break;
        case FaultKind::Terminate:
            processes[fault.target]->signal(SIGTERM);
            break;
        case FaultKind::KillAll:
            for (const auto &process : processes) {
                process->signal(SIGKILL);
            }
            break;
        case FaultKind::Link:
            this->linkOf(fault.target).setFault(fault.link);
            break;
        case FaultKind::Configure:
            ++this->version;
            if (this->deployment.putConfiguration(this->version, "key-" + std::to_string(this->version))) {
                this->acknowledged = this->version;
            }
            break;
        }
    }

    void endFault(const Fault &fault)
    {
        if (fault.kind == FaultKind::Link) {
            this->linkOf(fault.target).setFault(LinkFault::None);
        }
        if (fault.kind == FaultKind::Pause) {
            this->deployment.processes[fault.target]->signal(SIGCONT);
        }
        this->deployment.startEnded(); // Including processes that other faults ended meanwhile.
    }

    /** Waits until each gateway serves each kind of request. */
    void waitForService()
    {
        const Clock::time_point faultsEnded = Clock::now();
        for (std::size_t gateway = 0; gateway < this->deployment.clientAddresses.size(); ++gateway) {
            for (const char *path : {"/safe/x", "/turn/x"}) {
                const bool back = waitUntil(
                    [&]() {
                        this->deployment.startEnded();
                        return this->call(gateway, path, this->newId("back"), "always").status == 200;
                    },
                    std::max<std::chrono::milliseconds>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                            faultsEnded + RecoveryTimeout - Clock::now()),
                        1ms));
                if (!back) {
                    this->recordViolation(
                        "service recovers in time", std::string(path) + " at gateway " + std::to_string(gateway));
                }
            }
        }
    }

    std::string newId(const std::string &kind)
    {
        return kind + "-" + std::to_string(this->seed) + "-" + std::to_string(this->ids++);
    }

    RawResponse call(std::size_t gateway, const std::string &path, const std::string &id, const std::string &key,
        const std::string &fields = "", const std::string &body = "x")
    {
        const std::string request = "POST " + path
            + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        try {
            return parseRawResponse(
                sendRawRequest(this->deployment.clientLinks[gateway].address, request, ResponseTimeout));
        } catch (const Poco::Exception &) {
            std::this_thread::sleep_for(ExecutionTime); // Nothing is listening there at the moment.
            return {}; // No response; whether it ran is checked at the endpoints.
        }
    }

    void runClient(int client, Clock::time_point end)
    {
        Random random(this->seed * 100 + static_cast<unsigned>(client));
        while (Clock::now() < end) {
            const auto gateway = static_cast<std::size_t>(randomInt(random, 0, 1));
            // Few programs, since each makes many requests, and few safe requests, since they rarely reveal faults.
            const int choice = randomInt(random, 0, 9);
            if (choice < 2) {
                this->sendRequest(gateway, "safe");
            } else if (choice < 8) {
                this->sendRequest(gateway, "unsafe");
            } else {
                this->runProgram(random, end);
            }
        }
    }

    void sendRequest(std::size_t gateway, const std::string &kind)
    {
        const std::string id = this->newId(kind);
        const RawResponse response = this->call(gateway, "/" + kind + "/x", id, "always");
        this->recordCall(id, response, kind == "safe" ? 2 : 1);
        if (response.status == 200 && response.complete && response.body != "ran " + id) {
            this->recordViolation("a response is complete and belongs to its request", id);
        }
    }

    /** Sends a chain of turns. After a failed turn, the next one continues the last complete one. */
    void runProgram(Random &random, Clock::time_point end)
    {
        const std::string program = this->newId("program");
        std::string previous;
        std::string chain;
        unsigned deliveredTokens = 0;
        for (int turn = 0; turn < 8 && Clock::now() < end; ++turn) {
            const std::string id = this->newId("turn");
            const std::string input = "in " + id + ";";
            std::string fields = "X-Program-Id: " + program + "\r\nX-Token-Budget: "
                + std::to_string(ProgramTokenBudget) + "\r\nX-Token-Count: 5," + std::to_string(MaxTurnTokens) + "\r\n";
            fields += previous.empty() ? "" : "X-Previous-Turn: " + previous + "\r\n";
            const RawResponse response =
                this->call(static_cast<std::size_t>(randomInt(random, 0, 1)), "/turn/x", id, "always", fields, input);
            this->recordCall(id, response, 1, chain + input);
            const std::string first = "id: 1\ndata: a " + id + "\n\n";
            std::string whole = first;
            whole.append("id: 2\ndata: b ").append(id).append("\n\n");
            if (response.status == 200 && !whole.starts_with(response.body)) {
                this->recordViolation("events come in order and once", id);
            }
            if (!previous.empty() && (response.status == 404 || response.status == 410)) {
                this->recordViolation("a completed turn is kept", previous);
            }
            if (response.status == 200) {
                deliveredTokens += response.body.size() >= whole.size() ? 2 * TokensPerEvent
                    : response.body.size() >= first.size()              ? TokensPerEvent
                                                                        : 0;
            }
            if (deliveredTokens > ProgramTokenBudget + MaxTurnTokens) {
                this->recordViolation("a program gets at most its budget and one turn", id);
            }
            if (response.status == 200 && response.complete) {
                if (response.body != whole) {
                    this->recordViolation("a complete stream has all events", id);
                }
                previous = id;
                chain.append(input).append("a ").append(id).append("\nb ").append(id).append("\n");
            }
        }
    }

    /** Records a call, which `checkGuarantees` compares with the runs at the endpoints. */
    void recordCall(const std::string &id, const RawResponse &response, unsigned maxRuns, std::string body = {})
    {
        const std::lock_guard lock(this->mutex);
        const bool notRun = response.status == 402 || response.status == 429 || response.status == 503;
        this->calls.push_back({id, notRun ? 0 : maxRuns, std::move(body)});
        ++this->statusCounts[response.status];
    }

    void checkGuarantees()
    {
        for (const RecordedCall &call : this->calls) {
            std::size_t runs = 0;
            for (SoakEndpoint &endpoint : this->deployment.endpoints) {
                for (const std::string &body : endpoint.runsOf(call.id)) {
                    ++runs;
                    if (!call.body.empty() && body != call.body) {
                        this->recordViolation("a turn continues its previous turns", call.id);
                    }
                }
            }
            if (runs > call.maxRuns) {
                this->recordViolation(
                    call.maxRuns == 0 ? "a refused request has not run" : "a request runs at most as often as it may",
                    call.id);
            }
        }
        unsigned read = 0;
        static_cast<void>(waitUntil([&]() {
            for (const std::string &address : this->deployment.operatorAddresses) {
                const std::string body = http(address, "GET", "/-/config/get").body;
                const std::size_t at = body.find("\"version\":");
                read = at == std::string::npos
                    ? read
                    : std::max(read, static_cast<unsigned>(std::stoul(body.substr(at + 10))));
            }
            return read >= this->acknowledged;
        }));
        if (read < this->acknowledged) {
            this->recordViolation(
                "an acknowledged configuration is kept", "version " + std::to_string(this->acknowledged));
        }
        if (this->acknowledged > 1 && this->version == this->acknowledged) {
            for (std::size_t gateway = 0; gateway < this->deployment.clientAddresses.size(); ++gateway) {
                if (this->call(gateway, "/safe/x", this->newId("withdrawn"), "key-1").status != 401) {
                    this->recordViolation("a withdrawn key is refused", "gateway " + std::to_string(gateway));
                }
            }
        }
    }

    struct RecordedCall
    {
        std::string id; ///< Request id.
        unsigned maxRuns = 0; ///< Most runs at all endpoints together.
        std::string body; ///< Body expected at the endpoint; empty if it isn't checked.
    };

    const unsigned seed; ///< Seed of the schedule and the clients.
    SoakDeployment deployment; ///< The processes under test.
    std::atomic<unsigned> ids{0}; ///< Counter for unique request ids.
    unsigned version = 1; ///< Configuration version that was sent last.
    unsigned acknowledged = 1; ///< Highest acknowledged configuration version.
    std::mutex mutex; ///< Guards `violations`, `statusCounts` and `calls`.
    std::vector<RecordedCall> calls; ///< All calls of the clients.
};

/** Seeds that CI runs: two ordinary ones, and each one that ever failed (docs/SOAK.md). */
const std::vector<unsigned> DefaultSeeds = {1, 2};

std::vector<unsigned> selectSeeds()
{
    const char *range = std::getenv("CHESTNUTHOOK_SOAK_SEEDS");
    if (range == nullptr) {
        return DefaultSeeds;
    }
    unsigned first = 0;
    unsigned last = 0;
    char dash = 0;
    std::istringstream(range) >> first >> dash >> last;
    std::vector<unsigned> seeds;
    for (unsigned seed = first; seed <= std::max(first, last); ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

} // namespace

BOOST_AUTO_TEST_CASE(guarantees_hold_under_seeded_faults)
{
    for (const unsigned seed : selectSeeds()) {
        Soak soak(seed);
        soak.run();
        for (const std::string &violation : soak.violations) {
            BOOST_ERROR("seed " << seed << ": " << violation << "; logs in " << soak.folder());
        }
        std::cout << "seed " << seed
                  << (soak.violations.empty() ? " kept all promises; responses" : " failed; responses");
        for (const auto &[status, count] : soak.statusCounts) {
            std::cout << ' ' << status << ": " << count;
        }
        std::cout << std::endl;
    }
}
