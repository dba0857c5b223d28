/** @file hostile_client_test.cpp  Clients that try to exhaust the memory of a gateway, a control member or a history
 * member with bodies, heads, pipelined requests and connections. The process stays within its memory limit and serves
 * ordinary clients meanwhile. */
#define BOOST_TEST_MODULE hostile_client
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <sys/resource.h>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include "support/platform_process.h"
#include "support/process_fleet.h"
#include "support/raw_server.h"

using namespace Chestnuthook::Testing;
using namespace std::chrono_literals;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr unsigned MemoryLimitMb = 88; ///< Of the smallest machine on which a gateway runs.
constexpr std::size_t MaxBodyBytes = 4U << 20U; ///< The limit that the configuration names.
constexpr auto LoadTime = 1800ms; ///< Duration of a load.
constexpr auto MaxOrdinaryLatency = 1000ms; ///< Of ordinary requests meanwhile.
constexpr std::size_t OrdinaryBodyBytes = 6000;

/** One process per program, used by all tests. */
class Deployment
{
public:
    Deployment()
        : endpoint("127.0.0.1",
            [](const std::string &head, const std::string &body) {
                if (head.starts_with("POST /app/slow")) {
                    std::this_thread::sleep_for(1s);
                }
                return signedResponse(head, std::to_string(body.size()));
            })
        , platform("127.0.0.1", [this](const std::string & /*head*/, const std::string & /*body*/) {
            const std::string list = R"({"instances":[{"id":"i-1","service":"app","addr":")" + this->endpoint.address
                + R"(","zone":"z","version":"v1","slots":60,"state":"ready"}],"nextToken":null})";
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        })
    {
        this->folder.isKept = std::getenv("KEEP_FLEET_FOLDERS") != nullptr;
        this->rpcPort = Poco::Net::SocketAddress(reserveAddress("127.0.0.2")).port();
        const std::string control = reserveAddress("127.0.0.2");
        this->addresses = {{"client", reserveAddress("127.0.0.4")}, {"readiness", reserveAddress("127.0.0.4")},
            {"operator", control}, {"directory", reserveAddress("127.0.0.2")},
            {"history", reserveAddress("127.0.0.3")}};
        this->start("deployment", "127.0.0.2",
            R"("control":")" + control + R"(","directory":")" + this->addresses["directory"] + "\"");
        this->start("history", "127.0.0.3", R"("directory":")" + this->addresses["history"] + "\"");
        this->start("gateway", "127.0.0.4",
            R"("front":")" + this->addresses["client"] + R"(","ready":")" + this->addresses["readiness"] + "\"");
        const std::string document = R"({"version":3,"routes":[{"name":"app","host":"h.example","pathPrefix":"/app/",)"
                                     R"("kind":"unsafe","timeoutMs":4000,"targetLatencyMs":100,"service":"app",)"
                                     R"("maxAttempts":1}],"services":[{"name":"app"}],"tenants":[{"name":"glue",)"
                                     R"("apiKeys":["key"],"ratePerS":100000,"burst":100000}]})";
        const bool isReady = waitUntil([&]() {
            return http(control, "POST", "/-/config/put", document).status == 200;
        }) && waitUntil([this]() {
            return this->ordinaryStatus("client") == 200 && this->ordinaryStatus("history") == 200
                && this->ordinaryStatus("directory") == 200;
        });
        if (!isReady) {
            throw std::runtime_error("the deployment isn't ready");
        }
    }

    /** Process that serves @p port. */
    ChildProcess &processOf(const std::string &port)
    {
        const bool isGateway = port == "client" || port == "readiness";
        return *this->processes.at(isGateway ? "gateway" : (port == "history" ? "history" : "deployment"));
    }

    /** Status of an ordinary request at @p port. */
    int ordinaryStatus(const std::string &port)
    {
        const std::string &address = this->addresses.at(port);
        if (port == "client") {
            return this->post("/app/x", std::string(OrdinaryBodyBytes, 'x')).status;
        }
        const std::string path =
            port == "readiness" ? "/-/readiness" : (port == "operator" ? "/-/config/get" : "/-/resolve?zone=z");
        return http(address, "GET", path).status;
    }

    /** Sends @p body to the endpoint through the gateway. */
    HttpAnswer post(const std::string &path, const std::string &body)
    {
        return http(this->addresses.at("client"), "POST", path, body,
            {{"Host", "h.example"}, {"X-Request-Id", "o-" + std::to_string(++this->requestCount)},
                {"X-Deadline-Ms", "4000"}, {"Authorization", "Bearer key"}});
    }

    TemporaryFolder folder; ///< Settings, logs and data.
    RawServer endpoint; ///< Answers with the size of the body.
    RawServer platform; ///< Serves the platform's endpoint list.
    std::map<std::string, std::string> addresses; ///< HTTP ports by name.
    std::map<std::string, std::unique_ptr<ChildProcess>> processes; ///< By program.

