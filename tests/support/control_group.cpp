/** @file control_group.cpp  Starts and disturbs the processes of a control group. */
#include "support/control_group.h"

#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <thread>
#include <utility>

#include <Poco/Exception.h>

#include "support/raw_server.h"

namespace Chestnuthook::Testing
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::size_t SeedCount = 3;
constexpr int MaxMembers = 20; ///< In the life of a group.
constexpr auto RequestTimeout = std::chrono::milliseconds(1000);
constexpr auto RequestPause = std::chrono::milliseconds(20);

std::string configurationDocument(unsigned version)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[],"services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
          R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]})";
}

} // namespace

ControlGroup::ControlGroup(int network, std::size_t members, unsigned toleratedFailures)
    : network(network)
    , toleratedFailures(toleratedFailures)
{
    std::vector<std::string> ips;
    for (int host = 1; host <= MaxMembers; ++host) {
        ips.push_back("127.0." + std::to_string(network) + "." + std::to_string(host));
    }
    this->rpcPort = reserveCommonPort(ips);
    for (std::size_t i = 0; i < members; ++i) {
        this->describeNext();
        this->instances.back().isBootstrap = true;
    }
    for (std::size_t i = 0; i < members; ++i) {
        for (std::size_t seed = 0; seed < SeedCount; ++seed) {
            this->instances[i].seeds.push_back(this->instances[seed].ip + ":1");
        }
        this->processes.push_back(startInstance(this->instances[i], this->folder.path));
        this->instances[i].isBootstrap = false;
    }
}

void ControlGroup::describeNext()
{
    PlatformInstance instance;
    const std::string host = std::to_string(this->instances.size() + 1);
    instance.program = "deployment";
    instance.name = "deployment-" + host;
    instance.ip = "127.0." + std::to_string(this->network) + "." + host;
    instance.rpcPort = this->rpcPort;
    instance.toleratedFailures = this->toleratedFailures;
    instance.memoryLimitMb = 256;
    instance.platformAddress = instance.ip + ":1"; // There are no endpoints.
    this->operatorAddresses.push_back(reserveAddress(instance.ip));
    instance.listen = R"("control":")" + this->operatorAddresses.back() + "\"";
    this->instances.push_back(instance);
}

std::size_t ControlGroup::add()
{
    this->describeNext();
    PlatformInstance &added = this->instances.back();
    for (std::size_t i = 0; i < this->processes.size() && added.seeds.size() < SeedCount; ++i) {
        if (this->processes[i]->isRunning()) {
            added.seeds.push_back(this->instances[i].ip + ":1");
        }
    }
    this->processes.push_back(startInstance(added, this->folder.path));
    return this->processes.size() - 1;
}

void ControlGroup::start(std::size_t member)
{
    this->processes[member] = startInstance(this->instances[member], this->folder.path);
    // A signal that comes before the process handles signals would end it at once.
    const std::string line = "pid=" + std::to_string(this->processes[member]->pid) + " event=process_started";
    if (!waitUntil([this, member, &line]() {
            return this->log(member).find(line) != std::string::npos;
        })) {
        throw std::runtime_error(this->instances[member].name + " did not start");
    }
}

void ControlGroup::terminate(const std::vector<std::size_t> &leaving)
{
    for (const std::size_t member : leaving) {
        this->processes[member]->signal(SIGTERM);
    }
    for (const std::size_t member : leaving) {
        const std::chrono::seconds grace(this->instances[member].gracePeriodSeconds);
        if (this->processes[member]->wait(grace) != 0) {
            throw std::runtime_error(this->instances[member].name + " did not end in order");
        }
    }
}

void ControlGroup::kill(std::size_t member)
{
    this->processes[member]->signal(SIGKILL);
    this->processes[member]->wait();
}

void ControlGroup::standStill(std::chrono::milliseconds time)
{
    for (const auto &process : this->processes) {
        process->signal(SIGSTOP);
    }
    std::this_thread::sleep_for(time);
    for (const auto &process : this->processes) {
        process->signal(SIGCONT);
    }
}

void ControlGroup::loseDisk(std::size_t member)
{
    this->kill(member);
    std::filesystem::remove_all(this->folder.path + "/" + this->instances[member].name + "-data");
    this->start(member);
}

std::pair<bool, std::string> ControlGroup::ask(const std::string &request, std::chrono::milliseconds patience) const
{
    const auto end = Clock::now() + patience;
    for (std::size_t i = 0; Clock::now() < end; ++i) {
        const std::size_t member = i % this->processes.size();
        if (!this->processes[member]->isRunning()) {
            continue;
        }
        try {
            const std::string response = sendRawRequest(this->operatorAddresses[member], request, RequestTimeout);
            if (response.starts_with("HTTP/1.1 200")) {
                return {true, response.substr(response.find("\r\n\r\n") + 4)};
            }
        } catch (const Poco::Exception &) {
            // The member is starting or stopping; the next one is asked.
        }
        std::this_thread::sleep_for(RequestPause);
    }
    return {false, ""};
}

bool ControlGroup::putConfiguration(unsigned version, std::chrono::milliseconds patience) const
{
    const std::string document = configurationDocument(version);
    return this
        ->ask("POST /-/config/put HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                + std::to_string(document.size()) + "\r\n\r\n" + document,
            patience)
        .first;
}

bool ControlGroup::readsConfiguration(unsigned version, std::chrono::milliseconds patience) const
{
    const auto [isRead, document] =
        this->ask("GET /-/config/get HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", patience);
    return isRead && document == configurationDocument(version);
}

std::string ControlGroup::log(std::size_t member) const
{
    return readFile(this->folder.path + "/" + this->instances[member].name + ".log");
}

} // namespace Chestnuthook::Testing
