/** @file process_fleet.cpp  Child processes, HTTP requests, reserved addresses and polling for tests. */
#include "support/process_fleet.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>

namespace Chestnuthook::Testing
{

namespace
{

constexpr long ResponseTimeoutSeconds = 60;
constexpr auto PollInterval = std::chrono::milliseconds(20);

std::string binaryPath(const std::string &binary)
{
    const char *folder = std::getenv("CHESTNUTHOOK_BIN");
    return (folder == nullptr ? std::string("build/bin") : std::string(folder)) + "/" + binary;
}

std::string sourcePath(const std::string &path)
{
    const char *folder = std::getenv("CHESTNUTHOOK_SOURCE");
    return (folder == nullptr ? std::string(".") : std::string(folder)) + "/" + path;
}

std::vector<std::string> childEnvironment(const std::vector<std::string> &added)
{
    std::vector<std::string> environment;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        if (!std::string(*variable).starts_with("CHESTNUTHOOK_")) {
            environment.emplace_back(*variable);
        }
    }
    environment.insert(environment.end(), added.begin(), added.end());
    return environment;
}

std::vector<char *> toArgumentPointers(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

pid_t spawn(const std::string &binary, std::vector<std::string> arguments, const std::string &logFile,
    const std::vector<std::string> &environment)
{
    const std::string path = binaryPath(binary);
    arguments.insert(arguments.begin(), path);
    std::vector<std::string> variables = childEnvironment(environment);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherits the sockets of the test would keep connections open that the test has closed.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, path.c_str(), &actions, nullptr, toArgumentPointers(arguments).data(),
        toArgumentPointers(variables).data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("can't start " + path);
    }
    return pid;
}

} // namespace

HttpAnswer http(const std::string &address, const std::string &method, const std::string &path, const std::string &body,
    const Headers &headers)
{
    HttpAnswer answer;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(ResponseTimeoutSeconds, 0));
        session.setKeepAlive(false);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : headers) {
            request.set(name, value);
        }
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        answer.status = static_cast<int>(response.getStatus());
        for (const auto &[name, value] : response) {
            answer.headers[name] = value;
        }
        answer.body.assign(std::istreambuf_iterator<char>(stream), {});
        answer.complete = session.networkException() == nullptr;
    } catch (const std::exception &) {
        answer.complete = false;
    }
    return answer;
}

HttpAnswer httpAs(const std::string &key, const std::string &address, const std::string &method,
    const std::string &path, const std::string &body, Headers headers)
{
    headers.emplace_back("Authorization", "Bearer " + key);
    return http(address, method, path, body, headers);
}

ChildProcess::ChildProcess(const std::string &binary, std::vector<std::string> arguments, const std::string &logFile,
    const std::vector<std::string> &environment)
    : pid(spawn(binary, std::move(arguments), logFile, environment))
{
}

ChildProcess::~ChildProcess()
{
    if (!this->reaped) {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        this->wait();
    }
}

void ChildProcess::signal(int number) const
{
    if (!this->reaped) {
        ::kill(this->pid, number);
    }
}

int ChildProcess::wait(std::chrono::milliseconds timeout)
{
    waitUntil(
        [this]() {
            return !this->isRunning();
        },
        timeout);
    return this->exitCode;
}

std::size_t peakMemoryOf(pid_t pid)
{
    constexpr std::size_t BytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find(':') + 1)) * BytesPerKilobyte;
        }
    }
    return 0;
}

bool ChildProcess::isRunning()
{
    if (this->reaped) {
        return false;
    }
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) != this->pid) {
        return true;
    }
    this->reaped = true;
    this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

CommandResult runCommand(
    const std::string &binary, std::vector<std::string> arguments, const std::vector<std::string> &environment)
{
    const TemporaryFolder folder;
    ChildProcess process(binary, std::move(arguments), folder.path + "/output", environment);
    CommandResult result;
    result.exitCode = process.wait();
    result.output = readFile(folder.path + "/output");
    return result;
}

std::string reserveAddress(const std::string &ip, unsigned short port)
{
    // The sockets stay bound, without listening, until the test process ends. Another process then gets the port
    // neither by a bind to port 0 nor for an outgoing connection, while a program that binds it with SO_REUSEADDR can
    // listen on it.
    static std::vector<Poco::Net::ServerSocket> held;
    held.emplace_back();
    held.back().bind(Poco::Net::SocketAddress(ip, port), true, false);
    return held.back().address().toString();
}

unsigned short reserveCommonPort(const std::vector<std::string> &ips)
{
    constexpr int MaxAttempts = 10;
    for (int attempt = 1;; ++attempt) {
        const auto port = Poco::Net::SocketAddress(reserveAddress(ips.front())).port();
        try {
            for (std::size_t i = 1; i < ips.size(); ++i) {
                reserveAddress(ips[i], port);
            }
            return port;
        } catch (const Poco::Net::NetException &) { // In use at one of them.
            if (attempt == MaxAttempts) {
                throw;
            }
        }
    }
}