private:
    void start(const std::string &program, const std::string &ip, const std::string &listen)
    {
        PlatformInstance instance;
        instance.program = program;
        instance.name = program + "-1";
        instance.ip = ip;
        instance.listen = listen;
        instance.rpcPort = this->rpcPort;
        instance.seeds = {"127.0.0.2:1"};
        instance.platformAddress = this->platform.address;
        instance.memoryLimitMb = MemoryLimitMb;
        instance.isBootstrap = true;
        this->processes[program] = startInstance(instance, this->folder.path);
    }

    unsigned short rpcPort = 0; ///< RPC port, the same on every instance.
    std::atomic<unsigned> requestCount = 0; ///< Number of requests of `post`.
};

Deployment &deployment()
{
    static Deployment shared;
    return shared;
}

long statusKb(pid_t pid, const std::string &field)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":")) {
            return std::stol(line.substr(field.size() + 1));
        }
    }
    return 0;
}

/** Bytes that have arrived at the connections of @p address and haven't been read by the process. */
long unreadKb(const std::string &address)
{
    const Poco::Net::SocketAddress socket(address);
    std::array<char, 32> local{};
    const auto ip = *static_cast<const unsigned *>(socket.host().addr());
    std::snprintf(local.data(), local.size(), "%08X:%04X", ip, socket.port());
    std::ifstream table("/proc/net/tcp");
    unsigned long long bytes = 0;
    constexpr const char *Listening = "0A"; // The receive queue of a listening socket is a number of connections.
    for (std::string line; std::getline(table, line);) {
        std::istringstream words(line);
        std::string slot;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        words >> slot >> from >> to >> state >> queues;
        if (from == local.data() && state != Listening && queues.size() == 17) {
            bytes += std::stoull(queues.substr(9), nullptr, 16);
        }
    }
    return static_cast<long>(bytes >> 10U);
}

/** Samples the memory of the process of a port, with what it hasn't read, until `stop`. */
class MemoryWatch
{
public:
    explicit MemoryWatch(const std::string &port)
        : pid(deployment().processOf(port).pid)
        , address(deployment().addresses.at(port))
        , thread([this](const std::stop_token &stopping) {
            while (!stopping.stop_requested()) {
                this->peakKb = std::max(this->peakKb, statusKb(this->pid, "VmRSS") + unreadKb(this->address));
                std::this_thread::sleep_for(10ms);
            }
        })
    {
        std::ofstream("/proc/" + std::to_string(this->pid) + "/clear_refs") << 5; // Resets VmHWM.
    }

    /** Peak memory in KB. */
    long stop()
    {
        this->thread.request_stop();
        this->thread.join();
        return std::max(this->peakKb, statusKb(this->pid, "VmHWM"));
    }

private:
    pid_t pid;
    std::string address;
    long peakKb = 0;
    std::jthread thread; ///< Declared last, so that it starts after all other members exist.
};

