/** @file process_fleet.h  Starts real processes for tests, talks to them, and ends them by their ids. */
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

/** An HTTP answer; status 0 where the connection failed. */
struct HttpAnswer
{
    int status = 0; ///< HTTP status.
    std::string body; ///< All that came.
    std::map<std::string, std::string> headers; ///< Of the answer.
    bool complete = false; ///< The body ended as HTTP says it should.
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** Sends one request on a connection of its own. Does not throw. */
HttpAnswer http(const std::string &address, const std::string &method, const std::string &path,
    const std::string &body = "", const Headers &headers = {});

/** The same with a caller's key. */
HttpAnswer httpAs(const std::string &key, const std::string &address, const std::string &method,
    const std::string &path, const std::string &body = "", Headers headers = {});

/** One process that a test started. */
class ChildProcess
{
public:
    /** Starts @p binary (a name in build/bin) with @p arguments; output goes to @p logFile. */
    ChildProcess(const std::string &binary, std::vector<std::string> arguments, const std::string &logFile,
        const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;

    /** Waits for the end. @return the exit code, 128 + signal, or -1 where it still runs after @p patience. */
    int wait(std::chrono::milliseconds patience = std::chrono::seconds(20));

    [[nodiscard]] bool isRunning();

    const pid_t pid; ///< Its id.

private:
    bool reaped = false; ///< It has ended and was waited for.
    int exitCode = -1; ///< Valid once reaped.
};

/** What a finished command printed. */
struct CommandResult
{
    int exitCode = -1; ///< As ChildProcess::wait gives it.
    std::string output; ///< Standard output and error.
};

/** How many of each a fleet has. */
struct FleetOptions
{
    int controls = 1; ///< Control members.
    int entries = 1; ///< Entries.
    int engines = 1; ///< Fake engines.
    int services = 1; ///< Fake services.
    std::string site = "kortagatt"; ///< Overlay under deploy/.
    std::vector<std::string> engineFlags = {}; ///< Added to each engine's command line.
    std::vector<std::string> entryFlags = {}; ///< Added to each entry's command line.
    std::vector<std::string> controlFlags = {}; ///< Added to each control member's command line.
    std::vector<std::string> ctlFlags = {}; ///< Added to each command line of chestnuthook-ctl.
};

/** A fleet of real processes in a folder of its own. */
class ProcessFleet
{
public:
    explicit ProcessFleet(FleetOptions wanted = {});
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet &) = delete;
    ProcessFleet &operator=(const ProcessFleet &) = delete;

    /** Members past the first `options.controls` wait to be added; push their address to controlAddresses before. */
    void startControl(std::size_t index);
    void startEntry(std::size_t index);
    void startEngine(std::size_t index);
    void startService(std::size_t index);

    /** Runs chestnuthook-ctl with the fleet's addresses and secret. */
    CommandResult ctl(std::vector<std::string> arguments) const;

    /** The declaration files of the site. */
    std::string basePath() const;
    std::string sitePath() const;

    /** Issues a key for @p tenant; throws where that fails. */
    std::string issueKey(const std::string &tenant) const;

    /** A request to entry @p index as the site's first tenant. */
    HttpAnswer ask(std::size_t index, const std::string &method, const std::string &path, const std::string &body = "",
        Headers headers = {}) const;

    /** Creates a program at entry @p index; throws where that fails. */
    std::string createProgram(std::size_t index, const std::string &body = "{}") const;

    /** Requests in the ledger of the fake at @p address that contain @p text. */
    static int ledgerCount(const std::string &address, const std::string &text);

    const FleetOptions options; ///< As asked for.
    std::string folder; ///< Data, logs and secret.
    std::string tenant; ///< First tenant of the site.
    std::string model; ///< Model of the site.
    std::string service; ///< Service of the site.
    std::string key; ///< Key of the first tenant.
    std::vector<std::string> controlAddresses; ///< ip:port by index.
    std::vector<std::string> entryAddresses; ///< For callers.
    std::vector<std::string> entryRpcAddresses; ///< For other entries.
    std::vector<std::string> engineAddresses; ///< Fakes.
    std::vector<std::string> serviceAddresses; ///< Fakes.
    std::string platformAddress; ///< Fake.
    std::map<std::string, std::unique_ptr<ChildProcess>> processes; ///< By name, such as control-0.

private:
    void start(const std::string &name, const std::string &binary, std::vector<std::string> arguments);
    /** Last lines of what the process @p name wrote; for messages. */
    [[nodiscard]] std::string outputEnd(const std::string &name) const;
    /** The processes that ended by themselves, with the last lines of each; for messages. */
    [[nodiscard]] std::string endedProcesses();
};

/** Waits until @p condition holds, looking each 20 ms. @return false where it didn't within @p patience. */
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds patience = std::chrono::seconds(15));

/** Runs a binary to its end. */
CommandResult runCommand(
    const std::string &binary, std::vector<std::string> arguments, const std::vector<std::string> &environment = {});

/** @return ip:port of @p port, or any where it is 0, at @p ip that nobody else is given while the test runs; only a
 * listener with SO_REUSEADDR gets it. */
std::string reserveAddress(const std::string &ip, unsigned short port = 0);

/** @p count loopback ports as ip:port, held like one of reserveAddress(). */
std::vector<std::string> reserveLoopbackAddresses(int count);

/** A folder that is removed with the object, unless it is to be kept. */
struct TemporaryFolder
{
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    std::string path; ///< Where it is.
    bool isKept = false; ///< Stays after the object; set where a failure is to be looked into.
};

/** The whole of a file; empty where it can't be read. */
std::string readFile(const std::string &path);

} // namespace Chestnuthook::Testing
