/** @file soak_test.cpp  A randomized soak: the platform's programs under kills, pauses, disturbed links and changes of
 * the configuration, while callers check from outside what they were promised. One seed gives one schedule.
 *
 * CHESTNUTHOOK_SOAK_SEEDS=first-last plays other seeds than those of the list; docs/SOAK.md tells more. */
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

constexpr auto LoadTime = 6s; ///< Faults begin and callers call.
constexpr auto LongestFault = 1500ms;
constexpr auto BackWithin = 10s; ///< After the last fault is over, everything is served.
constexpr auto AnswerPatience = 4s; ///< Beyond the deadline of each request.
constexpr auto RunTime = 20ms; ///< Of a request at an endpoint.
constexpr std::size_t LostOneIn = 40; ///< One answer in so many is lost by its endpoint.
constexpr int Callers = 6;
constexpr int MostFaults = 9;
constexpr unsigned EventTokens = 10; ///< Of each event, by the configuration.
constexpr unsigned TurnTokens = 30; ///< Most of a turn, as its caller declares it.
constexpr unsigned ProgramTokens = 120; ///< Budget of each program.

enum class FaultKind : std::uint8_t { Kill, Pause, Terminate, KillAll, Link, Configure };

constexpr std::array FaultNames = {"kill", "pause", "terminate", "kill all", "link", "configure"};
constexpr std::array LinkFaultNames = {"none", "delay", "silence", "answers held", "reset", "answers reset"};

/** One entry of a schedule. */
struct Fault
{
    FaultKind kind = FaultKind::Kill;
    std::chrono::milliseconds at{0}; ///< From the start of the load.
    std::chrono::milliseconds lasts{0}; ///< Until it is mended.
    std::size_t target = 0; ///< Process or link.
    LinkFault link = LinkFault::None; ///< What befalls a link.
};

using Random = boost::random::mt19937;

int draw(Random &random, int least, int most)
{
    return boost::random::uniform_int_distribution<int>(least, most)(random);
}

std::vector<Fault> scheduleOf(unsigned seed, std::size_t processes, std::size_t links)
{
    // Links as often as all ways to disturb a process: they have more ways to go wrong.
    constexpr std::array Kinds = {FaultKind::Kill, FaultKind::Pause, FaultKind::Terminate, FaultKind::KillAll,
        FaultKind::Link, FaultKind::Link, FaultKind::Link, FaultKind::Link, FaultKind::Configure};
    Random random(seed);
    std::vector<Fault> schedule(static_cast<std::size_t>(draw(random, 2, MostFaults)));
    for (Fault &fault : schedule) {
        fault.kind = Kinds[static_cast<std::size_t>(draw(random, 0, static_cast<int>(Kinds.size()) - 1))];
        fault.at = std::chrono::milliseconds(draw(random, 200, 5000));
        fault.lasts = std::chrono::milliseconds(draw(random, 50, static_cast<int>(LongestFault.count())));
        const std::size_t targets = fault.kind == FaultKind::Link ? links : processes;
        fault.target = static_cast<std::size_t>(draw(random, 0, static_cast<int>(targets) - 1));
        fault.link = static_cast<LinkFault>(draw(random, 1, static_cast<int>(LinkFault::AnswersReset)));
    }
    return schedule;
}

/** An endpoint that says what it ran and remembers it. */
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

    /** Bodies of the runs of @p id. */
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
        std::this_thread::sleep_for(RunTime);
        if (std::hash<std::string>()(id) % LostOneIn == 0) {
            return std::string(CloseMark); // It has run; nobody is told.
        }
        if (head.find(" /turn/") == std::string::npos) {
            return answerBytes(head, "ran " + id);
        }
        const std::string events = "id: 1\ndata: a " + id + "\n\nid: 2\ndata: b " + id + "\n\n";
        return answerBytes(head, events, "Content-Type: text/event-stream\r\n");
    }

    std::mutex mutex; ///< Guards what follows.
    std::map<std::string, std::vector<std::string>> runs; ///< By request id.
    RawServer server; ///< The endpoint itself.

public:
    FaultyLink link; ///< Gateways reach it through this.
};