/** What hostile connections send. */
struct Load
{
    unsigned connections = 60;
    std::string prefix; ///< Sent once.
    std::string filler; ///< Sent again and again after `prefix`.
    std::size_t maxBytes = 0; ///< Of all that is sent on a connection, which then stays open.
    std::size_t pieceBytes = 64U << 10U; ///< Sent at a time.
    std::chrono::milliseconds pause{0}; ///< After each piece.
    bool reconnects = false; ///< Connections that the server has closed are opened again.
    bool aborts = false; ///< A connection on which all was sent is closed and opened again.
    bool reads = false; ///< Reads responses.
};

/** Runs a load until the object ends. */
class HostileClients
{
public:
    HostileClients(std::string address, Load load)
        : address(std::move(address))
        , load(std::move(load))
        , connections(this->load.connections)
        , thread([this](const std::stop_token &stopping) {
            this->run(stopping);
        })
    {
    }

    std::atomic<unsigned long long> sentBytes = 0; ///< On all connections.

private:
    struct Connection
    {
        std::unique_ptr<Poco::Net::StreamSocket> socket; ///< Null if there is none.
        std::size_t sent = 0; ///< Number of bytes sent.
        bool wasClosed = false; ///< The server has closed it.
        Clock::time_point nextAt; ///< When the next piece is due.
    };

    void run(const std::stop_token &stopping)
    {
        while (!stopping.stop_requested()) {
            bool hasSent = false;
            for (Connection &connection : this->connections) {
                try {
                    hasSent = this->step(connection) || hasSent;
                } catch (const Poco::Exception &exception) {
                    if (exception.code() == EWOULDBLOCK) { // Poco reports it as an error of input and output.
                        continue;
                    }
                    connection.socket.reset();
                    connection.wasClosed = true;
                }
                if (stopping.stop_requested()) {
                    return;
                }
            }
            if (!hasSent) {
                std::this_thread::sleep_for(1ms);
            }
        }
    }

    bool step(Connection &connection)
    {
        if (connection.socket == nullptr) {
            if (connection.wasClosed && !this->load.reconnects) {
                return false;
            }
            connection = Connection();
            connection.socket = std::make_unique<Poco::Net::StreamSocket>();
            connection.socket->connect(Poco::Net::SocketAddress(this->address), Poco::Timespan(0, 200000));
            connection.socket->setBlocking(false);
        }
        if (this->load.reads && connection.socket->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            std::array<char, 4096> buffer{};
            if (connection.socket->receiveBytes(buffer.data(), buffer.size()) == 0) {
                throw Poco::IOException("closed");
            }
        }
        if (connection.sent >= this->load.maxBytes && this->load.aborts) {
            connection = Connection();
            return true;
        }
        if (connection.sent >= this->load.maxBytes || Clock::now() < connection.nextAt) {
            return false;
        }
        std::string_view piece = this->load.prefix;
        if (connection.sent < piece.size()) {
            piece.remove_prefix(connection.sent);
        } else {
            piece = std::string_view(this->load.filler)
                        .substr((connection.sent - this->load.prefix.size()) % this->load.filler.size());
        }
        piece = piece.substr(0, std::min(this->load.pieceBytes, this->load.maxBytes - connection.sent));
        const int count = connection.socket->sendBytes(piece.data(), static_cast<int>(piece.size()));
        if (count <= 0) {
            return false;
        }
        connection.sent += static_cast<std::size_t>(count);
        connection.nextAt = Clock::now() + this->load.pause;
        this->sentBytes += static_cast<unsigned>(count);
        return true;
    }

    std::string address;
    Load load;
    std::vector<Connection> connections;
    std::jthread thread; ///< Declared last, so that it starts after all other members exist.
};

std::string repeat(const std::string &text, std::size_t count)
{
    std::string repeated;
    for (std::size_t i = 0; i < count; ++i) {
        repeated += text;
    }
    return repeated;
}

