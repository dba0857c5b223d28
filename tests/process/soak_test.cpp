/** @file soak_test.cpp  Randomized soak test: the platform's programs run under kills, pauses, network faults and
 * configuration changes, while clients check the guarantees of the service. A seed determines the schedule of faults.
 *
 * CHESTNUTHOOK_SOAK_SEEDS=first-last selects other seeds than the default ones; see docs/SOAK.md. */
#define BOOST_TEST_MODULE soak
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

#include "support/http_connection.h"
#include "support/soak_deployment.h"
#include "support/soak_schedule.h"
#include "support/soak_stream.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr auto LoadDuration = 6s; ///< Time during which clients send requests and faults start.
constexpr auto RecoveryTimeout = 10s; ///< All requests must be served again within this time after the last fault.
constexpr auto ResponseTimeout = 4s; ///< Time to wait for a response; exceeds the deadline of each request.
constexpr auto RequestTimeout = 2s; ///< Deadline of each request, and the timeout of its route.
constexpr auto StreamRetryDelay = 100ms; ///< Pause of a client after a stream that was refused.
constexpr unsigned StreamAttempts = 3; ///< Most attempts of a request on the resumable route, as configured.
constexpr auto RetryDelay = 20ms; ///< Pause of a client after a connection that failed or a request that was refused.
constexpr int ClientCount = 6;
constexpr int KeptClientsPerGateway = 4; ///< Clients that use one connection as long as the gateway allows.
constexpr int StreamClientCount = 10; ///< Clients that break off streams and resume them.
constexpr int ResumedTurnClientCount = 3; ///< Clients that do so with turns that are kept, and continue them.
constexpr int MaxStreamRequests = 5; ///< Most requests of a client for one stream.
constexpr unsigned TokensPerEvent = 10; ///< Tokens of each event, as configured.
constexpr unsigned MaxTurnTokens = 30; ///< Most tokens of a turn, as declared by the client.
constexpr unsigned ProgramTokenBudget = 120; ///< Token budget of each program.

constexpr int MaxProgramTurns = 8; ///< Most turns of a program before the client turns to something else.
constexpr auto ReadInterval = 100ms; ///< Pause between two reads of the configuration.

// Bounds of the platform for lost disks and configurations.
constexpr auto CatchUpTime = 4500ms; ///< A member with an empty disk has the data of the others after this time.
constexpr auto ConfigurationApplyTime = 2s; ///< An acknowledged version is in force, and read, within this time.

// Bounds of the platform for limits of endpoints.
constexpr auto LimitComplianceTime = 3s; ///< A limit is kept this long after it was first named.
constexpr auto LimitWindow = 4s; ///< Requests are counted in windows of this length.
constexpr auto GatewayStartTime = 1s; ///< A process that was started again knows the limits after this time.

// Bounds of the platform for planned stops.
constexpr auto UndisturbedTime = 3s; ///< A disturbance excuses what begins less than this after its end.
constexpr auto StopSettleTime = 1s; ///< A stop explains cut responses until this long after the grace period.
constexpr auto EarlyRequestTime = 3s; ///< Requests sent earlier than this after SIGTERM may outlast the stop.
constexpr int LastGraceParts = 6; ///< A response may be cut if it would end in the last of these parts of the grace.

// Bounds of the platform for streams that are resumed while endpoints of their version serve.
constexpr std::size_t MinEndpointsOfVersion = 2;
constexpr unsigned MinResumedStreams = 12; ///< Fewer are not judged.
constexpr unsigned MinResumedShareDivisor = 2; ///< The share that goes on is at least this part of those that begin.

enum class Scenario : std::uint8_t {
    Faults, ///< Disturbances of two gateways.
    Releases, ///< Endpoints are replaced by ones of other versions while clients resume streams.
    Stops, ///< Planned stops, with few disturbances, of two gateways or of many.
    Storage, ///< Disturbances of links between daemons and of disks, and lost disks.
    Cuts, ///< Gateways are cut off from endpoints.
};

/** Waits as a client does before its next request. */
void pauseAfter(const Response &response)
{
    if (response.status == 0 || response.status == 503) {
        std::this_thread::sleep_for(RetryDelay);
    }
}

EndpointVersions endpointVersionsOf(Scenario scenario)
{
    return scenario == Scenario::Releases ? EndpointVersions{{"v1.1", 3}, {"v1.2", 3}} : EndpointVersions{{"v1", 3}};
}

std::vector<Fault> scheduleOf(Scenario scenario, unsigned seed, const FaultTargets &targets)
{
    switch (scenario) {
    case Scenario::Faults:
        break;
    case Scenario::Releases:
        return scheduleReleases(seed, targets);
    case Scenario::Stops:
        return scheduleStops(seed, targets, SoakDeployment::GracePeriod);
    case Scenario::Storage:
        return scheduleStorageFaults(seed, targets, CatchUpTime);
    case Scenario::Cuts:
        return scheduleCuts(seed, targets, SoakDeployment::GracePeriod);
    }
    return scheduleFaults(seed, targets);
}

std::size_t gatewayCountOf(Scenario scenario, unsigned seed)
{
    constexpr std::size_t ManyGateways = 8;
    constexpr unsigned ManyGatewaysInterval = 4;
    constexpr std::size_t GatewaysOfCuts = 4;
    if (scenario == Scenario::Stops || scenario == Scenario::Cuts) {
        const std::size_t few = scenario == Scenario::Cuts ? GatewaysOfCuts : 2;
        return seed % ManyGatewaysInterval == 0 ? ManyGateways : few;
    }
    return 2;
}