/** Two gateways, three control and three history members, before stand-ins for endpoints and the platform. */
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
        const auto inner = static_cast<unsigned short>(std::stoul(first.substr(first.find(':') + 1)));
        const auto add = [&](const std::string &program, int host, const std::string &listen) {
            PlatformInstance one;
            one.program = program;
            one.name = program + "-" + std::to_string(host);
            one.ip = "127.0.1." + std::to_string(host);
            one.listen = listen;
            one.inner = inner;
            one.seeds = {"127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1"};
            one.platform = this->platform.address;
            one.lossesToBear = 1;
            if (host != 1) {
                reserveAddress(one.ip, inner);
            }
            this->instances.push_back(one);
        };
        for (int host = 1; host <= 3; ++host) {
            this->operators.push_back(reserveAddress("127.0.1." + std::to_string(host)));
            add("deployment", host, R"("control":")" + this->operators.back() + "\"");
        }
        for (int host = 11; host <= 13; ++host) {
            add("history", host, "");
        }
        for (int host = 21; host <= 22; ++host) {
            const std::string ip = "127.0.1." + std::to_string(host);
            this->gateways.push_back(reserveAddress(ip));
            add("gateway", host, R"("front":")" + this->gateways.back() + R"(","ready":")" + reserveAddress(ip) + "\"");
            this->callerLinks.emplace_back(this->gateways.back());
        }
        this->processes.resize(this->instances.size());
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            this->start(i, true);
        }
    }

    void start(std::size_t process, bool isFirstStart = false)
    {
        this->instances[process].isFirstStart = isFirstStart;
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

    /** @return whether version @p version of the configuration was acknowledged. @p key may call. */
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
        for (const std::string &operators : this->operators) {
            try {
                const std::string bytes = rawExchange(operators,
                    "POST /-/config/put HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                        + std::to_string(document.size()) + "\r\n\r\n" + document,
                    1s);
                if (bytes.starts_with("HTTP/1.1 200")) {
                    return true;
                }
            } catch (const Poco::Exception &) {
                // This member is down; the next is asked.
            }
        }
        return false;
    }

    TemporaryFolder folder; ///< Settings, logs and data; kept after a failure.
    std::deque<SoakEndpoint> endpoints{3}; ///< All of one service.
    RawServer platform; ///< The platform's list.
    std::vector<PlatformInstance> instances; ///< What each process is told.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< In the order of `instances`.
    std::vector<std::string> operators; ///< Of the control members.
    std::vector<std::string> gateways; ///< Their ports for callers.
    std::deque<FaultyLink> callerLinks; ///< In the order of `gateways`.
};

/** What a caller saw of one request. */
struct Answer
{
    int status = 0; ///< 0 where none came.
    bool whole = false; ///< It ended as HTTP says it should.
    std::string body; ///< Without the framing of chunks.
};

Answer parseAnswer(const std::string &bytes)
{
    Answer answer;
    const std::size_t end = bytes.find("\r\n\r\n");
    if (!bytes.starts_with("HTTP/1.1 ") || end == std::string::npos) {
        return answer;
    }
    answer.status = std::stoi(bytes.substr(9, 3));
    const std::string head = bytes.substr(0, end + 2);
    std::string rest = bytes.substr(end + 4);
    if (head.find("chunked") == std::string::npos) {
        const std::string length = fieldOf(head, "Content-Length");
        answer.whole = length.empty() || rest.size() == std::stoul(length);
        answer.body = rest;
        return answer;
    }
    for (std::size_t at = rest.find("\r\n"); at != std::string::npos; at = rest.find("\r\n")) {
        const std::size_t size = std::stoul(rest.substr(0, at), nullptr, 16);
        if (size == 0 || rest.size() < at + 2 + size + 2) {
            answer.whole = size == 0 && rest.size() == at + 4;
            break;
        }
        answer.body += rest.substr(at + 2, size);
        rest.erase(0, at + 2 + size + 2);
    }
    return answer;
}

/** One seed: its schedule, the callers and what they found. */
class Soak
{
public:
    explicit Soak(unsigned seed)
        : seed(seed)
    {
        this->deployment.folder.isKept = true; // Until it is known that all went well.
        BOOST_REQUIRE_MESSAGE(waitUntil([this]() {
            return this->deployment.putConfiguration(1, "key-1");
        }),
            "no configuration is acknowledged; logs in " + this->folder());
        this->awaitService();
    }

    void play()
    {
        const auto schedule = scheduleOf(this->seed, this->deployment.processes.size(),
            this->deployment.endpoints.size() + this->deployment.callerLinks.size());
        for (const Fault &fault : schedule) {
            std::cout << "  " << fault.at.count() << " to " << (fault.at + fault.lasts).count()
                      << " ms: " << FaultNames.at(static_cast<std::size_t>(fault.kind)) << ' ' << fault.target << ' '
                      << (fault.kind == FaultKind::Link ? LinkFaultNames.at(static_cast<std::size_t>(fault.link)) : "")
                      << '\n';
        }
        const Clock::time_point begun = Clock::now();
        std::vector<std::jthread> threads; // Joined also where a step throws.
        threads.reserve(Callers);
        for (int caller = 0; caller < Callers; ++caller) {
            threads.emplace_back([this, caller, begun]() {
                this->callUntil(caller, begun + LoadTime);
            });
        }
        std::multimap<std::chrono::milliseconds, std::function<void()>> steps;
        for (const Fault &fault : schedule) {
            steps.emplace(fault.at, [this, &fault]() {
                this->strike(fault);
            });
            steps.emplace(fault.at + fault.lasts, [this, &fault]() {
                this->mend(fault);
            });
        }
        for (const auto &[at, step] : steps) {
            std::this_thread::sleep_until(begun + at);
            step();
        }
        for (std::jthread &one : threads) {
            one.join();
        }
        this->awaitService();
        this->checkAfterwards();
        this->deployment.folder.isKept = !this->broken.empty() || std::getenv("CHESTNUTHOOK_SOAK_KEEP") != nullptr;
    }