std::vector<std::string> reserveLoopbackAddresses(int count)
{
    std::vector<std::string> addresses(static_cast<std::size_t>(count));
    for (std::string &address : addresses) {
        address = reserveAddress("127.0.0.1");
    }
    return addresses;
}

std::string memoryFolder()
{
    constexpr const char *Folder = "/dev/shm";
    return ::access(Folder, W_OK) == 0 ? Folder : std::filesystem::temp_directory_path().string();
}

TemporaryFolder::TemporaryFolder()
    : TemporaryFolder(std::filesystem::temp_directory_path().string())
{
}

TemporaryFolder::TemporaryFolder(const std::string &parent)
{
    std::string pattern = parent + "/chestnuthook-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("can't create a temporary folder");
    }
    this->path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    if (this->isKept) {
        return;
    }
    std::error_code error;
    std::filesystem::remove_all(this->path, error);
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

ProcessFleet::ProcessFleet(FleetOptions wanted)
    : options(std::move(wanted))
{
    const bool verse = this->options.site == "kortagatt";
    this->customer = verse ? "bjarkaprent" : "tamarbond";
    this->model = verse ? "verse" : "order";
    this->service = verse ? "print" : "dispatch";
    std::string pattern = (std::filesystem::temp_directory_path() / "chestnuthook-fleet-XXXXXX").string();
    this->folder = ::mkdtemp(pattern.data());
    std::ofstream(this->folder + "/secret") << "a secret of this test fleet";
    const std::vector<std::string> addresses = reserveLoopbackAddresses(
        1 + this->options.controls + 2 * this->options.entries + this->options.engines + this->options.services);
    auto next = addresses.begin();
    this->platformAddress = *next++;
    const auto take = [&next](std::vector<std::string> &list, int count) {
        list.assign(next, next + count);
        next += count;
    };
    take(this->controlAddresses, this->options.controls);
    take(this->entryAddresses, this->options.entries);
    take(this->entryRpcAddresses, this->options.entries);
    take(this->engineAddresses, this->options.engines);
    take(this->serviceAddresses, this->options.services);
    std::string endpoints;
    for (const std::string &address : this->engineAddresses) {
        endpoints += (endpoints.empty() ? "" : ",") + address + "/engine/" + this->model + "/dc1";
    }
    for (const std::string &address : this->serviceAddresses) {
        endpoints += (endpoints.empty() ? "" : ",") + address + "/service/" + this->service + "/dc1";
    }
    this->start("platform", "chestnuthook-fakes",
        {"platform", "--listen=" + this->platformAddress, "--endpoints=" + endpoints, "--list_lag_ms=100"});
    for (std::size_t i = 0; i < this->engineAddresses.size(); ++i) {
        this->startEngine(i);
    }
    for (std::size_t i = 0; i < this->serviceAddresses.size(); ++i) {
        this->startService(i);
    }
    for (std::size_t i = 0; i < this->controlAddresses.size(); ++i) {
        this->startControl(i);
    }
    const std::vector<std::string> apply = {
        "apply", sourcePath("deploy/base.yaml"), sourcePath("deploy/" + this->options.site + ".yaml")};
    if (!waitUntil([&]() {
            return this->ctl(apply).exitCode == 0;
        })) {
        throw std::runtime_error("apply failed: " + this->ctl(apply).output);
    }
    for (std::size_t i = 0; i < this->entryAddresses.size(); ++i) {
        this->startEntry(i);
    }
    this->key = this->issueKey(this->customer);
    for (std::size_t i = 0; i < this->entryAddresses.size(); ++i) {
        const std::string &address = this->entryAddresses[i];
        if (!waitUntil([&]() {
                return http(address, "GET", "/readyz").status == 200;
            })) {
            throw std::runtime_error("entry " + address + " is not ready; the end of its output:\n"
                + this->outputTail("entry-" + std::to_string(i)) + this->describeExitedProcesses());
        }
    }
    // Keys reach the entries with a delay, and a test must not begin with an entry that still answers 401.
    for (const std::string &address : this->entryAddresses) {
        waitUntil([&]() {
            return httpAs(this->key, address, "GET", "/v1/programs/none").status != 401;
        });
    }
}

ProcessFleet::~ProcessFleet()
{
    this->processes.clear();
    if (std::getenv("KEEP_FLEET_FOLDERS") == nullptr) {
        std::error_code error;
        std::filesystem::remove_all(this->folder, error);
    }
}

std::string ProcessFleet::outputTail(const std::string &name) const
{
    constexpr std::size_t Shown = 3000;
    const std::string output = readFile(this->folder + "/" + name + ".log");
    return output.substr(output.size() - std::min(output.size(), Shown));
}

std::string ProcessFleet::describeExitedProcesses()
{
    std::string text;
    for (const auto &[name, process] : this->processes) {
        if (!process->isRunning()) {
            text += name + " exited unexpectedly; the end of its output:\n" + this->outputTail(name);
        }
    }
    return text;
}