/** Runs the schedule and the clients of one seed, and collects violated guarantees. */
class Soak
{
public:
    Soak(Scenario scenario, unsigned seed)
        : scenario(scenario)
        , seed(seed)
        , deployment(gatewayCountOf(scenario, seed), endpointVersionsOf(scenario),
              scenario == Scenario::Storage ? InnerLinks::Proxied : InnerLinks::Direct)
        , endpointLinkCount(this->deployment.endpointLinks.size())
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
        const std::size_t gateways = this->deployment.clientAddresses.size();
        const FaultTargets targets = {this->deployment.processes.size(), gateways,
            this->endpointLinkCount + this->deployment.clientLinks.size(), this->deployment.endpoints.size()};
        const std::vector<Fault> schedule = scheduleOf(this->scenario, this->seed, targets);
        std::chrono::milliseconds load = LoadDuration;
        for (const Fault &fault : schedule) {
            std::cout << "  " << describe(fault) << '\n';
            load = std::max(load, fault.at + fault.duration);
        }
        const Clock::time_point loadStart = Clock::now();
        std::vector<std::jthread> threads; // Joined even if a step throws.
        const bool hasKeptClients = this->scenario == Scenario::Stops || this->scenario == Scenario::Cuts;
        const std::size_t keptClients = hasKeptClients ? gateways * KeptClientsPerGateway : 0;
        const int streamClients = this->scenario == Scenario::Releases ? StreamClientCount : 0;
        const int turnClients = hasKeptClients ? 0 : ResumedTurnClientCount;
        threads.reserve(ClientCount + keptClients + static_cast<std::size_t>(streamClients + turnClients));
        for (int client = 0; client < ClientCount; ++client) {
            threads.emplace_back([this, client, loadStart, load]() {
                this->runClient(client, loadStart + load);
            });
        }
        for (std::size_t i = 0; i < keptClients; ++i) {
            threads.emplace_back([this, i, gateways, loadStart, load]() {
                this->runKeptClient(ClientCount + static_cast<int>(i), i % gateways, loadStart + load);
            });
        }
        for (int client = 0; client < streamClients; ++client) {
            threads.emplace_back([this, client, loadStart, load]() {
                this->runStreamClient(ClientCount + client, loadStart + load);
            });
        }
        for (int client = 0; client < turnClients; ++client) {
            threads.emplace_back([this, client, streamClients, loadStart, load]() {
                this->runResumedTurnClient(ClientCount + streamClients + client, loadStart + load);
            });
        }
        if (this->scenario == Scenario::Storage) {
            threads.emplace_back([this, loadStart, load]() {
                this->runReader(loadStart + load);
            });
        }
        threads.emplace_back([this, loadStart, load]() {
            this->runWithdrawnKeys(loadStart + load);
        });
        this->playSchedule(schedule, loadStart);
        for (std::jthread &thread : threads) {
            thread.join();
        }
        this->waitForService();
        if (this->scenario == Scenario::Storage) {
            this->checkKeptTurns();
            this->checkEachMember();
        }
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
    /** A planned stop of a gateway. */
    struct Stop
    {
        std::size_t gateway = 0; ///< Index of the gateway.
        Clock::time_point at; ///< Time of SIGTERM.
        pid_t pid = 0; ///< The stopped process.
    };

    /** An unplanned fault. */
    struct Disturbance
    {
        const Fault *fault = nullptr; ///< Entry of the schedule.
        Clock::time_point start; ///< When it was injected.
        Clock::time_point end = Clock::time_point::max(); ///< The maximum while it lasts.
    };

    /** A program as its client knows it. */
    struct Program
    {
        std::string id; ///< Program id.
        std::string previous = {}; ///< Request id of the last complete turn; empty if there is none.
        std::string chain = {}; ///< Inputs and outputs of the complete turns, as an endpoint gets them.
        unsigned deliveredTokens = 0; ///< Tokens that all its turns have delivered.
    };

    /** An acknowledged configuration. */
    struct Acknowledgement
    {
        unsigned version = 0; ///< Version of the configuration.
        Clock::time_point at; ///< When the acknowledgement arrived.
    };

    /** Streams that began, or were resumed, while nothing excuses a failure. */
    struct StreamCounts
    {
        unsigned all = 0; ///< All that are counted.
        unsigned successful = 0; ///< Those that brought an event, or a further one.
    };