    /** Where the logs are; gone with this where all promises were kept. */
    [[nodiscard]] const std::string &folder() const
    {
        return this->deployment.folder.path;
    }

    std::vector<std::string> broken; ///< Promises, with the request.
    std::map<int, unsigned> answers; ///< How many had which status; 0 for no answer.

private:
    void say(const std::string &promise, const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        this->broken.push_back(promise + ", request " + id);
    }

    FaultyLink &linkOf(std::size_t target)
    {
        const std::size_t endpoints = this->deployment.endpoints.size();
        return target < endpoints ? this->deployment.endpoints[target].link
                                  : this->deployment.callerLinks[target - endpoints];
    }

    void strike(const Fault &fault)
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

    void mend(const Fault &fault)
    {
        if (fault.kind == FaultKind::Link) {
            this->linkOf(fault.target).setFault(LinkFault::None);
        }
        if (fault.kind == FaultKind::Pause) {
            this->deployment.processes[fault.target]->signal(SIGCONT);
        }
        this->deployment.startEnded(); // Also those that other faults of the schedule have ended in the meantime.
    }

    /** Waits until each gateway serves, and each kind of request. */
    void awaitService()
    {
        const Clock::time_point mended = Clock::now();
        for (std::size_t gateway = 0; gateway < this->deployment.gateways.size(); ++gateway) {
            for (const char *path : {"/safe/x", "/turn/x"}) {
                const bool back = waitUntil(
                    [&]() {
                        this->deployment.startEnded();
                        return this->call(gateway, path, this->newId("back"), "always").status == 200;
                    },
                    std::max<std::chrono::milliseconds>(
                        std::chrono::duration_cast<std::chrono::milliseconds>(mended + BackWithin - Clock::now()),
                        1ms));
                if (!back) {
                    this->say("service is back within its bound",
                        std::string(path) + " at gateway " + std::to_string(gateway));
                }
            }
        }
    }

    std::string newId(const std::string &kind)
    {
        return kind + "-" + std::to_string(this->seed) + "-" + std::to_string(this->ids++);
    }

    Answer call(std::size_t gateway, const std::string &path, const std::string &id, const std::string &key,
        const std::string &fields = "", const std::string &body = "x")
    {
        const std::string request = "POST " + path
            + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        try {
            return parseAnswer(rawExchange(this->deployment.callerLinks[gateway].address, request, AnswerPatience));
        } catch (const Poco::Exception &) {
            std::this_thread::sleep_for(RunTime); // Nobody listens there now.
            return {}; // No answer; what may have run is checked at the endpoints.
        }
    }

    void callUntil(int caller, Clock::time_point end)
    {
        Random random(this->seed * 100 + static_cast<unsigned>(caller));
        while (Clock::now() < end) {
            const auto gateway = static_cast<std::size_t>(draw(random, 0, 1));
            const int choice = draw(random, 0, 9); // A program is many requests, a safe one is seldom of interest.
            if (choice < 2) {
                this->callOnce(gateway, "safe");
            } else if (choice < 8) {
                this->callOnce(gateway, "unsafe");
            } else {
                this->callProgram(random, end);
            }
        }
    }

    void callOnce(std::size_t gateway, const std::string &kind)
    {
        const std::string id = this->newId(kind);
        const Answer answer = this->call(gateway, "/" + kind + "/x", id, "always");
        this->note(id, answer, kind == "safe" ? 2 : 1);
        if (answer.status == 200 && answer.whole && answer.body != "ran " + id) {
            this->say("an answer is whole and belongs to its request", id);
        }
    }