void ProcessFleet::start(const std::string &name, const std::string &binary, std::vector<std::string> arguments)
{
    this->processes.erase(name);
    this->processes[name] =
        std::make_unique<ChildProcess>(binary, std::move(arguments), this->folder + "/" + name + ".log");
}

void ProcessFleet::startControl(std::size_t index)
{
    const std::string name = "control-" + std::to_string(index);
    std::string members;
    for (std::size_t i = 0; i < static_cast<std::size_t>(this->options.controls); ++i) {
        members += (i == 0 ? "" : ",") + ("control-" + std::to_string(i)) + "=" + this->controlAddresses[i];
    }
    std::vector<std::string> arguments = {"--listen=" + this->controlAddresses[index], "--member=" + name,
        index < static_cast<std::size_t>(this->options.controls) ? "--members=" + members : "--join", "--test_hooks",
        "--data=" + this->folder + "/" + name, "--secret_file=" + this->folder + "/secret"};
    arguments.insert(arguments.end(), this->options.controlFlags.begin(), this->options.controlFlags.end());
    this->start(name, "chestnuthook-control", std::move(arguments));
}

void ProcessFleet::startEntry(std::size_t index)
{
    const std::string name = "entry-" + std::to_string(index);
    std::string controls;
    for (const std::string &address : this->controlAddresses) {
        controls += (controls.empty() ? "" : ",") + address;
    }
    std::vector<std::string> arguments = {"--listen=" + this->entryAddresses[index],
        "--rpc_listen=" + this->entryRpcAddresses[index], "--controls=" + controls,
        "--platform=" + this->platformAddress, "--entry=" + name, "--data_centre=dc1",
        "--secret_file=" + this->folder + "/secret"};
    arguments.insert(arguments.end(), this->options.entryFlags.begin(), this->options.entryFlags.end());
    this->start(name, "chestnuthook-entry", std::move(arguments));
}

void ProcessFleet::startEngine(std::size_t index)
{
    std::vector<std::string> arguments = {
        "engine", "--listen=" + this->engineAddresses[index], "--models=" + this->model};
    arguments.insert(arguments.end(), this->options.engineFlags.begin(), this->options.engineFlags.end());
    this->start("engine-" + std::to_string(index), "chestnuthook-fakes", std::move(arguments));
}

void ProcessFleet::startService(std::size_t index)
{
    this->start("service-" + std::to_string(index), "chestnuthook-fakes",
        {"service", "--listen=" + this->serviceAddresses[index], "--name=" + this->service});
}

std::string ProcessFleet::basePath() const
{
    return sourcePath("deploy/base.yaml");
}

std::string ProcessFleet::sitePath() const
{
    return sourcePath("deploy/" + this->options.site + ".yaml");
}

CommandResult ProcessFleet::ctl(std::vector<std::string> arguments) const
{
    std::string controls;
    for (const std::string &address : this->controlAddresses) {
        controls += (controls.empty() ? "" : ",") + address;
    }
    arguments.insert(arguments.begin(), {"--controls=" + controls, "--secret_file=" + this->folder + "/secret"});
    arguments.insert(arguments.begin(), this->options.ctlFlags.begin(), this->options.ctlFlags.end());
    return runCommand("chestnuthook-ctl", std::move(arguments));
}

std::string ProcessFleet::issueKey(const std::string &forCustomer) const
{
    const CommandResult issued = this->ctl({"keys", "issue", forCustomer});
    const std::size_t at = issued.output.find("key chk-");
    if (issued.exitCode != 0 || at == std::string::npos) {
        throw std::runtime_error("can't issue a key: " + issued.output);
    }
    std::string issuedKey;
    std::istringstream(issued.output.substr(at + 4)) >> issuedKey;
    return issuedKey;
}

HttpAnswer ProcessFleet::ask(std::size_t index, const std::string &method, const std::string &path,
    const std::string &body, Headers headers) const
{
    return httpAs(this->key, this->entryAddresses[index], method, path, body, std::move(headers));
}

std::string ProcessFleet::createProgram(std::size_t index, const std::string &body) const
{
    const HttpAnswer created = this->ask(index, "POST", "/v1/programs", body);
    const std::size_t at = created.body.find("\"id\":\"");
    if (created.status != 201 || at == std::string::npos) {
        throw std::runtime_error("can't create a program: " + created.body);
    }
    const std::size_t begin = at + 6;
    return created.body.substr(begin, created.body.find('"', begin) - begin);
}

int ProcessFleet::ledgerCount(const std::string &address, const std::string &text)
{
    const std::string ledger = http(address, "GET", "/fake/ledger").body;
    int count = 0;
    for (std::size_t at = ledger.find(text); at != std::string::npos; at = ledger.find(text, at + text.size())) {
        ++count;
    }
    return count;
}

} // namespace Chestnuthook::Testing