    /** Starts and ends the faults in time, and starts stopped gateways again as soon as they have ended. */
    void playSchedule(const std::vector<Fault> &schedule, Clock::time_point loadStart)
    {
        constexpr auto RestartInterval = 50ms;
        const bool hasStops = this->scenario == Scenario::Stops || this->scenario == Scenario::Cuts;
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
            while (hasStops && Clock::now() + RestartInterval < loadStart + at) {
                std::this_thread::sleep_for(RestartInterval);
                this->startStopped();
            }
            std::this_thread::sleep_until(loadStart + at);
            step();
        }
    }

    /** Starts gateways whose planned stop is over. */
    void startStopped()
    {
        for (const Stop &stop : this->stops) {
            const std::size_t process = this->deployment.processOfGateway(stop.gateway);
            if (this->deployment.processes[process]->pid == stop.pid
                && !this->deployment.processes[process]->isRunning()) {
                this->deployment.start(process);
            }
        }
    }

    void stopGateway(std::size_t gateway)
    {
        ChildProcess &process = *this->deployment.processes[this->deployment.processOfGateway(gateway)];
        const bool isStopping = std::ranges::any_of(this->stops, [&process](const Stop &stop) {
            return stop.pid == process.pid;
        });
        if (!isStopping) {
            this->stops.push_back({gateway, Clock::now(), process.pid});
        }
        process.signal(SIGTERM); // A stopping process may get it again.
    }

    /** Ends the processes of @p gateway whose grace period is over. */
    void killStopped(std::size_t gateway)
    {
        const ChildProcess &process = *this->deployment.processes[this->deployment.processOfGateway(gateway)];
        for (const Stop &stop : this->stops) {
            if (stop.pid == process.pid && Clock::now() >= stop.at + SoakDeployment::GracePeriod) {
                process.signal(SIGKILL);
            }
        }
    }

    void recordViolation(const std::string &guarantee, const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        this->violations.push_back(guarantee + ", request " + id);
    }

    FaultyLink &linkOf(std::size_t target)
    {
        return target < this->endpointLinkCount ? this->deployment.endpointLinks[target]
                                                : this->deployment.clientLinks[target - this->endpointLinkCount];
    }

    void injectFault(const Fault &fault)
    {
        auto &processes = this->deployment.processes;
        const bool excuses = fault.kind != FaultKind::CutOff && fault.kind != FaultKind::Limit;
        if (!isPlanned(fault.kind) && excuses) {
            const std::lock_guard lock(this->mutex);
            this->disturbances.push_back({&fault, Clock::now()});
        }
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
                const std::lock_guard lock(this->mutex);
                this->acknowledgements.push_back({this->version, Clock::now()});
            }
            break;
        case FaultKind::Release:
            this->drainingEndpoints[&fault] = this->deployment.beginRelease(fault.version, fault.reusesAddress);
            break;
        case FaultKind::Stop:
            this->stopGateway(fault.target);
            break;
        case FaultKind::InnerLink:
            this->deployment.innerLinks[fault.target].setFault(fault.link, fault.caller);
            break;
        case FaultKind::LoseDisk:
            this->deployment.loseDisk(fault.target);
            break;
        case FaultKind::FillDisk:
            this->deployment.setDiskFull(fault.target, true);
            break;
        case FaultKind::CutOff:
            this->cuts.push_back({&fault, Clock::now()});
            this->applyCuts();
            break;
        case FaultKind::Limit:
            this->deployment.endpoints[fault.target].nameLimit(fault.limitPerSecond);
            this->limits.push_back({&fault, Clock::now()});
            break;
        }
    }

    /** Cuts off the gateways of all cuts that last. */
    void applyCuts()
    {
        std::set<std::size_t> gateways;
        for (const Disturbance &cut : this->cuts) {
            if (cut.end == Clock::time_point::max()) {
                gateways.insert(cut.fault->gateways.begin(), cut.fault->gateways.end());
            }
        }
        this->deployment.cutOff(gateways);
    }

    void endFault(const Fault &fault)
    {
        if (fault.kind == FaultKind::Link) {
            this->linkOf(fault.target).setFault(LinkFault::None);
        }
        if (fault.kind == FaultKind::Pause) {
            this->deployment.processes[fault.target]->signal(SIGCONT);
        }
        if (fault.kind == FaultKind::InnerLink) {
            this->deployment.innerLinks[fault.target].setFault(LinkFault::None);
        }
        if (fault.kind == FaultKind::FillDisk) {
            this->deployment.setDiskFull(fault.target, false);
        }
        if (fault.kind == FaultKind::Release && !this->drainingEndpoints[&fault].empty()) {
            this->deployment.endRelease(this->drainingEndpoints[&fault], fault.version, fault.reusesAddress);
        }
        if (fault.kind == FaultKind::Stop) {
            this->killStopped(fault.target);
        }
        if (fault.kind == FaultKind::Limit) {
            this->checkLimit(fault);
            this->deployment.endpoints[fault.target].nameLimit(0);
        }
        if (fault.kind == FaultKind::CutOff) {
            for (Disturbance &cut : this->cuts) {
                cut.end = cut.fault == &fault ? Clock::now() : cut.end;
            }
            this->applyCuts();
        }
        this->deployment.startEnded(); // Including processes that other faults ended meanwhile.
        const std::lock_guard lock(this->mutex);
        for (Disturbance &disturbance : this->disturbances) {
            if (disturbance.fault == &fault) {
                disturbance.end = Clock::now();
            }
        }
    }

    /** Checks that the endpoint got no more requests than its limit allows. A gateway that has started again since then
     * sends some before it knows the limit. */
    void checkLimit(const Fault &limit)
    {
        Clock::time_point start = Clock::time_point::min();
        for (const Disturbance &named : this->limits) {
            start = named.fault == &limit ? named.start + LimitComplianceTime : start;
        }
        for (const Disturbance &disturbance : this->disturbances) {
            const FaultKind kind = disturbance.fault->kind;
            if (kind == FaultKind::Kill || kind == FaultKind::KillAll || kind == FaultKind::Terminate) {
                const bool hasEnded = disturbance.end != Clock::time_point::max();
                start = std::max(start, hasEnded ? disturbance.end + GatewayStartTime : Clock::now());
            }
        }
        const std::size_t allowed = LimitWindow.count() * limit.limitPerSecond * 3 / 2 + 5;
        const std::size_t most =
            this->deployment.endpoints[limit.target].mostInWindow(start, Clock::now(), LimitWindow);
        std::cout << "  endpoint " << limit.target << " got " << most << " requests, allowed " << allowed << '\n';
        if (most > allowed) {
            this->recordViolation(
                "an endpoint gets no more requests than its limit allows", "endpoint " + std::to_string(limit.target));
        }
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

    static std::string formatRequest(const std::string &path, const std::string &id, const std::string &key,
        const std::string &fields = "", const std::string &body = "x")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /** Sends a request on a connection of its own. */
    Response call(std::size_t gateway, const std::string &path, const std::string &id, const std::string &key,
        const std::string &fields = "", const std::string &body = "x")
    {
        const std::string request = formatRequest(path, id, key, fields + "Connection: close\r\n", body);
        try {
            return parseResponse(
                sendRawRequest(this->deployment.clientLinks[gateway].address, request, ResponseTimeout));
        } catch (const Poco::Exception &) {
            std::this_thread::sleep_for(RetryDelay); // Nothing is listening there at the moment.
            return {}; // No response; whether it ran is checked at the endpoints.
        }
    }

    /** Sends requests to one gateway, each on the same connection as the one before if it is still open. */
    void runKeptClient(int client, std::size_t gateway, Clock::time_point end)
    {
        constexpr int LongestPauseMs = 1500;
        constexpr int LongPauseInterval = 6; // One in so many requests follows a longer pause.
        constexpr std::array Kinds = {"safe", "unsafe", "unsafe", "slow", "slow", "slow"};
        Random random(this->seed * 100 + static_cast<unsigned>(client));
        std::optional<HttpConnection> connection;
        while (Clock::now() < end) {
            const std::string kind = Kinds[static_cast<std::size_t>(randomInt(random, 0, int{Kinds.size()} - 1))];
            const bool pauses = randomInt(random, 1, LongPauseInterval) == 1;
            const int pauseMs = randomInt(random, 0, LongestPauseMs);
            if (pauses) {
                std::this_thread::sleep_until(std::min(end, Clock::now() + std::chrono::milliseconds(pauseMs)));
            }
            try {
                if (!connection) {
                    connection.emplace(this->deployment.clientLinks[gateway].address, 1s);
                }
            } catch (const Poco::Exception &) {
                std::this_thread::sleep_for(RetryDelay);
                continue;
            }
            const std::string id = this->newId(kind);
            const Clock::time_point sent = Clock::now();
            const Response response =
                connection->exchange(formatRequest("/" + kind + "/x", id, "always"), ResponseTimeout);
            if (!response.keepsConnection) {
                connection.reset();
            }
            this->checkResponse(gateway, kind, id, sent, response);
            pauseAfter(response);
        }
    }

    /** Whether an unplanned fault affects what happens from @p start to now. */
    bool isDisturbedSince(Clock::time_point start)
    {
        const std::lock_guard lock(this->mutex);
        return std::ranges::any_of(this->disturbances, [start](const Disturbance &disturbance) {
            return start - UndisturbedTime <= disturbance.end;
        });
    }

    /** Sends requests with the key that the newest configuration has withdrawn. */
    void runWithdrawnKeys(Clock::time_point end)
    {
        constexpr auto CallInterval = 100ms;
        for (std::size_t count = 0; Clock::now() < end; ++count) {
            std::this_thread::sleep_for(CallInterval);
            const Clock::time_point sent = Clock::now();
            unsigned withdrawn = 0;
            {
                const std::lock_guard lock(this->mutex);
                for (const Acknowledgement &acknowledgement : this->acknowledgements) {
                    const bool isDue = acknowledgement.at + ConfigurationApplyTime < sent;
                    withdrawn = isDue ? std::max(withdrawn, acknowledgement.version - 1) : withdrawn;
                }
            }
            if (withdrawn == 0 || this->isDisturbedSince(sent)) {
                continue;
            }
            const std::size_t gateway = count % this->deployment.clientAddresses.size();
            const std::string id = this->newId("withdrawn");
            if (this->call(gateway, "/safe/x", id, "key-" + std::to_string(withdrawn)).status == 200) {
                this->recordViolation("a withdrawn key is refused in time, gateway " + std::to_string(gateway), id);
            }
        }
    }

    bool isVersionServed(const std::string &version)
    {
        return this->deployment.readyEndpoints(version) >= MinEndpointsOfVersion;
    }

    /** Receives streams that break off, and resumes each until it is complete or too many attempts have failed. */
    void runStreamClient(int client, Clock::time_point end)
    {
        Random random(this->seed * 100 + static_cast<unsigned>(client));
        while (Clock::now() < end) {
            const std::string id = this->newId("stream");
            SoakStream stream(id, SoakEndpoint::resumableEvents(id));
            this->receiveStream(random, stream, static_cast<std::size_t>(randomInt(random, 0, this->lastGateway())));
        }
    }

    void receiveStream(Random &random, SoakStream &stream, std::size_t gateway)
    {
        constexpr int KeptStreamInterval = 3; // The client doesn't break off one stream in so many.
        const Clock::time_point begin = Clock::now();
        Clock::time_point resumed = Clock::time_point::max();
        std::size_t receivedFirst = 0; // Events before the stream was resumed.
        bool wasServed = true; // Two endpoints of its version have been ready all the while.
        std::size_t eventsWanted = randomInt(random, 1, KeptStreamInterval) == 1
            ? stream.events
            : static_cast<std::size_t>(randomInt(random, 1, static_cast<int>(stream.events) - 1));
        for (int attempt = 0; attempt < MaxStreamRequests && stream.received < stream.events; ++attempt) {
            if (stream.received > 0 && receivedFirst == 0) {
                receivedFirst = stream.received;
                resumed = Clock::now();
            }
            wasServed = wasServed && (stream.received == 0 || this->isVersionServed(stream.version));
            const bool wasComplete = this->attemptStream(
                stream, "/resume/x", gateway, stream.id + "." + std::to_string(attempt), eventsWanted);
            if (wasComplete && stream.received < stream.events) {
                this->recordViolation("a complete stream has all events", stream.id);
                return;
            }
            eventsWanted = stream.events;
            gateway = (gateway + 1) % this->deployment.clientAddresses.size();
        }
        const bool isNewCounted = !this->isDisturbedSince(begin);
        const bool isResumedCounted =
            receivedFirst > 0 && wasServed && this->isVersionServed(stream.version) && !this->isDisturbedSince(resumed);
        const std::lock_guard lock(this->mutex);
        this->newStreams.all += isNewCounted ? 1 : 0;
        this->newStreams.successful += isNewCounted && stream.received > 0 ? 1 : 0;
        this->resumedStreams.all += isResumedCounted ? 1 : 0;
        this->resumedStreams.successful += isResumedCounted && stream.received > receivedFirst ? 1 : 0;
    }

    /** Receives turns whose streams break off, resumes them, and continues each one that was completed. */
    void runResumedTurnClient(int client, Clock::time_point end)
    {
        Random random(this->seed * 100 + static_cast<unsigned>(client));
        while (Clock::now() < end) {
            const std::string id = this->newId("kept");
            SoakStream stream(id, SoakEndpoint::resumableEvents(id));
            auto gateway = static_cast<std::size_t>(randomInt(random, 0, this->lastGateway()));
            for (int count = 0; count < MaxStreamRequests; ++count) {
                const std::string request = id + "." + std::to_string(count);
                // The first two requests may be broken off anywhere.
                const auto eventsWanted = static_cast<std::size_t>(
                    count < 2 ? randomInt(random, 1, static_cast<int>(stream.events)) : stream.events);
                if (this->attemptStream(stream, "/keep/x", gateway, request, eventsWanted)) {
                    this->continueTurn(stream, gateway, request);
                    break;
                }
                gateway = (gateway + 1) % this->deployment.clientAddresses.size();
            }
        }
    }

    /** Sends a turn after the one that @p request has completed. */
    void continueTurn(const SoakStream &stream, std::size_t gateway, const std::string &request)
    {
        if (stream.received != stream.events) {
            this->recordViolation("a complete stream has all events", stream.id);
            return;
        }
        const std::string id = this->newId("after");
        const std::string input = "after " + id;
        const Clock::time_point sent = Clock::now();
        const Response response =
            this->call(gateway, "/turn/x", id, "always", "X-Previous-Turn: " + request + "\r\n", input);
        this->recordCall(
            {id, gateway, sent, Clock::now(), response.complete, true, 1, stream.id + stream.output + input},
            response.status);
        if (response.status == 404 || response.status == 410) {
            this->recordViolation("a completed turn is kept", request);
        }
        const std::lock_guard lock(this->mutex);
        this->continuedTurns += response.status == 200 ? 1 : 0;
    }

    /** Requests the rest of @p stream at @p gateway and closes the connection once @p eventsWanted events have come.
     * @return whether the response was a complete stream. */
    bool attemptStream(SoakStream &stream, const std::string &path, std::size_t gateway, const std::string &id,
        std::size_t eventsWanted)
    {
        const Clock::time_point sent = Clock::now();
        Response response;
        try {
            HttpConnection connection(this->deployment.clientLinks[gateway].address, 1s);
            response = connection.exchange(
                formatRequest(path, id, "always", stream.resumeFields() + "Connection: close\r\n", stream.id),
                ResponseTimeout, [&](const Response &partial) {
                    return partial.status == 200
                        && stream.received + SoakStream::countEvents(partial.body) >= eventsWanted
                        && eventsWanted < stream.events;
                });
        } catch (const Poco::Exception &) {
            response = {}; // Nothing is listening there at the moment.
        }
        const bool needsHistory = path.starts_with("/keep/");
        this->recordCall(
            {id, gateway, sent, Clock::now(), response.complete, needsHistory, StreamAttempts}, response.status);
        if (response.status != 200) {
            std::this_thread::sleep_for(StreamRetryDelay);
            return false;
        }
        const std::string violation = stream.addResponse(id, response.body);
        if (!violation.empty()) {
            this->recordViolation(violation, id);
        }
        return response.complete;
    }

    void runClient(int client, Clock::time_point end)
    {
        Random random(this->seed * 100 + static_cast<unsigned>(client));
        if (this->scenario == Scenario::Storage) {
            this->runProgramClient(random, end);
            return;
        }
        while (Clock::now() < end) {
            const auto gateway = static_cast<std::size_t>(randomInt(random, 0, this->lastGateway()));
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

    [[nodiscard]] int lastGateway() const
    {
        return static_cast<int>(this->deployment.clientAddresses.size()) - 1;
    }

    void sendRequest(std::size_t gateway, const std::string &kind)
    {
        const std::string id = this->newId(kind);
        const Clock::time_point sent = Clock::now();
        const Response response = this->call(gateway, "/" + kind + "/x", id, "always");
        this->checkResponse(gateway, kind, id, sent, response);
        pauseAfter(response);
    }

    void checkResponse(std::size_t gateway, const std::string &kind, const std::string &id, Clock::time_point sent,
        const Response &response)
    {
        this->recordCall(
            {id, gateway, sent, Clock::now(), response.complete, false, kind == "safe" ? 2U : 1U}, response.status);
        const std::string whole = withoutPauses(SoakEndpoint::responseBody("/" + kind + "/x", id));
        if (response.status == 200 && response.complete && response.body != whole) {
            this->recordViolation("a response is complete and belongs to its request", id);
        }
        if (response.status == 200 && !whole.starts_with(response.body)) {
            this->recordViolation("events come in order and once", id);
        }
    }

    /** Sends a chain of turns of a new program. */
    void runProgram(Random &random, Clock::time_point end)
    {
        Program program{this->newId("program")};
        for (int turn = 0; turn < MaxProgramTurns && Clock::now() < end; ++turn) {
            this->runTurn(program, static_cast<std::size_t>(randomInt(random, 0, this->lastGateway())));
        }
    }

    /** Sends turns of several programs, which it goes on with at any time, and other requests now and then. */
    void runProgramClient(Random &random, Clock::time_point end)
    {
        constexpr int UnsafeInterval = 6; // One in so many choices is an unsafe request.
        constexpr int NewProgramInterval = 3;
        std::vector<Program> ownPrograms;
        while (Clock::now() < end) {
            const auto gateway = static_cast<std::size_t>(randomInt(random, 0, this->lastGateway()));
            if (randomInt(random, 1, UnsafeInterval) == 1) {
                this->sendRequest(gateway, "unsafe");
                continue;
            }
            if (ownPrograms.empty() || randomInt(random, 1, NewProgramInterval) == 1) {
                ownPrograms.push_back({this->newId("program")});
            }
            const int last = static_cast<int>(ownPrograms.size()) - 1;
            auto chosen = static_cast<std::size_t>(randomInt(random, 0, last));
            if (ownPrograms[chosen].deliveredTokens >= ProgramTokenBudget) {
                ownPrograms.push_back({this->newId("program")});
                chosen = ownPrograms.size() - 1;
            }
            this->runTurn(ownPrograms[chosen], gateway);
        }
        const std::lock_guard lock(this->mutex);
        this->programs.insert(this->programs.end(), ownPrograms.begin(), ownPrograms.end());
    }

    /** Sends the next turn of @p program, which continues its last complete one. */
    Response runTurn(Program &program, std::size_t gateway)
    {
        const std::string id = this->newId("turn");
        const std::string input = "in " + id + ";";
        std::string fields = "X-Program-Id: " + program.id + "\r\nX-Token-Budget: " + std::to_string(ProgramTokenBudget)
            + "\r\nX-Token-Count: 5," + std::to_string(MaxTurnTokens) + "\r\n";
        fields += program.previous.empty() ? "" : "X-Previous-Turn: " + program.previous + "\r\n";
        const Clock::time_point sent = Clock::now();
        Response response = this->call(gateway, "/turn/x", id, "always", fields, input);
        this->recordCall(
            {id, gateway, sent, Clock::now(), response.complete, true, 1, program.chain + input}, response.status);
        pauseAfter(response);
        const std::string first = "id: 1\ndata: a " + id + "\n\n";
        std::string whole = first;
        whole.append("id: 2\ndata: b ").append(id).append("\n\n");
        if (response.status == 200 && !whole.starts_with(response.body)) {
            this->recordViolation("events come in order and once", id);
        }
        if (!program.previous.empty() && (response.status == 404 || response.status == 410)) {
            this->recordViolation("a completed turn is kept", program.previous);
        }
        if (response.status == 200) {
            program.deliveredTokens += response.body.size() >= whole.size() ? 2 * TokensPerEvent
                : response.body.size() >= first.size()                      ? TokensPerEvent
                                                                            : 0;
        }
        if (program.deliveredTokens > ProgramTokenBudget + MaxTurnTokens) {
            this->recordViolation("a program gets at most its budget and one turn", id);
        }
        if (response.status == 200 && response.complete) {
            if (response.body != whole) {
                this->recordViolation("a complete stream has all events", id);
            }
            program.previous = id;
            program.chain.append(input).append("a ").append(id).append("\nb ").append(id).append("\n");
        }
        return response;
    }

    /** Checks that the last complete turn of each program, and thereby its chain, can be continued. */
    void checkKeptTurns()
    {
        constexpr std::size_t Threads = ClientCount;
        const Clock::time_point deadline = Clock::now() + RecoveryTimeout;
        std::atomic<bool> hasFailed = false; // One failure is enough; where service is down, each check takes long.
        std::vector<std::jthread> threads;
        threads.reserve(Threads);
        for (std::size_t i = 0; i < Threads; ++i) {
            threads.emplace_back([this, i, deadline, &hasFailed]() {
                for (std::size_t at = i; at < this->programs.size() && !hasFailed; at += Threads) {
                    const std::size_t gateway = at % this->deployment.clientAddresses.size();
                    if (!this->programs[at].previous.empty()
                        && !this->isKeptTurnContinued(this->programs[at], gateway, deadline)) {
                        hasFailed = true;
                    }
                }
            });
        }
    }

    /** Continues the last complete turn of @p program at @p gateway, again until @p deadline if it fails. */
    bool isKeptTurnContinued(const Program &program, std::size_t gateway, Clock::time_point deadline)
    {
        // Another program may continue the turn, and has its own budget.
        Program successor{this->newId("program"), program.previous, program.chain};
        int status = 0;
        do {
            status = this->runTurn(successor, gateway).status;
        } while (successor.previous == program.previous && status != 404 && status != 410 && Clock::now() < deadline);
        if (successor.previous != program.previous) {
            return true;
        }
        this->recordViolation("a completed turn can be continued",
            program.previous + " at gateway " + std::to_string(gateway) + ", last status " + std::to_string(status));
        return false;
    }

    /** Response of a control member, or of the leader that it names, to a read of the configuration; empty if it is
     * down. */
    static std::string readConfiguration(const std::string &operatorAddress, bool followsLeader = true)
    {
        std::string bytes;
        try {
            bytes = sendRawRequest(
                operatorAddress, "GET /-/config/get HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1s);
        } catch (const Poco::Exception &) {
            return {}; // This member is down.
        }
        const std::string scheme = "http://";
        const std::string location = fieldOf(bytes, "Location");
        if (!followsLeader || !location.starts_with(scheme)) {
            return bytes;
        }
        const std::string leader = location.substr(scheme.size(), location.find('/', scheme.size()) - scheme.size());
        return readConfiguration(leader, false);
    }

    /** Version of the configuration that is read at a control member; 0 if none is. */
    static unsigned readVersion(const std::string &operatorAddress)
    {
        const std::string bytes = readConfiguration(operatorAddress);
        const std::string field = "\"version\":";
        const std::size_t at = bytes.find(field);
        const bool isRead = bytes.starts_with("HTTP/1.1 200") && at != std::string::npos;
        return isRead ? static_cast<unsigned>(std::stoul(bytes.substr(at + field.size()))) : 0;
    }

    /** Reads the configuration from all control members until @p end. */
    void runReader(Clock::time_point end)
    {
        while (Clock::now() < end) {
            for (const std::string &address : this->deployment.operatorAddresses) {
                const Clock::time_point sent = Clock::now();
                const unsigned read = readVersion(address);
                const std::lock_guard lock(this->mutex);
                for (const Acknowledgement &acknowledgement : this->acknowledgements) {
                    if (read != 0 && read < acknowledgement.version
                        && acknowledgement.at + ConfigurationApplyTime < sent) {
                        this->violations.push_back("no older configuration is read, version " + std::to_string(read)
                            + " of " + std::to_string(acknowledgement.version) + " at " + address);
                    }
                }
            }
            std::this_thread::sleep_for(ReadInterval);
        }
    }

    /** Checks that the newest acknowledged configuration, or a newer one, is read through each control member. */
    void checkEachMember()
    {
        this->runReader(Clock::now() + ReadInterval);
        for (const std::string &address : this->deployment.operatorAddresses) {
            const bool isNewest = waitUntil(
                [&]() {
                    return readVersion(address) >= this->acknowledged;
                },
                RecoveryTimeout);
            if (!isNewest) {
                this->recordViolation("the newest configuration is read through each control member",
                    std::to_string(this->acknowledged) + " at " + address);
            }
        }
    }

    struct RecordedCall
    {
        std::string id; ///< Request id.
        std::size_t gateway = 0; ///< Gateway to which it was sent.
        Clock::time_point sent; ///< When the client began to send it.
        Clock::time_point ended; ///< When the response or the connection ended.
        bool isAnswered = false; ///< The response is complete, whatever its status.
        bool needsHistory = false; ///< Its response depends on the history members.
        unsigned maxRuns = 0; ///< Most runs at all endpoints together.
        std::string body = {}; ///< Body expected at the endpoint; empty if it isn't checked.
        bool isServed = false; ///< The response is complete, and a success or says that the token budget is spent.
    };

    /** Records a call, which `checkGuarantees` compares with the runs at the endpoints. */
    void recordCall(RecordedCall call, int status)
    {
        const std::lock_guard lock(this->mutex);
        const bool notRun = status == 402 || status == 429 || status == 503;
        call.maxRuns = notRun ? 0 : call.maxRuns;
        call.isServed = call.isAnswered && (status == 200 || status == 402);
        this->calls.push_back(std::move(call));
        ++this->statusCounts[status];
    }

    /** Whether a disturbance may have cut the response to @p call. */
    [[nodiscard]] bool isDisturbed(const RecordedCall &call) const
    {
        const std::size_t process = this->deployment.processOfGateway(call.gateway);
        const std::size_t link = this->endpointLinkCount + call.gateway;
        const std::size_t gateways = this->deployment.processOfGateway(0);
        return std::ranges::any_of(this->disturbances, [&](const Disturbance &disturbance) {
            const Fault &fault = *disturbance.fault;
            const bool concernsCall = fault.kind == FaultKind::KillAll
                || (fault.kind == FaultKind::Link
                        ? fault.target == link || fault.target < this->endpointLinkCount
                        : fault.target == process || (call.needsHistory && fault.target < gateways));
            return concernsCall && disturbance.start <= call.ended && call.sent - UndisturbedTime <= disturbance.end;
        });
    }

    /** Checks that a planned stop hasn't cut the response to @p call, which ran as @p runs. */
    void checkStops(const RecordedCall &call, const std::vector<SoakEndpoint::Run> &runs)
    {
        constexpr std::chrono::milliseconds Grace = SoakDeployment::GracePeriod;
        const bool failedElsewhere = std::ranges::any_of(runs, &SoakEndpoint::Run::isResponseLost);
        if (call.isAnswered || runs.empty() || failedElsewhere || call.ended - call.sent >= RequestTimeout
            || this->isDisturbed(call)) {
            return;
        }
        for (const Stop &stop : this->stops) {
            const bool wasAtWork = std::ranges::any_of(runs, [&](const SoakEndpoint::Run &run) {
                return run.start <= stop.at + Grace && run.end >= stop.at + Grace - Grace / LastGraceParts;
            });
            const bool mayBeCut = wasAtWork && call.sent <= stop.at + EarlyRequestTime;
            if (stop.gateway != call.gateway || call.ended < stop.at || call.ended > stop.at + Grace + StopSettleTime
                || mayBeCut) {
                continue;
            }
            const auto toMs = [&stop](Clock::time_point time) {
                return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time - stop.at).count())
                    + " ms";
            };
            this->recordViolation("a request is answered while its gateway stops",
                call.id + " at gateway " + std::to_string(call.gateway) + ", sent " + toMs(call.sent)
                    + " after SIGTERM, at the endpoint from " + toMs(runs.front().start) + " to "
                    + toMs(runs.front().end) + ", connection closed at " + toMs(call.ended));
        }
    }

    /** Whether @p call was sent while a planned stop of its gateway may have rejected it. */
    [[nodiscard]] bool isAtStoppedGateway(const RecordedCall &call) const
    {
        return std::ranges::any_of(this->stops, [&call](const Stop &stop) {
            return stop.gateway == call.gateway && call.ended >= stop.at
                && call.sent <= stop.at + SoakDeployment::GracePeriod + UndisturbedTime;
        });
    }

    /** Whether a gateway that isn't cut off could reach endpoints when @p call was sent. */
    [[nodiscard]] bool hasOtherGateway(const RecordedCall &call) const
    {
        for (std::size_t gateway = 0; gateway < this->deployment.clientAddresses.size(); ++gateway) {
            const bool isCut = std::ranges::any_of(this->cuts, [&](const Disturbance &cut) {
                return cut.start <= call.sent && call.sent <= cut.end
                    && std::ranges::count(cut.fault->gateways, gateway) != 0;
            });
            RecordedCall there = call;
            there.gateway = gateway;
            if (!isCut && !this->isDisturbed(there) && !this->isAtStoppedGateway(there)) {
                return true;
            }
        }
        return false;
    }

    /** Checks that gateways that have been cut off for a while serve nearly as often as the others. */
    void checkCuts()
    {
        struct Count
        {
            unsigned all = 0; ///< Undisturbed calls.
            unsigned served = 0; ///< Those that were served.
        };
        Count cut;
        Count other;
        for (const RecordedCall &call : this->calls) {
            const auto covers = [&call](const Disturbance &disturbance) {
                return disturbance.start + UndisturbedTime <= call.sent && call.sent <= disturbance.end;
            };
            const auto concerns = [&call](const Disturbance &disturbance) {
                return std::ranges::count(disturbance.fault->gateways, call.gateway) != 0;
            };
            const bool isCut = std::ranges::any_of(this->cuts, [&](const Disturbance &one) {
                return covers(one) && concerns(one);
            });
            const bool isJustCut = !isCut && std::ranges::any_of(this->cuts, concerns);
            if (std::ranges::none_of(this->cuts, covers) || isJustCut || this->isDisturbed(call)
                || this->isAtStoppedGateway(call) || !this->hasOtherGateway(call)) {
                continue;
            }
            Count &count = isCut ? cut : other;
            ++count.all;
            count.served += call.isServed ? 1 : 0;
        }
        std::cout << "  served at gateways that are cut off: " << cut.served << " of " << cut.all << ", at others "
                  << other.served << " of " << other.all << '\n';
        // The users' rule: two thirds as often as at the others, or all but 10 + 1 in 50.
        const bool isOften = 3 * cut.served * other.all >= 2 * other.served * cut.all;
        if (!isOften && cut.all - cut.served > 10 + cut.all / 50) {
            this->violations.push_back("clients of gateways that are cut off are served, " + std::to_string(cut.served)
                + " of " + std::to_string(cut.all));
        }
    }

    /** Checks that streams go on where endpoints of their version serve. */
    void checkResumedShare()
    {
        const auto [resumed, wentOn] = this->resumedStreams;
        const auto [sent, began] = this->newStreams;
        std::cout << "  resumed streams that go on: " << wentOn << " of " << resumed
                  << ", new streams that begin: " << began << " of " << sent << '\n';
        if (resumed >= MinResumedStreams && wentOn * sent * MinResumedShareDivisor < began * resumed) {
            this->recordViolation("resumed streams go on where their version serves",
                std::to_string(wentOn) + " of " + std::to_string(resumed));
        }
    }

    void checkGuarantees()
    {
        for (const RecordedCall &call : this->calls) {
            std::vector<SoakEndpoint::Run> allRuns;
            for (SoakEndpoint &endpoint : this->deployment.endpoints) {
                for (const SoakEndpoint::Run &run : endpoint.runsOf(call.id)) {
                    allRuns.push_back(run);
                    if (!call.body.empty() && run.body != call.body) {
                        this->recordViolation("a turn continues its previous turns", call.id);
                    }
                }
            }
            this->checkStops(call, allRuns);
            if (allRuns.size() > call.maxRuns) {
                this->recordViolation(
                    call.maxRuns == 0 ? "a refused request has not run" : "a request runs at most as often as it may",
                    call.id);
            }
        }
        if (this->continuedTurns > 0) {
            std::cout << "  turns of resumable streams that were continued: " << this->continuedTurns << '\n';
        }
        if (this->scenario == Scenario::Releases) {
            this->checkResumedShare();
        }
        if (this->scenario == Scenario::Cuts) {
            this->checkCuts();
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

    const Scenario scenario; ///< What the schedule consists of.
    const unsigned seed; ///< Seed of the schedule and the clients.
    SoakDeployment deployment; ///< The processes under test.
    const std::size_t endpointLinkCount; ///< Number of endpoint links that faults can affect.
    std::map<const Fault *, std::string> drainingEndpoints; ///< Ids of the endpoints that releases replace.
    StreamCounts newStreams; ///< Streams that were sent for the first time, without a disturbance.
    unsigned continuedTurns = 0; ///< Turns that continued one whose stream may have been resumed.
    StreamCounts resumedStreams; ///< Streams that were resumed while endpoints of their version served.
    std::atomic<unsigned> ids{0}; ///< Counter for unique request ids.
    unsigned version = 1; ///< Configuration version that was sent last.
    unsigned acknowledged = 1; ///< Highest acknowledged configuration version.
    std::vector<Acknowledgement> acknowledgements; ///< Of all configurations after the first.
    std::vector<Program> programs; ///< Programs of the scenario Storage, as left by their clients.
    std::vector<Stop> stops; ///< All planned stops.
    std::vector<Disturbance> disturbances; ///< All unplanned faults but cuts and limits, in the order of their starts.
    std::vector<Disturbance> limits; ///< All limits of endpoints, in the order of their starts.
    std::vector<Disturbance> cuts; ///< All cuts of gateways from endpoints, in the order of their starts.
    /** Guards `violations`, `statusCounts`, `calls`, `disturbances`, `acknowledgements`, `programs` and the counts of
     * streams. */
    std::mutex mutex;
    std::vector<RecordedCall> calls; ///< All calls of the clients.
};

/** Seeds that CI runs for each scenario: ordinary ones, and each one that ever failed (docs/SOAK.md). */
const std::vector<unsigned> DefaultFaultSeeds = {1, 2};
const std::vector<unsigned> DefaultReleaseSeeds = {1, 2, 102};
const std::vector<unsigned> DefaultStopSeeds = {1, 4};
const std::vector<unsigned> DefaultStorageSeeds = {1, 13};
const std::vector<unsigned> DefaultCutSeeds = {1, 2, 102, 105};

std::vector<unsigned> selectSeeds(const std::vector<unsigned> &defaultSeeds)
{
    const char *range = std::getenv("CHESTNUTHOOK_SOAK_SEEDS");
    if (range == nullptr) {
        return defaultSeeds;
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

void runSeeds(Scenario scenario, const std::vector<unsigned> &defaultSeeds)
{
    for (const unsigned seed : selectSeeds(defaultSeeds)) {
        Soak soak(scenario, seed);
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

} // namespace

BOOST_AUTO_TEST_CASE(guarantees_hold_under_seeded_faults)
{
    runSeeds(Scenario::Faults, DefaultFaultSeeds);
}

BOOST_AUTO_TEST_CASE(streams_keep_their_version_while_endpoints_are_replaced)
{
    runSeeds(Scenario::Releases, DefaultReleaseSeeds);
}

BOOST_AUTO_TEST_CASE(requests_are_answered_while_gateways_stop_in_series)
{
    runSeeds(Scenario::Stops, DefaultStopSeeds);
}

BOOST_AUTO_TEST_CASE(acknowledged_work_survives_lost_disks_and_links)
{
    runSeeds(Scenario::Storage, DefaultStorageSeeds);
}

BOOST_AUTO_TEST_CASE(clients_of_gateways_that_are_cut_off_are_served)
{
    runSeeds(Scenario::Cuts, DefaultCutSeeds);
}