    /** Turns that go on from each other, some tried again. */
    void callProgram(Random &random, Clock::time_point end)
    {
        const std::string program = this->newId("program");
        std::string previous;
        std::string chain;
        unsigned handed = 0;
        for (int turn = 0; turn < 8 && Clock::now() < end; ++turn) {
            const std::string id = this->newId("turn");
            const std::string input = "in " + id + ";";
            std::string fields = "X-Program-Id: " + program + "\r\nX-Token-Budget: " + std::to_string(ProgramTokens)
                + "\r\nX-Token-Count: 5," + std::to_string(TurnTokens) + "\r\n";
            fields += previous.empty() ? "" : "X-Previous-Turn: " + previous + "\r\n";
            const Answer answer =
                this->call(static_cast<std::size_t>(draw(random, 0, 1)), "/turn/x", id, "always", fields, input);
            this->note(id, answer, 1, chain + input);
            const std::string first = "id: 1\ndata: a " + id + "\n\n";
            std::string whole = first;
            whole.append("id: 2\ndata: b ").append(id).append("\n\n");
            if (answer.status == 200 && !whole.starts_with(answer.body)) {
                this->say("events come in order and once", id);
            }
            if (!previous.empty() && (answer.status == 404 || answer.status == 410)) {
                this->say("a turn that was answered whole is kept", previous);
            }
            if (answer.status == 200) {
                handed += answer.body.size() >= whole.size() ? 2 * EventTokens
                    : answer.body.size() >= first.size()     ? EventTokens
                                                             : 0;
            }
            if (handed > ProgramTokens + TurnTokens) {
                this->say("a program gets no more than its budget and a turn", id);
            }
            if (answer.status == 200 && answer.whole) {
                if (answer.body != whole) {
                    this->say("a stream that ends as complete has all events", id);
                }
                previous = id;
                chain.append(input).append("a ").append(id).append("\nb ").append(id).append("\n");
            }
        }
    }

    /** Remembers what the endpoints are to be asked afterwards. */
    void note(const std::string &id, const Answer &answer, unsigned mostRuns, std::string body = {})
    {
        const std::lock_guard lock(this->mutex);
        const bool notRun = answer.status == 402 || answer.status == 429 || answer.status == 503;
        this->calls.push_back({id, notRun ? 0 : mostRuns, std::move(body)});
        ++this->answers[answer.status];
    }

    void checkAfterwards()
    {
        for (const Call &call : this->calls) {
            std::size_t runs = 0;
            for (SoakEndpoint &endpoint : this->deployment.endpoints) {
                for (const std::string &body : endpoint.runsOf(call.id)) {
                    ++runs;
                    if (!call.body.empty() && body != call.body) {
                        this->say("a turn goes on from what was said before", call.id);
                    }
                }
            }
            if (runs > call.mostRuns) {
                this->say(
                    call.mostRuns == 0 ? "what was refused has not run" : "a request runs at most as often as it may",
                    call.id);
            }
        }
        unsigned read = 0;
        static_cast<void>(waitUntil([&]() {
            for (const std::string &operators : this->deployment.operators) {
                const std::string body = http(operators, "GET", "/-/config/get").body;
                const std::size_t at = body.find("\"version\":");
                read = at == std::string::npos
                    ? read
                    : std::max(read, static_cast<unsigned>(std::stoul(body.substr(at + 10))));
            }
            return read >= this->acknowledged;
        }));
        if (read < this->acknowledged) {
            this->say("an acknowledged configuration is kept", "version " + std::to_string(this->acknowledged));
        }
        if (this->acknowledged > 1 && this->version == this->acknowledged) {
            for (std::size_t gateway = 0; gateway < this->deployment.gateways.size(); ++gateway) {
                if (this->call(gateway, "/safe/x", this->newId("withdrawn"), "key-1").status != 401) {
                    this->say("a withdrawn key is refused", "gateway " + std::to_string(gateway));
                }
            }
        }
    }

    struct Call
    {
        std::string id; ///< Of the request.
        unsigned mostRuns = 0; ///< At all endpoints together.
        std::string body; ///< That the endpoint is to see; empty where it isn't checked.
    };

    const unsigned seed; ///< Of the schedule and the callers.
    SoakDeployment deployment; ///< The programs.
    std::atomic<unsigned> ids{0}; ///< Makes each request's id unique.
    unsigned version = 1; ///< Of the configuration, as sent last.
    unsigned acknowledged = 1; ///< Highest version that was acknowledged.
    std::mutex mutex; ///< Guards `broken` and `calls`.
    std::vector<Call> calls; ///< All that were made.
};

/** Seeds that CI plays: two ordinary ones and each that ever failed (docs/SOAK.md). */
const std::vector<unsigned> UsualSeeds = {1, 2};

std::vector<unsigned> seedsToPlay()
{
    const char *range = std::getenv("CHESTNUTHOOK_SOAK_SEEDS");
    if (range == nullptr) {
        return UsualSeeds;
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

BOOST_AUTO_TEST_CASE(promises_hold_under_seeded_faults)
{
    for (const unsigned seed : seedsToPlay()) {
        Soak soak(seed);
        soak.play();
        for (const std::string &broken : soak.broken) {
            BOOST_ERROR("seed " << seed << ": " << broken << "; logs in " << soak.folder());
        }
        std::cout << "seed " << seed << (soak.broken.empty() ? " kept all promises; answers" : " failed; answers");
        for (const auto &[status, count] : soak.answers) {
            std::cout << ' ' << status << ": " << count;
        }
        std::cout << std::endl;
    }
}
