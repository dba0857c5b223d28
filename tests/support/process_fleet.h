/** @file process_fleet.h  Starts and stops the real programs as child processes and sends requests to them. */
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Chestnuthook::Testing
{

/** An HTTP response. */
struct HttpAnswer
{
    int status = 0; ///< HTTP status; 0 if no response arrived.
    std::string body; ///< The part of the body that arrived.
    std::map<std::string, std::string> headers; ///< Response headers by name.
    bool complete = false; ///< The response arrived without an error of the connection.
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** Sends one request on a new connection and waits for the response, at most 60 s. Does not throw. */
HttpAnswer http(const std::string &address, const std::string &method, const std::string &path,
    const std::string &body = "", const Headers &headers = {});

/** Like http(), with @p key as bearer token. */
HttpAnswer httpAs(const std::string &key, const std::string &address, const std::string &method,
    const std::string &path, const std::string &body = "", Headers headers = {});

/** A child process; killed by the destructor if it still runs. */
class ChildProcess
{
public:
    /** Starts @p binary (a name in build/bin, or in $CHESTNUTHOOK_BIN) with @p arguments. Its output is appended to
     * @p logFile. The environment is that of the test without CHESTNUTHOOK_ variables, plus @p environment.
     * @throws std::runtime_error */
    ChildProcess(const std::string &binary, std::vector<std::string> arguments, const std::string &logFile,
        const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends signal @p number unless the process has already been reaped. */
    void signal(int number) const;

    /** Waits for the process to exit. @return the exit code, 128 + the number of the signal that killed it, or -1 if it
     * still runs after @p timeout. */
    int wait(std::chrono::milliseconds timeout = std::chrono::seconds(20));

    [[nodiscard]] bool isRunning();

    const pid_t pid; ///< Process id.

private:
    bool reaped = false; ///< waitpid() has returned its exit status.
    int exitCode = -1; ///< Valid once `reaped` is true.
};

/** Most memory that the process @p pid has used, in bytes. */
[[nodiscard]] std::size_t peakMemoryOf(pid_t pid);

/** The result of a command. */
struct CommandResult
{
    int exitCode = -1; ///< The result of ChildProcess::wait().
    std::string output; ///< Standard output and standard error.
};

/** The number of processes of a ProcessFleet, and their extra flags. */
struct FleetOptions
{
    int controls = 1; ///< Members of the control group.
    int entries = 1; ///< Entries.
    int engines = 1; ///< Fake engines.
    int services = 1; ///< Fake services.
    std::string site = "kortagatt"; ///< Name of the configuration file in deploy/ that is applied over base.yaml.
    std::vector<std::string> engineFlags = {}; ///< Added to each engine's command line.
    std::vector<std::string> entryFlags = {}; ///< Added to each entry's command line.
    std::vector<std::string> controlFlags = {}; ///< Added to each control member's command line.
    std::vector<std::string> ctlFlags = {}; ///< Added to each command line of chestnuthook-ctl.
};

/** A fleet of real processes on loopback addresses, with a temporary folder for their data. The constructor waits until
 * all entries are ready and accept the key of the first customer.
 * @throws std::runtime_error from the constructor if the fleet does not start. */
class ProcessFleet
{
public:
    explicit ProcessFleet(FleetOptions wanted = {});
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet &) = delete;
    ProcessFleet &operator=(const ProcessFleet &) = delete;

    /** Starts control member @p index. A member past the first `options.controls` waits until it is added to the group;
     * append its address to controlAddresses first. */
    void startControl(std::size_t index);
    void startEntry(std::size_t index);
    void startEngine(std::size_t index);
    void startService(std::size_t index);

    /** Runs chestnuthook-ctl with the control addresses and the secret of the fleet. */
    CommandResult ctl(std::vector<std::string> arguments) const;

    /** Path of the declaration file that all sites share. */
    std::string basePath() const;
    /** Path of the declaration file of the site. */
    std::string sitePath() const;

    /** Issues a key for @p customer. @throws std::runtime_error */
    std::string issueKey(const std::string &customer) const;

    /** Sends a request to entry @p index with the key of the first customer. */
    HttpAnswer ask(std::size_t index, const std::string &method, const std::string &path, const std::string &body = "",
        Headers headers = {}) const;

    /** Creates a program at entry @p index. @return its id. @throws std::runtime_error */
    std::string createProgram(std::size_t index, const std::string &body = "{}") const;

    /** How often @p text occurs in the ledger of the fake at @p address. */
    static int ledgerCount(const std::string &address, const std::string &text);

    const FleetOptions options; ///< The options given to the constructor.
    std::string folder; ///< Holds data, logs and the secret; removed at the end unless KEEP_FLEET_FOLDERS is set.
    std::string customer; ///< First customer of the site.
    std::string model; ///< Model that the engines serve.
    std::string service; ///< Name of the services.
    std::string key; ///< Key of the first customer.
    std::vector<std::string> controlAddresses; ///< Addresses of the control members (ip:port), by index.
    std::vector<std::string> entryAddresses; ///< Client addresses of the entries, by index.
    std::vector<std::string> entryRpcAddresses; ///< RPC addresses of the entries, by index; used by other entries.
    std::vector<std::string> engineAddresses; ///< Addresses of the fake engines, by index.
    std::vector<std::string> serviceAddresses; ///< Addresses of the fake services, by index.
    std::string platformAddress; ///< Address of the fake platform.
    std::map<std::string, std::unique_ptr<ChildProcess>> processes; ///< By name, for example `control-0`.

private:
    void start(const std::string &name, const std::string &binary, std::vector<std::string> arguments);
    /** The last 3000 bytes of the output of process @p name, for error messages. */
    [[nodiscard]] std::string outputTail(const std::string &name) const;
    /** The processes that have exited, each with the end of its output, for error messages. */
    [[nodiscard]] std::string describeExitedProcesses();
};

/** Polls @p condition every 20 ms until it holds. @return false if it does not hold within @p timeout. */
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::seconds(15));

/** Runs a binary as ChildProcess does and waits for it to exit. */
CommandResult runCommand(
    const std::string &binary, std::vector<std::string> arguments, const std::vector<std::string> &environment = {});

/** Reserves @p port, or any free port if it is 0, at @p ip until the test process ends. Other processes are not given
 * the port in the meantime; only a listener that sets SO_REUSEADDR can bind it. @return ip:port. */
std::string reserveAddress(const std::string &ip, unsigned short port = 0);

/** Reserves one port at all of @p ips, as reserveAddress() does. */
unsigned short reserveCommonPort(const std::vector<std::string> &ips);

/** Reserves @p count ports at 127.0.0.1 as reserveAddress() does. @return ip:port of each. */
std::vector<std::string> reserveLoopbackAddresses(int count);

/** Folder of a file system in memory, or that of temporary files if there is none. On it, a process doesn't wait for
 * its disk while other processes write much. */
[[nodiscard]] std::string memoryFolder();

/** A temporary folder that the destructor removes unless `isKept` is set. */
struct TemporaryFolder
{
    TemporaryFolder();
    /** Creates it in the folder @p parent. */
    explicit TemporaryFolder(const std::string &parent);
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    std::string path; ///< Absolute path.
    bool isKept = false; ///< Keep the folder, to investigate a failure.
};

/** The content of a file; empty if it can't be read. */
std::string readFile(const std::string &path);

} // namespace Chestnuthook::Testing