/** The load named @p kind at @p path. */
Load loadOf(const std::string &kind, const std::string &path)
{
    const std::string start = "POST " + path
        + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: hostile\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer "
          "key\r\n";
    const std::string length = "Content-Length: ";
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(64U << 10U, 'a');
    Load load;
    load.filler = letters;
    if (kind == "bodies" || kind == "bodies-again" || kind == "aborted-bodies" || kind == "bodies-in-pieces") {
        load.prefix = start + length + std::to_string(MaxBodyBytes) + "\r\n\r\n";
        load.maxBytes = load.prefix.size() + MaxBodyBytes - 1;
        load.reconnects = kind != "bodies";
        load.aborts = kind == "aborted-bodies";
        load.pieceBytes = kind == "bodies-in-pieces" ? 1000 : load.pieceBytes;
    } else if (kind == "whole-bodies") {
        load.prefix = start + length + std::to_string(MaxBodyBytes) + "\r\n\r\n";
        load.maxBytes = load.prefix.size() + MaxBodyBytes;
    } else if (kind == "small-bodies") { // Each is so small that it never has to wait.
        load.connections = 600;
        load.prefix = start + length + "60001\r\n\r\n";
        load.maxBytes = load.prefix.size() + 60000;
        load.reconnects = true;
    } else if (kind == "chunks") {
        load.prefix = chunked;
        load.filler = repeat("1000\r\n" + std::string(4096, 'a') + "\r\n", 16);
        load.maxBytes = MaxBodyBytes;
    } else if (kind == "one-byte-chunks") {
        load.connections = 40;
        load.prefix = chunked;
        load.filler = repeat("1\r\na\r\n", 10000);
        load.maxBytes = MaxBodyBytes * 6;
    } else if (kind == "huge-bodies") {
        load.prefix = start + length + "1000000000\r\n\r\n";
        load.maxBytes = 1000000000;
    } else if (kind == "huge-chunked-bodies") {
        load.prefix = chunked;
        load.filler = repeat("10000\r\n" + letters + "\r\n", 1);
        load.maxBytes = 1000000000;
    } else if (kind == "fields") {
        load.connections = 800;
        load.prefix = start + repeat("ab:\r\n", 2000) + length + "1\r\n\r\n";
        load.maxBytes = load.prefix.size();
    } else if (kind == "pipelined") {
        load.prefix = "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n";
        load.filler = repeat(load.prefix, 1000);
        load.maxBytes = load.prefix.size() * 50000;
    } else if (kind == "slow-bodies") {
        load.connections = 300;
        load.prefix = start + length + "60000\r\n\r\n" + std::string(20000, 'a');
        load.filler = "a";
        load.maxBytes = 60000;
        load.pause = 100ms;
        load.reads = true;
        load.reconnects = true;
    } else if (kind == "connections") {
        load.connections = 2500;
        load.prefix = start;
        load.maxBytes = start.size();
        load.reconnects = true;
    }
    return load;
}

const std::vector<std::string> Kinds = {"bodies", "bodies-again", "aborted-bodies", "bodies-in-pieces", "whole-bodies",
    "small-bodies", "chunks", "one-byte-chunks", "huge-bodies", "huge-chunked-bodies", "fields", "pipelined",
    "slow-bodies", "connections"};
/** Those that differ at ports that use no bodies. */
const std::vector<std::string> KindsWithoutBody = {
    "bodies", "aborted-bodies", "small-bodies", "chunks", "huge-chunked-bodies", "fields", "pipelined", "connections"};

/** Runs the load @p kind against @p path of @p port while an ordinary client is served. Checks memory and latency. */
void checkLoad(const std::string &port, const std::string &path, const std::string &kind)
{
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    BOOST_REQUIRE(waitUntil([&]() {
        return deployment().ordinaryStatus(port) == 200;
    }));
    MemoryWatch watch(port);
    unsigned sent = 0;
    unsigned served = 0;
    std::chrono::milliseconds slowest(0);
    unsigned long long hostileBytes = 0;
    {
        HostileClients clients(deployment().addresses.at(port), loadOf(kind, path));
        const auto start = Clock::now();
        while (Clock::now() - start < LoadTime) {
            const auto requestStart = Clock::now();
            served += deployment().ordinaryStatus(port) == 200 ? 1 : 0;
            ++sent;
            slowest =
                std::max(slowest, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - requestStart));
            std::this_thread::sleep_for(10ms);
        }
        hostileBytes = clients.sentBytes;
    }
    const long peakKb = watch.stop();
    BOOST_TEST_MESSAGE(port << " " << path << " " << kind << ": peak " << peakKb / 1024 << " MB, ordinary client "
                            << served << " of " << sent << " served, slowest " << slowest.count() << " ms, sent "
                            << (hostileBytes >> 20U) << " MB");
    BOOST_TEST(deployment().processOf(port).isRunning());
    BOOST_TEST(peakKb < static_cast<long>(MemoryLimitMb * 1024));
    BOOST_TEST(served == sent);
    BOOST_TEST(slowest.count() < MaxOrdinaryLatency.count());
    BOOST_TEST(waitUntil([&]() {
        return deployment().ordinaryStatus(port) == 200;
    }));
}

} // namespace

