/** @file long_id_test.cpp  Real processes: a client whose ids are as long as a request's head may be. */
#define BOOST_TEST_MODULE long_id
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fstream>
#include <thread>

#include "support/small_deployment.h"

using namespace Chestnuthook::Testing;

namespace
{

constexpr int Network = 22; ///< Third number of the loopback addresses.
constexpr std::size_t HistoryProcess = 1; ///< Index of the history member's process.
constexpr std::size_t MemoryLimitBytes = 110U << 20U; ///< See PlatformInstance.
constexpr std::size_t MaxGrowthBytes = MemoryLimitBytes / 3; ///< Of any process while the long ids are sent.
constexpr std::size_t LongIdBytes = 12000;
constexpr unsigned TurnCount = 1200;
constexpr unsigned ClientCount = 4;

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"turn","host":"h.example","pathPrefix":"/turn/","timeoutMs":3000,)"
           R"("targetLatencyMs":100,"service":"app","kind":"stream","maxAttempts":1,"retain":true,"retentionS":600}],)"
           R"("services":[{"name":"app","engine":{"stride":10}}],)"
           R"("tenants":[{"name":"glue","apiKeys":["key"],"ratePerS":10000,"burst":10000}]})";
}

/** An id of @p bytes. */
std::string idOf(const std::string &start, std::size_t bytes)
{
    return start + std::string(bytes - start.size(), 'i');
}

/** Memory that the process uses, in bytes. */
std::size_t residentBytes(pid_t pid)
{
    constexpr std::size_t BytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(line.find(':') + 1)) * BytesPerKilobyte;
        }
    }
    return 0;
}

struct Fixture
{
    Fixture()
    {
        this->deployment.setEndpoints({{"i-1", "app", this->endpoint.address}});
        BOOST_REQUIRE(waitUntil([this]() {
            return this->sendTurn("ready", "p").status == 200;
        }));
    }

    Response sendTurn(const std::string &id, const std::string &program, const std::string &previous = {},
        const std::string &path = "/turn/x")
    {
        ClientRequest request{path, id};
        request.fields = {{"X-Program-Id", program}, {"X-Token-Budget", "100000"}, {"X-Token-Count", "10,10"}};
        if (!previous.empty()) {
            request.fields.emplace_back("X-Previous-Turn", previous);
        }
        return this->deployment.send(0, request);
    }

    /** Calls @p send with the number of each request, from several clients at once. */
    template<typename Send>
    void sendAll(const Send &send)
    {
        std::vector<std::thread> clients;
        for (unsigned client = 0; client < ClientCount; ++client) {
            clients.emplace_back([client, &send]() {
                for (unsigned i = client; i < TurnCount; i += ClientCount) {
                    send(i);
                }
            });
        }
        for (std::thread &client : clients) {
            client.join();
        }
    }

    std::vector<std::size_t> memoryOfProcesses()
    {
        std::vector<std::size_t> bytes;
        for (const auto &process : this->deployment.processes) {
            bytes.push_back(residentBytes(process->pid));
        }
        return bytes;
    }

    void checkGrowth(const std::vector<std::size_t> &before)
    {
        const std::vector<std::size_t> now = this->memoryOfProcesses();
        for (std::size_t i = 0; i < now.size(); ++i) {
            BOOST_TEST(now[i] < before[i] + MaxGrowthBytes,
                this->deployment.instances[i].name << " grew from " << before[i] << " to " << now[i] << " bytes");
        }
    }

    RawServer endpoint{"127.0.22.30", [](const std::string &head, const std::string & /*body*/) {
                           return signedResponse(head, "id: 1\ndata: done\n\n", "Content-Type: text/event-stream\r\n");
                       }};
    SmallDeployment deployment{Network, 1, configuration()}; ///< Its only gateway serves when the test starts.
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ids_of_any_length_stay_within_the_memory_of_a_history_member, Fixture)
{
    const auto before = this->memoryOfProcesses();
    this->sendAll([this](unsigned i) {
        const std::string number = std::to_string(i);
        const Response response = this->sendTurn(idOf("t" + number + "-", LongIdBytes), "p" + number);
        BOOST_TEST(response.status == 200);
    });
    this->checkGrowth(before);
    const std::string first = idOf("t0-", LongIdBytes);
    BOOST_TEST(this->sendTurn("after-1", "p0", first).status == 200);

    const std::unique_ptr<ChildProcess> &history = this->deployment.processes[HistoryProcess];
    history->signal(SIGKILL);
    history->wait();
    this->deployment.start(HistoryProcess);
    BOOST_TEST(waitUntil([&]() {
        return this->sendTurn("after-2", "p0", first).status == 200;
    }));
    BOOST_TEST(this->sendTurn("after-3", "p0", idOf("none-", LongIdBytes)).status == 404);
    this->checkGrowth(before);
}

BOOST_FIXTURE_TEST_CASE(other_long_strings_of_a_client_are_not_kept, Fixture)
{
    const auto before = this->memoryOfProcesses();
    this->sendAll([this](unsigned i) {
        const std::string text = idOf(std::to_string(i) + "-", LongIdBytes);
        switch (i % 6) {
        case 0:
            BOOST_TEST(this->sendTurn("a" + std::to_string(i), text).status == 200);
            break;
        case 1:
            BOOST_TEST(this->sendTurn("b" + std::to_string(i), "p", text).status == 404);
            break;
        case 2:
            BOOST_TEST(this->sendTurn(text, "p", "", "/none/x").status == 404);
            break;
        case 3:
            BOOST_TEST(this->sendTurn("c" + std::to_string(i), "p", "", "/none/" + text).status == 404);
            break;
        default: {
            ClientRequest request{"/turn/x", "d" + std::to_string(i)};
            const bool isSession = i % 6 == 4;
            request.fields = {
                {"X-Program-Id", "q" + std::to_string(i)}, {isSession ? "X-Session-Id" : "Resumes", text}};
            const Response response = this->deployment.send(0, request);
            BOOST_TEST((isSession ? response.status == 200 : response.status == 503 || response.status == 200));
            break;
        }
        }
    });
    this->checkGrowth(before);
}