BOOST_DATA_TEST_CASE(gateway_stays_within_its_memory_at_a_route, boost::unit_test::data::make(Kinds), kind)
{
    checkLoad("client", "/app/x", kind);
}

BOOST_DATA_TEST_CASE(
    gateway_stays_within_its_memory_without_a_route, boost::unit_test::data::make(KindsWithoutBody), kind)
{
    checkLoad("client", "/none", kind);
}

BOOST_DATA_TEST_CASE(
    gateway_stays_within_its_memory_at_the_readiness_port, boost::unit_test::data::make(KindsWithoutBody), kind)
{
    checkLoad("readiness", "/-/readiness", kind);
}

BOOST_DATA_TEST_CASE(control_stays_within_its_memory_at_the_operator_port, boost::unit_test::data::make(Kinds), kind)
{
    checkLoad("operator", "/-/config/put", kind);
}

BOOST_DATA_TEST_CASE(
    control_stays_within_its_memory_at_the_directory, boost::unit_test::data::make(KindsWithoutBody), kind)
{
    checkLoad("directory", "/-/resolve", kind);
}

BOOST_DATA_TEST_CASE(
    history_stays_within_its_memory_at_the_directory, boost::unit_test::data::make(KindsWithoutBody), kind)
{
    checkLoad("history", "/-/resolve", kind);
}

BOOST_AUTO_TEST_CASE(bodies_of_a_slow_route_wait_or_are_refused_before_memory_runs_out)
{
    checkLoad("client", "/app/slow", "whole-bodies");
}

// Fails if the limits refuse what the configuration allows.
BOOST_AUTO_TEST_CASE(single_body_of_the_largest_size_is_served_in_calm)
{
    for (const std::size_t size : {2000UL, 13000UL, 60000UL, 70000UL, 1000000UL, MaxBodyBytes}) {
        const HttpAnswer answer = deployment().post("/app/x", std::string(size, 'x'));
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == std::to_string(size));
    }
    const std::string tooLarge(MaxBodyBytes + 1, 'x');
    BOOST_TEST(deployment().post("/app/x", tooLarge).status == 413);
    BOOST_TEST(deployment().post("/none", std::string(MaxBodyBytes, 'x')).status == 404);
}

// Fails if a body that hardly moves holds its memory until the time-out of bodies, 10 s.
BOOST_AUTO_TEST_CASE(body_that_hardly_moves_times_out_early)
{
    Poco::Net::StreamSocket connection{Poco::Net::SocketAddress(deployment().addresses.at("client"))};
    const std::string head = "POST /app/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9000\r\n\r\n";
    connection.sendBytes(head.data(), static_cast<int>(head.size()));
    const auto start = Clock::now();
    while (Clock::now() - start < 6s && !connection.poll(Poco::Timespan(0, 100000), Poco::Net::Socket::SELECT_READ)) {
        connection.sendBytes("x", 1);
    }
    BOOST_TEST((Clock::now() - start) / 1ms < 5000);
    std::array<char, 64> buffer{};
    const int count = connection.receiveBytes(buffer.data(), buffer.size());
    BOOST_TEST(std::string(buffer.data(), static_cast<std::size_t>(std::max(count, 0))).starts_with("HTTP/1.1 408"));
}
